"""Targets' own load reports, from their home entries to all entries.

A report names the target's state some seconds ago; its age travels with it,
since the clocks of two instances have nothing in common.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, Region, TargetId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.wire.codec import Codec

CHANNEL = "target_load"

TENTHS_OF_A_SECOND = 10.0
STALE_SECONDS = 30.0
"""Age at which a report says too little to be passed on."""

GATHER_SECONDS = 0.5
KEPT_SECONDS = 5.0
"""An entry that has not renewed for as long has lost its lease as well."""
BATCHES_BETWEEN_SWEEPS = 64


@dataclass(frozen=True, slots=True)
class TargetLoadDigest:
    """Waiting tokens and age in tenths of a second, by target.

    Whole numbers keep the digest small: at full size it is most of what an
    entry is sent.
    """

    loads_by_target: dict[TargetId, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class TargetLoadSummary:
    """Encoded digests, each with its age in tenths of a second."""

    batches: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class Batch:
    """The new loads of a region's targets, encoded for its entries."""

    number: int
    cut_at: float
    digest: bytes


HomeLoads = Callable[[], Iterator[tuple[TargetId, LoadReport]]]
Learn = Callable[[TargetId, LoadReport], None]


def encode_loads(
    codec: Codec, reports_by_target: dict[TargetId, LoadReport], now: float
) -> bytes:
    """Return a digest of the reports that are not stale."""
    loads = {
        target: (
            round(report.waiting_tokens),
            round((now - report.measured_at) * TENTHS_OF_A_SECOND),
        )
        for target, report in reports_by_target.items()
        if now - report.measured_at < STALE_SECONDS
    }
    return codec.encode(TargetLoadDigest(loads))


def decode_loads(codec: Codec, data: bytes, now: float) -> dict[TargetId, LoadReport]:
    """Return the reports of a digest on this instance's clock."""
    digest = codec.decode(data)
    if not isinstance(digest, TargetLoadDigest):
        return {}
    return {
        target: LoadReport(float(tokens), now - age / TENTHS_OF_A_SECOND)
        for target, (tokens, age) in digest.loads_by_target.items()
    }


class TargetLoadChannel(DigestChannel):
    """Tells the loads of this home's targets and learns those of others."""

    name = CHANNEL

    def __init__(
        self, home_loads: HomeLoads, learn: Learn, codec: Codec, clock: Clock
    ) -> None:
        self._home_loads = home_loads
        self._learn = learn
        self._codec = codec
        self._clock = clock

    def collect(self) -> bytes:
        """Return the loads of the targets whose renewals come here."""
        reports = dict(self._home_loads())
        for target, report in reports.items():
            self._learn(target, report)
        return encode_loads(self._codec, reports, self._clock.monotonic())

    def receive(self, summary: bytes) -> None:
        """Learn the loads that other homes have told."""
        decoded = self._codec.decode(summary)
        if not isinstance(decoded, TargetLoadSummary):
            return
        now = self._clock.monotonic()
        for age, digest in decoded.batches:
            cut_at = now - age / TENTHS_OF_A_SECOND
            for target, report in decode_loads(self._codec, digest, cut_at).items():
                self._learn(target, report)


class TargetLoadMerger(DigestMerger):
    """Keeps the latest loads and hands each on once to the target's region.

    New loads are gathered for a while and encoded once for all entries of a
    region: at full size hundreds of entries renew in that time.  Entries of
    another region hear nothing of a target, since they seldom use it and the
    link between regions is paid for by volume.
    """

    name = CHANNEL

    def __init__(
        self,
        codec: Codec,
        clock: Clock,
        region_of_target: Callable[[TargetId], Region | None],
        region_of_entry: Callable[[InstanceId], Region | None],
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._region_of_target = region_of_target
        self._region_of_entry = region_of_entry
        self._latest_by_target: dict[TargetId, LoadReport] = {}
        self._gathering: dict[Region, dict[TargetId, LoadReport]] = {}
        self._batches_by_region: dict[Region, deque[Batch]] = {}
        self._batch_number = 0
        self._cut_at = float("-inf")
        self._seen_by_entry: dict[InstanceId, int] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take in the loads of an entry's targets."""
        now = self._clock.monotonic()
        for target, report in decode_loads(self._codec, digest, now).items():
            known = self._latest_by_target.get(target)
            region = self._region_of_target(target)
            if region is None or (known is not None and not _is_newer(report, known)):
                continue
            self._latest_by_target[target] = report
            self._gathering.setdefault(region, {})[target] = report

    def summary(self, entry: InstanceId) -> bytes:
        """Return the batches that have come since the entry's last renewal."""
        now = self._clock.monotonic()
        if now - self._cut_at >= GATHER_SECONDS:
            self._cut(now)
        seen = self._seen_by_entry.get(entry, 0)
        self._seen_by_entry[entry] = self._batch_number
        region = self._region_of_entry(entry)
        batches = self._batches_by_region.get(region, ()) if region is not None else ()
        return self._codec.encode(
            TargetLoadSummary(
                tuple(
                    (round((now - batch.cut_at) * TENTHS_OF_A_SECOND), batch.digest)
                    for batch in batches
                    if batch.number > seen
                )
            )
        )

    def _cut(self, now: float) -> None:
        """Close the batch of each region, and forget what is too old."""
        self._cut_at = now
        self._batch_number += 1
        for region, reports in self._gathering.items():
            batches = self._batches_by_region.setdefault(region, deque())
            digest = encode_loads(self._codec, reports, now)
            batches.append(Batch(self._batch_number, now, digest))
            while now - batches[0].cut_at > KEPT_SECONDS:
                batches.popleft()
        self._gathering = {}
        if self._batch_number % BATCHES_BETWEEN_SWEEPS == 0:
            self._latest_by_target = {
                target: report
                for target, report in self._latest_by_target.items()
                if now - report.measured_at < STALE_SECONDS
            }


def _is_newer(report: LoadReport, known: LoadReport) -> bool:
    # A repeated report differs by the rounding of its age.
    return report.measured_at > known.measured_at + 2 / TENTHS_OF_A_SECOND
