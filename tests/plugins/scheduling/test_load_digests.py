"""Tests of the distribution of load reports from a home entry to another.

They guard against an old report that is taken for a new one, and against
traffic that grows with the number of renewals.
"""

import asyncio

from goldcrestyard.core.ids import InstanceId, Region, TargetId
from goldcrestyard.plugins.scheduling.load_digests import (
    BATCH_INTERVAL_SECONDS,
    MAX_REPORT_AGE_SECONDS,
    TargetLoadChannel,
    TargetLoadDigest,
    TargetLoadMerger,
    TargetLoadSummary,
)
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.wire.codec import Codec
from tests.fakes.paused_clock import PausedClockTestCase

ENGINE = TargetId("engine-1")
HOME = InstanceId("home")
OTHER = InstanceId("other")
LISBOA = Region("lisboa")


class TargetLoadTests(PausedClockTestCase):
    """Load reports received by an entry that is not the target's home."""

    async def asyncSetUp(self) -> None:
        self.codec = Codec()
        self.codec.register(TargetLoadDigest, TargetLoadSummary)
        self.reports: dict[TargetId, LoadReport] = {}
        self.learned: dict[TargetId, LoadReport] = {}
        clock = self.clock()
        self.home = TargetLoadChannel(
            lambda: iter(self.reports.items()), lambda *_: None, self.codec, clock
        )
        self.other = TargetLoadChannel(
            lambda: iter(()), self.learned.__setitem__, self.codec, clock
        )
        self.regions = {HOME: LISBOA, OTHER: LISBOA}
        self.merger = TargetLoadMerger(
            self.codec, clock, lambda _: LISBOA, self.regions.get
        )

    async def exchange(self) -> TargetLoadSummary:
        """Renew both entries; return the summary sent to the other one."""
        self.merger.merge(HOME, self.home.collect())
        self.merger.merge(OTHER, self.other.collect())
        await asyncio.sleep(BATCH_INTERVAL_SECONDS)
        summary = self.merger.summary(OTHER)
        self.other.receive(summary)
        return self.codec.decode(summary)

    async def test_report_arrives_with_its_age(self) -> None:
        await asyncio.sleep(10.0)
        self.reports[ENGINE] = LoadReport(700.0, 8.0)
        await self.exchange()
        self.assertEqual(self.learned, {ENGINE: LoadReport(700.0, 8.0)})

    async def test_unchanged_report_is_sent_once(self) -> None:
        self.reports[ENGINE] = LoadReport(700.0, 0.0)
        await self.exchange()
        await asyncio.sleep(1.07)
        self.assertEqual((await self.exchange()).batches, ())

    async def test_newer_report_replaces_the_last(self) -> None:
        self.reports[ENGINE] = LoadReport(700.0, 0.0)
        await self.exchange()
        await asyncio.sleep(2.0)
        self.reports[ENGINE] = LoadReport(50.0, 2.0)
        await self.exchange()
        self.assertEqual(self.learned, {ENGINE: LoadReport(50.0, 2.0)})

    async def test_stale_report_is_not_passed_on(self) -> None:
        self.reports[ENGINE] = LoadReport(700.0, 0.0)
        await asyncio.sleep(MAX_REPORT_AGE_SECONDS + 1.0)
        await self.exchange()
        self.assertEqual(self.learned, {})

    async def test_report_stays_in_its_region(self) -> None:
        """Guards against traffic on the billed link between regions."""
        self.regions[OTHER] = Region("porto")
        self.reports[ENGINE] = LoadReport(700.0, 0.0)
        self.assertEqual((await self.exchange()).batches, ())
        self.assertEqual(self.learned, {})

    async def test_entries_that_renew_together_get_the_same_batch(self) -> None:
        """Guards against a batch that only the first entry receives."""
        self.reports[ENGINE] = LoadReport(700.0, 0.0)
        first = await self.exchange()
        self.regions[InstanceId("third")] = LISBOA
        third = self.codec.decode(self.merger.summary(InstanceId("third")))
        self.assertEqual(first.batches, third.batches)
        self.assertEqual(len(first.batches), 1)
