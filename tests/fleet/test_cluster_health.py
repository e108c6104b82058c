"""Tests of the leader's view of the control cluster's health (paused clock).

Guards against a cluster that is one loss from its end without a line that says
which members are missing.
"""

import asyncio
import math
import re
from typing import Any

import structlog
from prometheus_client import CollectorRegistry

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.member_lines import short_id
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.health import ClusterHealthMonitor
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.fleet.observability.cluster_health import observe_cluster_health
from goldcrestyard.fleet.observability.metrics import METRIC_PREFIX, FleetMetrics
from goldcrestyard.policy.cluster_health import ClusterHealth, ClusterState
from goldcrestyard.policy.membership import LOST_VOTER_SECONDS, MemberFacts
from tests.fakes.member_network import put_organisation
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fleet.test_assembly import FOUNDERS, AssemblyTestCase

WAITS = "membership step waits"
TOLERATES = "control cluster tolerates the planned losses"
CRITICAL = "control cluster loses its majority with the next disk; add a machine"
REPAIRING = (
    "control cluster loses its majority with the next disk; a learner takes over a vote"
)
HEALTH_EVENTS = (
    TOLERATES,
    REPAIRING,
    "control cluster tolerates fewer losses than planned",
    CRITICAL,
)
GAUGES = (
    "voters",
    "sound_voters",
    "tolerated_losses",
    "missing_machines",
    "lost_voters_without_successor",
    "waiting_retirements",
)

Line = dict[str, Any]


class ClusterTestCase(AssemblyTestCase):
    """Starts the founders and collects their log lines."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        structlog.reset_defaults()
        self.lines = self.enterContext(structlog.testing.capture_logs())
        for name in FOUNDERS:
            await self.assembly.start(name, first_start=True)
        self.leader = await self.network.leader()
        self.leader_id = self.leader.member_id
        self.followers = [n for n in FOUNDERS if n != self.leader.instance]

    def of(self, *events: str) -> list[Line]:
        return [dict(line) for line in self.lines if line["event"] in events]

    def health(self) -> ClusterHealth | None:
        return self.assembly.managers[self.leader.instance].monitor.health

    def gauges(self, name: str) -> tuple[float, ...]:
        registry = CollectorRegistry()
        monitor = self.assembly.managers[name].monitor
        observe_cluster_health(FleetMetrics(registry), monitor)
        values = [registry.get_sample_value(f"{METRIC_PREFIX}_{g}") for g in GAUGES]
        return tuple(value for value in values if value is not None)

    async def wait_event(self, event: str) -> Line:
        await self.network.wait(lambda: bool(self.of(event)), event)
        return self.of(event)[0]


class HealthTests(ClusterTestCase):
    """The leader's lines and assessment."""

    async def test_lost_voter_is_logged_before_the_next_loss(self) -> None:
        lost = self.followers[0]
        await self.wait_event(TOLERATES)
        lost_id = self.network.running[lost].member_id
        await self.assembly.stop(lost, lose_disk=True)
        lost_at = self.network.clock.monotonic()
        line = await self.wait_event(CRITICAL)
        self.assertLess(self.network.clock.monotonic() - lost_at, 4.0)
        self.assertTrue(self.leader.holds_lease(), "the majority still runs")
        self.assertEqual("error", line["log_level"])
        self.assertEqual((lost,), line["lost_without_successor"])
        silent = line["silent_seconds_by_voter"]
        self.assertEqual(3, len(silent))
        self.assertGreaterEqual(silent[lost_id], LOST_VOTER_SECONDS)
        self.assertEqual(1, sum(seconds > 1.0 for seconds in silent.values()))
        health = self.health()
        assert health is not None
        self.assertEqual((3, 2), (health.voters, health.sound_voters))
        self.assertEqual(0, health.tolerated_losses)
        self.assertEqual((3, 2, 0, 1, 1, 0), self.gauges(str(self.leader.instance)))
        for value in self.gauges(self.followers[1]):
            self.assertTrue(math.isnan(value), "another member does not know")
        await asyncio.sleep(20.0)
        self.assertEqual(
            [TOLERATES, CRITICAL],
            [line["event"] for line in self.of(*HEALTH_EVENTS)],
            "logged once",
        )
        await self.assembly.start("d")
        await self.network.wait(
            lambda: self.of(*HEALTH_EVENTS)[-1]["event"] == TOLERATES, "recovery"
        )
        self.assertEqual("info", self.of(*HEALTH_EVENTS)[-1]["log_level"])

    async def test_loss_that_a_learner_repairs_at_once_is_not_reported(self) -> None:
        await self.assembly.start("d")
        await self.wait_event(TOLERATES)
        await self.assembly.stop(self.followers[0], lose_disk=True)
        await asyncio.sleep(10.0)
        self.assertEqual(
            [(TOLERATES, "info")],
            [(line["event"], line["log_level"]) for line in self.of(*HEALTH_EVENTS)],
        )

    async def test_new_leader_reports_the_lost_one(self) -> None:
        lost = self.leader
        await self.assembly.stop(str(lost.instance), lose_disk=True)
        self.leader = await self.network.leader(but=lost)
        self.assertIsNone(self.health())
        line = await self.wait_event(CRITICAL)
        self.assertEqual((lost.instance,), line["lost_without_successor"])

    async def test_change_of_the_leader_reports_nobody_as_lost(self) -> None:
        former = self.leader
        self.network.isolate(str(former.instance))
        self.leader = await self.network.leader(but=former)
        self.network.heal()
        await asyncio.sleep(10.0)
        self.assertEqual([], self.of(CRITICAL))
        self.assertIsNone(self.assembly.managers[former.instance].monitor.health)

    async def test_retirement_without_a_machine_in_its_place(self) -> None:
        retiring = self.followers[0]
        await self.assembly.start("d")
        names = self.leader.machine.get(MachinesSlice).names_by_instance
        await self.network.wait(
            lambda: len(names) == len(self.leader.member_statuses()) == 4,
            "the learner and its machine's name",
        )
        await self.wait_event(TOLERATES)
        await self.assembly.stop("d", lose_disk=True)
        # The order is accepted, since the learner was heard of a moment ago.
        await asyncio.sleep(1.5)
        manager = self.assembly.managers[self.leader.instance]
        self.assertIsNone(await manager.retire(f"machine-{retiring}"))
        await self.network.wait(
            lambda: len(self.leader.member_statuses()) == 3, "the learner's removal"
        )

        def waits() -> bool:
            health = self.health()
            return health is not None and health.waiting_retirements == (retiring,)

        await self.network.wait(waits, "the retirement that waits")
        health = self.health()
        assert health is not None
        self.assertIs(ClusterState.FULL, health.state)
        line = self.of(*HEALTH_EVENTS)[-1]
        self.assertEqual((TOLERATES, 1), (line["event"], line["missing_machines"]))


class WaitLinesTests(ClusterTestCase):
    """The leader's lines on a step that waits.

    Guards against a step that doesn't finish without a reason in the log, and
    against a line for each check.
    """

    async def test_reason_is_logged_when_it_changes(self) -> None:
        lost = self.followers[0]
        await self.wait_event(TOLERATES)
        self.assertEqual([], self.of(WAITS), "in normal operation")
        await self.assembly.stop(lost, lose_disk=True)
        await asyncio.sleep(10.0)
        self.network.throughput_by_receiver["d"] = 1000.0
        for number in range(100):
            await put_organisation(self.leader, f"o{number}")
        learner = await self.assembly.start("d")
        await self.network.wait(lambda: self.first_words(learner)[1:] != [], "a line")
        self.network.throughput_by_receiver.clear()
        await self.assembly.wait_voters(str(self.leader.instance), "d", *self.others)
        await asyncio.sleep(5.0)
        vote = f"vote of lost {lost}: "
        first, *behind = self.first_words(learner)
        self.assertEqual(f"{vote}no learner", first)
        self.assertIn(f"{vote}LEARNER lacks", behind)
        self.assertLess(len(behind), 5)

    async def test_replacement_without_a_majority(self) -> None:
        learner = await self.assembly.start("d")
        await self.network.wait(lambda: learner.leader is not None, "the learner")
        await self.assembly.stop(self.followers[0], lose_disk=True)

        def is_replacing() -> bool:
            facts = self.leader.log_facts()
            return facts is not None and len(facts.voter_groups) > 1

        await self.network.wait(is_replacing, "the replacement", poll_seconds=0.001)
        self.network.isolate(self.others[0])
        line = await self.wait_event(WAITS)
        self.assertRegex(line["waits"], r"^replacement \d+ lacks answers of ")
        silent = self.network.running[self.others[0]].member_id
        self.assertIn(short_id(silent), line["waits"])
        self.network.heal()
        await self.assembly.wait_voters(str(self.leader.instance), "d", *self.others)

    @property
    def others(self) -> list[str]:
        return self.followers[1:]

    def first_words(self, learner: ControlMember) -> list[str]:
        """Return the reasons in the log, without their numbers."""
        name = short_id(learner.member_id)
        return [
            re.sub(r"(lacks|for) .*", r"\1", line["waits"].replace(name, "LEARNER"))
            for line in self.of(WAITS)
        ]


class FakeLeader:
    """A leader whose leadership began at a given time."""

    is_leader = True
    leadership_started_at = 0.0


class MonitorTests(PausedClockTestCase):
    """The monitor of a member that leads for the second time.

    Guards against a report that rests on times of its earlier leadership.
    """

    async def asyncSetUp(self) -> None:
        structlog.reset_defaults()
        self.lines = self.enterContext(structlog.testing.capture_logs())
        self.leader = FakeLeader()
        self.monitor = ClusterHealthMonitor(
            self.leader,  # type: ignore[arg-type]
            3,
            self.clock(),
        )

    async def check(
        self, silent_seconds: float, learner_silent_seconds: float | None = None
    ) -> None:
        members = [
            MemberFacts(MemberId(f"{name}#1"), InstanceId(name), True, silent, True)
            for name, silent in (("a", 0.0), ("b", 0.1), ("c", silent_seconds))
        ]
        if learner_silent_seconds is not None:
            learner, instance = MemberId("d#1"), InstanceId("d")
            members.append(
                MemberFacts(learner, instance, False, learner_silent_seconds, False)
            )
        self.monitor.check(members, frozenset())
        await asyncio.sleep(0.25)

    async def test_voter_that_answers_late_is_not_lost(self) -> None:
        for _ in range(10):
            await self.check(100.0)
        for _ in range(10):
            await self.check(0.1)
        self.assertEqual([TOLERATES], [line["event"] for line in self.lines])
        self.leader.leadership_started_at = self.clock().monotonic()
        self.assertIsNone(self.monitor.health, "of an earlier leadership")

    async def test_loss_that_a_learner_repairs_is_no_error(self) -> None:
        for _ in range(12):
            await self.check(0.1, 0.1)
        await self.check(3.0, 1.0)
        await self.check(0.1, 0.1)
        self.assertEqual(
            [(TOLERATES, "info"), (REPAIRING, "warning"), (TOLERATES, "info")],
            [(line["event"], line["log_level"]) for line in self.lines],
        )

    async def test_silence_is_counted_from_the_leadership(self) -> None:
        for step in range(20):
            await self.check(100.0 + 0.25 * step)
        (line,) = self.lines
        self.assertEqual(CRITICAL, line["event"])
        self.assertLess(line["silent_seconds_by_voter"]["c#1"], 5.0)
