"""Tests of what all control members know after a restart.

Pattern: a process restarts from its log or from a snapshot that is older than
a change.  They guard against using a target that had left, or a key that had
been withdrawn, and against an entry that serves before it knows.
"""

import asyncio
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import (
    ConfigVersion,
    CorrelationId,
    DataCentre,
    OrganisationId,
    Region,
    Revision,
    TargetId,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import ServedOrganisation
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.gateway.admission import Admission, AdmittedRequest
from goldcrestyard.fleet.serving.apps import ServingPluginConfig
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.apps import TargetsConfig
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.messages import SnapshotPush
from tests.fakes.member_network import MemberNetwork
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import CONFIG, request
from tests.policy.test_heartbeats import HEARTBEAT

MEMBERS = ["a", "b", "c"]
WITHDRAWN = replace(
    CONFIG,
    version=ConfigVersion(2),
    organisations=(ServedOrganisation(OrganisationId("tejo"), ("other",)),),
)


@dataclass(frozen=True)
class Case:
    """How often a snapshot is taken, and whether files lose unsynced data."""

    name: str
    snapshot_entries: int


CASES = [
    Case("from_the_log", 1000),
    Case("from_a_snapshot_before_the_change", 8),
    Case("from_a_snapshot_after_it", 2),
]


class RestartTests(PausedClockTestCase):
    """All members restart at once."""

    async def start(self, case: Case) -> ControlMember:
        quiet_logs(self)
        self.network = MemberNetwork(
            MEMBERS,
            Clock(lambda: EPOCH + asyncio.get_running_loop().time()),
            slices=(ServingSlice, TargetsSlice),
            messages=(*ServingPluginConfig.messages, *TargetsConfig.messages),
            snapshot_entries=case.snapshot_entries,
        )
        self.addAsyncCleanup(self.network.close)
        await self.network.start_all()
        return await self.network.leader()

    async def restart_all(self) -> ControlMember:
        for name in MEMBERS:
            await self.network.stop(name)
        await self.network.start_all()
        return await self.network.leader()

    def tracker(self, leader: ControlMember) -> TargetTracker:
        regions = {DataCentre("dc"): Region("r")}
        return TargetTracker(leader, regions, 1.0, self.network.clock)

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_target_that_left_stays_away(self, _: str, case: Case) -> None:
        leader = await self.start(case)
        tracker = self.tracker(leader)
        for number in range(4):
            await tracker.heartbeat(replace(HEARTBEAT, id=TargetId(f"other-{number}")))
        await tracker.heartbeat(HEARTBEAT)
        await tracker.leave(HEARTBEAT.id)
        leader = await self.restart_all()
        tracker = self.tracker(leader)
        # Status reports of the run that left are still on their way.
        for state in (TargetState.READY, TargetState.DRAINING):
            await tracker.heartbeat(replace(HEARTBEAT, sequence=99, state=state))
        targets = leader.machine.get(TargetsSlice)
        self.assertIsNone(targets.find(HEARTBEAT.id))
        await tracker.heartbeat(
            replace(HEARTBEAT, started_at_ms=HEARTBEAT.started_at_ms + 1)
        )
        self.assertIsNotNone(targets.find(HEARTBEAT.id))

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_withdrawn_key_stays_withdrawn(self, _: str, case: Case) -> None:
        leader = await self.start(case)
        for config in (CONFIG, WITHDRAWN):
            result = await leader.propose(
                PutServing(config, b""), "operator", CorrelationId("")
            )
            self.assertIsInstance(result, Applied)
        leader = await self.restart_all()
        # An older document is resent, as operators do.
        await leader.propose(PutServing(CONFIG, b""), "operator", CorrelationId(""))
        view = self.entry(leader)
        admission = Admission(view, self.network.clock)
        for key, expected in (("key", Refusal), ("other", AdmittedRequest)):
            now = self.network.clock.monotonic()
            admitted = admission.admit(request("/again/", key), now)
            self.assertIsInstance(admitted, expected)

    async def test_entry_that_cannot_reach_the_core_serves_no_key(self) -> None:
        """It has the state of a snapshot and no lease for it."""
        leader = await self.start(CASES[0])
        await leader.propose(PutServing(CONFIG, b""), "operator", CorrelationId(""))
        view = self.entry(leader, lease_seconds=0.0)
        admission = Admission(view, self.network.clock)
        refused = admission.admit(request("/again/"), self.network.clock.monotonic())
        assert isinstance(refused, Refusal)
        self.assertIs(refused.reason, RefusalReason.ENTRY_LEASE)

    def entry(self, leader: ControlMember, lease_seconds: float = 5.0) -> EntryView:
        """Return the view of an entry that has just started."""
        clock = self.network.clock
        machine = StateMachine([ServingSlice(), TargetsSlice()])
        view = EntryView(machine, self.network.codec, clock)
        snapshots = leader.machine.to_snapshots(fan_out_only=True)
        encoded = {
            name: self.network.codec.encode(snapshot)
            for name, snapshot in snapshots.items()
        }
        view.load(SnapshotPush(Revision(leader.machine.revision), encoded))
        view.grant(clock.monotonic(), lease_seconds)
        return view
