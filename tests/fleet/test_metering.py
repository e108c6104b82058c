"""Tests of usage metering: counting, closing and reporting windows."""

import asyncio

from goldcrestyard.core.ids import InstanceId, OrganisationId, RequestId, Term
from goldcrestyard.fleet.duties import Permit
from goldcrestyard.fleet.metering.apps import MeteringConfig
from goldcrestyard.fleet.metering.commands import CloseUsage, WindowCounts
from goldcrestyard.fleet.metering.meter import (
    UsageChannel,
    UsageMerger,
    UsageMeter,
)
from goldcrestyard.fleet.metering.reporting import ReportOutcome, UsageReporter
from goldcrestyard.fleet.metering.slices import MeteringSlice
from goldcrestyard.policy.usage_numbers import WindowNumber, window_number
from goldcrestyard.wire.codec import Codec
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

WINDOW = 5.0
TEJO = OrganisationId("tejo")


class FakeUsageApi:
    """Records the reports; returns the queued outcomes, then accepts."""

    def __init__(self) -> None:
        self.reports: list[tuple[WindowCounts, Term]] = []
        self.outcomes: list[ReportOutcome] = []

    async def report(self, counts: WindowCounts, permit: Permit) -> ReportOutcome:
        self.reports.append((counts, permit.fence))
        await asyncio.sleep(0.01)
        return self.outcomes.pop(0) if self.outcomes else ReportOutcome.ACCEPTED

    def windows(self) -> list[int]:
        return [counts.window for counts, _ in self.reports]


class MeteringTests(PausedClockTestCase):
    """Guards against wrong, late or contradictory usage reports."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.codec = Codec()
        self.codec.register(*MeteringConfig.messages, WindowCounts)
        self.machine = machine_of(MeteringSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.merger = UsageMerger(self.codec)
        self.api = FakeUsageApi()
        self._tasks: list[asyncio.Task[None]] = []

    def _lead(self) -> None:
        for task in self._tasks:
            task.cancel()
        reporter = UsageReporter(
            self.member,  # type: ignore[arg-type]
            self.merger,
            self.api,
            WINDOW,
            1.0,
            self.clock(),
        )
        self._tasks = [asyncio.create_task(reporter.run())]
        self.addCleanup(self._tasks[0].cancel)

    def _entry(self, name: str) -> UsageMeter:
        meter = UsageMeter(WINDOW)
        channel = UsageChannel(meter, self.codec)

        async def renew() -> None:
            while True:
                self.merger.merge(InstanceId(name), channel.collect())
                await asyncio.sleep(1.0)

        task = asyncio.create_task(renew())
        self.addCleanup(task.cancel)
        return meter

    def _count(self, meter: UsageMeter, request: str) -> None:
        meter.count(TEJO, RequestId(request), self.clock().wall())

    async def test_sum_of_all_entries(self) -> None:
        self._lead()
        first, second = self._entry("a"), self._entry("b")
        window = window_number(self.clock().wall(), WINDOW)
        for number in range(3):
            self._count(first, f"a{number}")
        self._count(second, "b")
        self._count(second, "b")
        await asyncio.sleep(10.0)
        reported = {c.window: c.counts_by_organisation for c, _ in self.api.reports}
        self.assertEqual(reported[window], {TEJO: 4})

    async def test_counts_of_an_entry_that_restarts_are_kept(self) -> None:
        self._lead()
        window = window_number(self.clock().wall(), WINDOW)
        self._count(self._entry("a"), "1")
        await asyncio.sleep(1.5)
        again = self._entry("a")
        for number in range(2):
            self._count(again, f"n{number}")
        await asyncio.sleep(1.5)
        total = self.merger.total(window).counts_by_organisation
        self.assertEqual(total, {TEJO: 3})

    async def test_windows_without_use_are_reported_too(self) -> None:
        self._lead()
        await asyncio.sleep(26.0)
        windows = self.api.windows()
        self.assertGreaterEqual(len(windows), 5)
        self.assertEqual(windows, list(range(windows[0], windows[0] + len(windows))))

    async def test_unanswered_report_is_repeated_exactly(self) -> None:
        self.api.outcomes = [ReportOutcome.UNKNOWN] * 3
        meter = self._entry("a")
        self._count(meter, "1")
        self._lead()
        await asyncio.sleep(12.0)
        first = self.api.reports[0][0]
        repeats = [c for c, _ in self.api.reports if c.window == first.window]
        self.assertEqual(len(repeats), 4)
        self.assertEqual(set(map(str, repeats)), {str(first)})

    async def test_next_leader_reports_what_the_last_one_closed(self) -> None:
        self.api.outcomes = [ReportOutcome.UNKNOWN] * 100
        self._lead()
        await asyncio.sleep(4.0)
        closed = self.api.reports[0][0]
        self.member.lead(2)
        self.merger = UsageMerger(self.codec)
        self.api.reports.clear()
        self.api.outcomes.clear()
        self._lead()
        await asyncio.sleep(0.9)
        self.assertEqual(self.api.reports, [], "within the quiet time")
        await asyncio.sleep(2.0)
        self.assertEqual(self.api.reports[0], (closed, Term(2)))

    async def test_nothing_is_sent_without_the_lease(self) -> None:
        self.member.lease = False
        self._lead()
        await asyncio.sleep(12.0)
        self.assertEqual(self.api.reports, [])

    async def test_window_is_closed_once(self) -> None:
        self._lead()
        await asyncio.sleep(8.0)
        known = self.machine.get(MeteringSlice).last_closed
        assert known is not None
        again = WindowCounts(WindowNumber(known), {TEJO: 99})
        apply(self.machine, CloseUsage(again))
        await asyncio.sleep(1.0)
        self.assertNotIn(again, [counts for counts, _ in self.api.reports])
