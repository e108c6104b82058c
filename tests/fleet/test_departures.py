"""Tests of targets that leave while their heartbeats are late or silent."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.tracking.departed import Confirm
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.plugins.targets.slices import (
    DEPARTURE_SECONDS,
    MAX_DEPARTURES,
    TargetsSlice,
)
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.policy.test_heartbeats import HEARTBEAT

T = TargetId("t")
LOST_SECONDS = 4.0


class Step(Enum):
    """What happens to a target, to its messages or to the leader."""

    HEARTBEAT = "a heartbeat arrives"
    LATE_HEARTBEAT = "a heartbeat of the run arrives that was sent before"
    DRAINING = "a heartbeat that it drains arrives"
    SILENCE = "nothing arrives until the target is lost"
    DEPARTURE = "its departure is acknowledged"
    OTHER_LEADER = "another member leads"
    RESTART = "all members restart from their snapshots"
    RESTARTED_TARGET = "a heartbeat of a later run arrives"
    LATE_OF_FIRST_RUN = "a heartbeat of the first run arrives"
    LONG_TIME = "the time passes in which late heartbeats arrive"
    ANSWERED_HEARTBEAT = "a heartbeat arrives whose sender waits for the answer"
    ANSWERED_AGAIN = "a heartbeat is repeated whose sender waits for the answer"
    ANSWERED_DRAINING = "the sender of a heartbeat that it drains waits"
    RUN_STARTS = "a later run starts, whose messages arrive from now on"
    DRAINING_OF_FIRST_RUN = "a heartbeat that the first run drains arrives"
    OTHER_ADDRESS = "the target has another address from now on"


S = Step


@dataclass(frozen=True)
class Departure:
    """Steps, and whether the target takes new work after them."""

    name: str
    steps: Sequence[Step]
    serves: bool = False


CASES = [
    Departure("known", [S.HEARTBEAT, S.DEPARTURE, S.LATE_HEARTBEAT]),
    Departure("lost", [S.HEARTBEAT, S.SILENCE, S.DEPARTURE, S.LATE_HEARTBEAT]),
    Departure(
        "lost_and_another_leader",
        [S.HEARTBEAT, S.SILENCE, S.DEPARTURE, S.OTHER_LEADER, S.LATE_HEARTBEAT],
    ),
    Departure(
        "lost_and_a_restart",
        [S.HEARTBEAT, S.SILENCE, S.DEPARTURE, S.RESTART, S.LATE_HEARTBEAT],
    ),
    Departure(
        "drained_and_lost",
        [S.HEARTBEAT, S.DRAINING, S.SILENCE, S.DEPARTURE, S.LATE_HEARTBEAT],
    ),
    Departure("never_heard", [S.DEPARTURE, S.LATE_HEARTBEAT]),
    Departure("never_heard_and_a_restart", [S.DEPARTURE, S.RESTART, S.LATE_HEARTBEAT]),
    Departure(
        "lost_without_departure", [S.HEARTBEAT, S.SILENCE, S.LATE_HEARTBEAT], True
    ),
    Departure("starts_again", [S.HEARTBEAT, S.DEPARTURE, S.RESTARTED_TARGET], True),
    Departure(
        "lost_and_starts_again",
        [S.HEARTBEAT, S.SILENCE, S.DEPARTURE, S.RESTARTED_TARGET],
        True,
    ),
    Departure("never_heard_starts_again", [S.DEPARTURE, S.RESTARTED_TARGET], True),
    Departure(
        "first_run_is_late_after_the_second",
        [S.HEARTBEAT, S.DEPARTURE, S.RESTARTED_TARGET, S.SILENCE, S.LATE_OF_FIRST_RUN],
    ),
    Departure(
        "second_run_leaves_unheard",
        [S.HEARTBEAT, S.DEPARTURE, S.DEPARTURE, S.LATE_OF_FIRST_RUN],
    ),
    Departure(
        "clock_of_the_target_is_behind",
        [S.DEPARTURE, S.LONG_TIME, S.HEARTBEAT],
        True,
    ),
]


GOES_ON = [S.ANSWERED_HEARTBEAT, S.ANSWERED_HEARTBEAT]
"""Two heartbeats, one interval apart, that show that a run goes on."""

UNHEARD_RUN = [S.HEARTBEAT, S.SILENCE, S.RUN_STARTS]
"""A target is lost and starts again before its departure arrives."""

EARLIER_RUN = [*UNHEARD_RUN, S.HEARTBEAT]
"""Its next run has registered before the departure arrives."""

ASKED_TWICE = [S.ANSWERED_HEARTBEAT, S.OTHER_LEADER, S.ANSWERED_HEARTBEAT]
"""One report to each of two leaders."""

SHOWN_AND_LEAVES = [S.ANSWERED_HEARTBEAT, S.DEPARTURE, S.ANSWERED_HEARTBEAT]
"""The run itself leaves between two of its reports."""

DELAYED = [
    Departure("next_run", [*EARLIER_RUN, S.DEPARTURE, *GOES_ON], True),
    Departure("twice", [*EARLIER_RUN, S.DEPARTURE, S.DEPARTURE, *GOES_ON], True),
    Departure(
        "twice_and_far_apart",
        [*EARLIER_RUN, S.DEPARTURE, *GOES_ON, S.DEPARTURE, *GOES_ON],
        True,
    ),
    Departure(
        "before_the_next_run_is_known",
        [*UNHEARD_RUN, S.DEPARTURE, *GOES_ON],
        True,
    ),
    Departure("first_run_unknown", [S.RUN_STARTS, S.DEPARTURE, *GOES_ON], True),
    Departure(
        "at_another_address",
        [*UNHEARD_RUN, S.OTHER_ADDRESS, S.HEARTBEAT, S.DEPARTURE, *GOES_ON],
        True,
    ),
    Departure(
        "another_leader",
        [*EARLIER_RUN, S.DEPARTURE, S.OTHER_LEADER, *GOES_ON],
        True,
    ),
    Departure(
        "another_leader_in_between",
        [*EARLIER_RUN, S.DEPARTURE, S.ANSWERED_HEARTBEAT, S.OTHER_LEADER, *GOES_ON],
        True,
    ),
    Departure("leader_asks_anew", [*EARLIER_RUN, S.DEPARTURE, *ASKED_TWICE]),
    Departure("restart", [*EARLIER_RUN, S.DEPARTURE, S.RESTART, *GOES_ON], True),
    Departure(
        "restart_afterwards",
        [*EARLIER_RUN, S.DEPARTURE, *GOES_ON, S.RESTART, S.HEARTBEAT],
        True,
    ),
    Departure(
        "late_draining_of_the_first_run",
        [*EARLIER_RUN, S.DEPARTURE, *GOES_ON, S.DRAINING_OF_FIRST_RUN],
        True,
    ),
    Departure("one_report_in_flight", [S.HEARTBEAT, S.DEPARTURE, S.ANSWERED_HEARTBEAT]),
    Departure(
        "one_report_repeated",
        [S.HEARTBEAT, S.DEPARTURE, S.ANSWERED_HEARTBEAT, S.ANSWERED_AGAIN],
    ),
    Departure(
        "leaves_after_it_was_shown_to_live",
        [*EARLIER_RUN, S.DEPARTURE, *SHOWN_AND_LEAVES],
    ),
    Departure(
        "late_reports_without_a_sender",
        [S.HEARTBEAT, S.DEPARTURE, *5 * [S.LATE_HEARTBEAT]],
    ),
    Departure(
        "report_in_flight_and_late_ones",
        [S.HEARTBEAT, S.DEPARTURE, S.ANSWERED_HEARTBEAT, *3 * [S.LATE_HEARTBEAT]],
    ),
    Departure(
        "draining",
        [S.HEARTBEAT, S.DEPARTURE, S.ANSWERED_DRAINING, S.ANSWERED_DRAINING],
    ),
    Departure(
        "drained_run_does_not_come_back",
        [S.HEARTBEAT, S.DRAINING, S.DEPARTURE, *GOES_ON],
    ),
]


class DepartureTests(PausedClockTestCase):
    """Guards against requests to a target whose departure was acknowledged."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self._use(TargetsSlice())
        self.started_at_ms = int(EPOCH * 1000)
        self.sequence = 5
        self.address = HEARTBEAT.address

    def _use(self, targets: TargetsSlice) -> None:
        """Let a new leader start with a state."""
        self.machine = machine_of(TargetsSlice)
        self.targets = self.machine.get(TargetsSlice)
        self.targets.load_snapshot(targets.to_snapshot())
        self.member = FakeMember(self.machine, self.clock())
        self._lead()

    def _lead(self) -> None:
        regions = {DataCentre("dc"): Region("r")}
        self.tracker = TargetTracker(self.member, regions, 1.0, self.clock())  # type: ignore[arg-type]

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_late_heartbeat(self, _: str, case: Departure) -> None:
        for step in case.steps:
            await self._play(step)
        serving = [target.id for target in self.targets.serving("quotes")]
        self.assertEqual(serving, [T] * case.serves)

    @parameterized.expand([(case.name, case) for case in DELAYED])
    async def test_delayed_departure(self, _: str, case: Departure) -> None:
        """Guards against a live target ended by its former run's departure.

        Its reports were acknowledged, and it was never used again.
        """
        for step in case.steps:
            await self._play(step)
        serving = [
            (target.id, target.address) for target in self.targets.serving("quotes")
        ]
        self.assertEqual(serving, [(T, self.address)] * case.serves)

    async def test_departed_target_that_reports_is_counted(self) -> None:
        await self._play(S.HEARTBEAT)
        self.assertEqual(self.tracker.unused_count(), 0)
        await self._play(S.DEPARTURE)
        await self._play(S.HEARTBEAT)
        self.assertEqual(self.tracker.unused_count(), 1)
        await asyncio.sleep(LOST_SECONDS)
        self.assertEqual(self.tracker.unused_count(), 0)

    async def test_departure_that_is_not_recorded_is_not_acknowledged(self) -> None:
        """Guards against unknown ids that displace what was acknowledged."""
        await self._play(S.DEPARTURE)
        refused = [
            await self.tracker.leave(TargetId(f"u{number}"))
            for number in range(MAX_DEPARTURES + 10)
        ]
        self.assertEqual(sum(refusal is not None for refusal in refused), 11)
        await self._play(S.LATE_HEARTBEAT)
        self.assertEqual(self.targets.serving("quotes"), ())
        await self._play(S.LONG_TIME)
        self.assertIsNone(await self.tracker.leave(TargetId("v")))

    async def test_lost_lead_is_told(self) -> None:
        self.member.is_leader = False
        self.assertIsNotNone(await self.tracker.leave(T))

    async def _play(self, step: Step) -> None:
        match step:
            case Step.HEARTBEAT:
                await self._beat()
            case Step.LATE_HEARTBEAT:
                await asyncio.sleep(1.5)
                await self._beat()
            case Step.DRAINING:
                await self._beat(state=TargetState.DRAINING)
            case Step.SILENCE:
                watching = asyncio.create_task(self.tracker.run())
                await asyncio.sleep(LOST_SECONDS)
                watching.cancel()
                self.assertEqual(self.targets.homed_by_id, {})
            case Step.DEPARTURE:
                self.assertIsNone(await self.tracker.leave(T))
            case Step.OTHER_LEADER:
                self._lead()
            case Step.RESTART:
                self._use(self.targets)
            case Step.RESTARTED_TARGET:
                await asyncio.sleep(5.0)
                later = int((EPOCH + asyncio.get_running_loop().time()) * 1000)
                await self._beat(started_at_ms=later, sequence=1)
            case Step.LATE_OF_FIRST_RUN:
                await self._beat()
            case Step.LONG_TIME:
                await asyncio.sleep(DEPARTURE_SECONDS + 1.0)
            case _:
                await self._play_delayed(step)

    async def _play_delayed(self, step: Step) -> None:
        """Play a step of a departure that arrives in the next run."""
        match step:
            case Step.ANSWERED_HEARTBEAT:
                await asyncio.sleep(1.0)
                await self._beat(waits=True)
            case Step.ANSWERED_AGAIN:
                self.sequence -= 1
                await self._beat(waits=True)
            case Step.ANSWERED_DRAINING:
                await self._beat(waits=True, state=TargetState.DRAINING)
            case Step.RUN_STARTS:
                await asyncio.sleep(1.0)
                self.first_started_at_ms = self.started_at_ms
                now = asyncio.get_running_loop().time()
                self.started_at_ms = int((EPOCH + now) * 1000)
                self.sequence = 0
            case Step.DRAINING_OF_FIRST_RUN:
                await self._beat(
                    started_at_ms=self.first_started_at_ms,
                    sequence=9,
                    state=TargetState.DRAINING,
                )
            case Step.OTHER_ADDRESS:
                self.address = "10.0.0.99:80"

    async def _beat(self, *, waits: bool = False, **changes: object) -> None:
        """Send a heartbeat; a sender that waits repeats it if asked to."""
        self.sequence += 1
        beat = replace(
            HEARTBEAT,
            started_at_ms=self.started_at_ms,
            sequence=self.sequence,
            address=self.address,
        )
        beat = replace(beat, **changes)  # type: ignore[arg-type]
        answer = await self.tracker.heartbeat(beat)
        if waits and isinstance(answer, Confirm):
            self.assertIsNone(await self.tracker.heartbeat(beat, answer.token))
