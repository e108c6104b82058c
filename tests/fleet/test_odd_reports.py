"""Tests of reports that another writer sends beside those of the targets."""

import asyncio
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.heartbeats import Heartbeat
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.policy.test_heartbeats import HEARTBEAT

T = TargetId("t")
ROUNDS = 8
SOUND = replace(HEARTBEAT, started_at_ms=int(EPOCH * 1000) - 10_000)
NOW_MS = int(EPOCH * 1000)


@dataclass(frozen=True)
class OddReport:
    """A report of another writer, repeated as often as a target's own."""

    name: str
    report: Heartbeat


def odd(name: str, **changes: object) -> tuple[str, OddReport]:
    report = replace(SOUND, sequence=1000, service="billing", **changes)  # type: ignore[arg-type]
    return name, OddReport(name, report)


OTHER = TargetId("other")
DRAINING = TargetState.DRAINING


class OddReportTests(PausedClockTestCase):
    """Guards against reports of others that end the use of sound targets."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(TargetsSlice)
        self.targets = self.machine.get(TargetsSlice)
        self.services: tuple[str, ...] = ("quotes",)
        member = FakeMember(self.machine, self.clock())
        self.tracker = TargetTracker(
            member,  # type: ignore[arg-type]
            {DataCentre("dc"): Region("r")},
            1.0,
            self.clock(),
            lambda: self.services,
        )
        watching = asyncio.create_task(self.tracker.run())
        self.addCleanup(watching.cancel)

    @parameterized.expand(
        [
            odd("later_start_at_its_address", id=OTHER, started_at_ms=NOW_MS),
            odd("earlier_start_at_its_address", id=OTHER, started_at_ms=1),
            odd("far_future_at_its_address", id=OTHER, started_at_ms=2**53 - 1),
            odd("its_id", started_at_ms=NOW_MS),
            odd("its_id_and_drains", started_at_ms=NOW_MS, state=DRAINING),
            odd("its_run"),
            odd("its_run_and_drains", state=DRAINING),
            odd("its_id_at_another_address", address="10.0.0.9:1"),
            odd("its_id_in_the_future", started_at_ms=2**53 - 1, state=DRAINING),
        ]
    )
    async def test_sound_target_stays_in_use(self, _: str, case: OddReport) -> None:
        for odd_first in (False, True):
            for number in range(ROUNDS):
                sound = replace(SOUND, sequence=100 * (odd_first + 1) + number)
                reports = (sound, replace(case.report, sequence=1000 + number))
                for report in reversed(reports) if odd_first else reports:
                    self.assertIsNone(await self.tracker.heartbeat(report))
                    await asyncio.sleep(0.5)
                serving = self.targets.serving("quotes")
                self.assertEqual(
                    [target.address for target in serving], [SOUND.address]
                )
            self.assertEqual(list(self.targets.homed_by_id), [T])

    async def test_target_of_a_dropped_service_stays_known(self) -> None:
        """Guards against targets lost by a gap in the configuration."""
        await self.tracker.heartbeat(SOUND)
        self.services = ()
        for number in range(ROUNDS):
            await self.tracker.heartbeat(replace(SOUND, sequence=10 + number))
            await asyncio.sleep(1.0)
        self.assertEqual(list(self.targets.homed_by_id), [T])
        draining = replace(SOUND, sequence=50, state=DRAINING)
        await self.tracker.heartbeat(draining)
        self.services = ("quotes",)
        self.assertEqual(self.targets.serving("quotes"), ())

    async def test_target_is_used_once_its_service_is_configured(self) -> None:
        self.services = ()
        await self.tracker.heartbeat(SOUND)
        self.assertEqual(list(self.targets.homed_by_id), [])
        self.services = ("quotes",)
        await self.tracker.heartbeat(replace(SOUND, sequence=6))
        self.assertEqual(list(self.targets.homed_by_id), [T])
