"""Tests of tracking targets by their heartbeats."""

import asyncio
from dataclasses import replace

from goldcrestyard.core.ids import (
    DataCentre,
    ModelName,
    Region,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.tracking.departed import Confirm
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.heartbeats import Heartbeat
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.policy.test_heartbeats import HEARTBEAT

MODEL = ModelName("m")
T = TargetId("t")


class TrackerTests(PausedClockTestCase):
    """Guards against using removed targets and losing running ones."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(TargetsSlice)
        self.targets = self.machine.get(TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.tracker = self._tracker()

    def _tracker(self) -> TargetTracker:
        regions = {DataCentre("dc"): Region("r")}
        return TargetTracker(self.member, regions, 1.0, self.clock())  # type: ignore[arg-type]

    async def _beat(self, **changes: object) -> None:
        beat: Heartbeat = replace(HEARTBEAT, **changes)  # type: ignore[arg-type]
        self.assertIsNone(await self.tracker.heartbeat(beat))

    def _serving(self) -> list[str]:
        return [target.id for target in self.targets.serving("quotes")]

    async def test_arrival_is_committed_before_it_is_acknowledged(self) -> None:
        self.member.is_leader = False
        self.assertIsNotNone(await self.tracker.heartbeat(HEARTBEAT))
        self.member.is_leader = True
        await self._beat()
        self.assertEqual(self._serving(), ["t"])

    async def test_software_is_that_of_the_present_run(self) -> None:
        """Guards against taking up a stream at another version's engine."""
        await self._beat(software=SoftwareVersion("v1"))
        later = {"started_at_ms": HEARTBEAT.started_at_ms + 1, "sequence": 1}
        await self._beat(software=SoftwareVersion("v2"), **later)
        target = self.targets.find(HEARTBEAT.id)
        assert target is not None
        self.assertEqual(target.software, "v2")

    async def test_leaving_target_gets_no_new_work(self) -> None:
        await self._beat()
        await self._beat(sequence=6, state=TargetState.DRAINING)
        self.assertEqual(self._serving(), [])

    async def test_late_heartbeat_does_not_bring_a_leaving_target_back(self) -> None:
        await self._beat(sequence=6)
        await self._beat(sequence=7, state=TargetState.DRAINING)
        await self._beat(sequence=5)
        self.assertEqual(self._serving(), [])

    async def test_target_that_has_left_does_not_come_back(self) -> None:
        await self._beat()
        self.assertIsNone(await self.tracker.leave(T))
        answer = await self.tracker.heartbeat(replace(HEARTBEAT, sequence=6))
        self.assertIsInstance(answer, Confirm)
        self.assertEqual(self._serving(), [])

    async def test_target_starts_again_under_its_id(self) -> None:
        await self._beat()
        await self.tracker.leave(T)
        await self._beat(started_at_ms=2000, sequence=1)
        self.assertEqual(self._serving(), ["t"])

    async def test_address_used_again_by_another_service(self) -> None:
        await self._beat()
        await self._beat(
            id=TargetId("u"), service="engines", started_at_ms=2000, sequence=1
        )
        self.assertEqual(self._serving(), [])
        # A delayed heartbeat of the target that used the address before.
        await self._beat(sequence=9)
        self.assertEqual(self._serving(), [])

    async def test_silent_target_is_left_out_until_it_is_heard(self) -> None:
        await self._beat()
        watching = asyncio.create_task(self.tracker.run())
        await asyncio.sleep(2.9)
        self.assertEqual(self._serving(), ["t"])
        await asyncio.sleep(0.5)
        self.assertEqual(self._serving(), [])
        await self._beat(sequence=6)
        self.assertEqual(self._serving(), ["t"])
        watching.cancel()

    async def test_new_leader_waits_before_it_takes_targets_for_lost(self) -> None:
        await self._beat()
        await asyncio.sleep(100.0)
        self.tracker = self._tracker()
        watching = asyncio.create_task(self.tracker.run())
        await asyncio.sleep(2.9)
        self.assertEqual(self._serving(), ["t"])
        watching.cancel()

    async def test_versions_are_those_of_the_present_run(self) -> None:
        await self._beat(versions_by_model={MODEL: WeightVersion(3)})
        target = self.targets.find(T)
        assert target is not None
        self.assertEqual(self.tracker.versions(target), {MODEL: 3})
        self.tracker.record_version(target, MODEL, WeightVersion(5))
        self.assertEqual(self.tracker.versions(target), {MODEL: 5})
        await self._beat(started_at_ms=2000, sequence=1)
        self.assertEqual(self.tracker.versions(target), {})
        self.tracker.record_version(target, MODEL, WeightVersion(7))
        present = self.targets.find(T)
        assert present is not None
        self.assertEqual(self.tracker.versions(present), {})
        await self._beat(
            started_at_ms=2000, sequence=2, versions_by_model={MODEL: WeightVersion(1)}
        )
        self.tracker.record_version(target, MODEL, WeightVersion(7))
        self.assertEqual(self.tracker.versions(present), {MODEL: 1})
