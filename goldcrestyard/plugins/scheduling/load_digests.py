"""Distribution of target load reports from home entries to other entries.

Reports travel through the leader on lease renewals.  Each is sent with its
age instead of a time stamp, because monotonic clocks of different instances
are not comparable.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, Region, TargetId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "target_load"

AGE_UNITS_PER_SECOND = 10.0
"""Ages are sent in tenths of a second."""

MAX_REPORT_AGE_SECONDS = 30.0
"""Older reports are not sent, since they say little about the current load."""

BATCH_INTERVAL_SECONDS = 0.5
BATCH_RETENTION_SECONDS = 5.0
"""An entry that has not renewed for this long has lost its lease anyway."""

CLEANUP_INTERVAL_BATCHES = 64
"""Number of batches between removals of old reports."""


@dataclass(frozen=True, slots=True)
class TargetLoadDigest:
    """Waiting tokens and age in tenths of a second, by target.

    Both are integers to keep the digest small: in a large cluster, digests
    are most of the data that an entry is sent.
    """

    loads_by_target: dict[TargetId, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class TargetLoadSummary:
    """Encoded load digests, each with its age in tenths of a second."""

    batches: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class LoadBatch:
    """Load reports of one region's targets, encoded once for its entries."""

    number: int
    created_at: float
    digest: bytes


ReadLoads = Callable[[], Iterator[tuple[TargetId, LoadReport]]]
RecordLoad = Callable[[TargetId, LoadReport], None]


def encode_loads(
    codec: Codec, reports_by_target: dict[TargetId, LoadReport], now: float
) -> bytes:
    """Return an encoded digest of the reports that are recent enough."""
    loads = {
        target: (
            round(report.waiting_tokens),
            round((now - report.measured_at) * AGE_UNITS_PER_SECOND),
        )
        for target, report in reports_by_target.items()
        if now - report.measured_at < MAX_REPORT_AGE_SECONDS
    }
    return codec.encode(TargetLoadDigest(loads))


def decode_loads(codec: Codec, data: bytes, now: float) -> dict[TargetId, LoadReport]:
    """Return the reports of a digest, with times on this instance's clock.

    ``now`` is the time at which the digest was created.
    """
    digest = codec.decode(data)
    if not isinstance(digest, TargetLoadDigest):
        return {}
    return {
        target: LoadReport(float(tokens), now - age / AGE_UNITS_PER_SECOND)
        for target, (tokens, age) in digest.loads_by_target.items()
    }


class TargetLoadChannel(DigestChannel):
    """Sends the loads of targets homed here and records those of others."""

    name = CHANNEL_NAME

    def __init__(
        self, read_loads: ReadLoads, record_load: RecordLoad, codec: Codec, clock: Clock
    ) -> None:
        self._read_loads = read_loads
        self._record_load = record_load
        self._codec = codec
        self._clock = clock

    def collect(self) -> bytes:
        """Return the loads of the targets that renew their lease here."""
        reports = dict(self._read_loads())
        for target, report in reports.items():
            self._record_load(target, report)
        return encode_loads(self._codec, reports, self._clock.monotonic())

    def receive(self, summary: bytes) -> None:
        """Record the loads that the leader forwards from other entries."""
        decoded = self._codec.decode(summary)
        if not isinstance(decoded, TargetLoadSummary):
            return
        now = self._clock.monotonic()
        for age, digest in decoded.batches:
            created_at = now - age / AGE_UNITS_PER_SECOND
            for target, report in decode_loads(self._codec, digest, created_at).items():
                self._record_load(target, report)


class TargetLoadMerger(DigestMerger):
    """Forwards each new load report once to the entries of its region.

    New reports are collected for ``BATCH_INTERVAL_SECONDS`` and encoded once
    for all entries of a region, since hundreds of entries may renew in that
    time.  Entries of other regions get no report on a target, since they
    seldom use it and the link between regions is billed by volume.
    """

    name = CHANNEL_NAME

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
        self._pending_by_region: dict[Region, dict[TargetId, LoadReport]] = {}
        self._batches_by_region: dict[Region, deque[LoadBatch]] = {}
        self._batch_number = 0
        self._last_batch_at = float("-inf")
        self._last_sent_by_entry: dict[InstanceId, int] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Add the new reports of an entry to the next batches."""
        now = self._clock.monotonic()
        for target, report in decode_loads(self._codec, digest, now).items():
            known = self._latest_by_target.get(target)
            region = self._region_of_target(target)
            if region is None or (known is not None and not _is_newer(report, known)):
                continue
            self._latest_by_target[target] = report
            self._pending_by_region.setdefault(region, {})[target] = report

    def summary(self, entry: InstanceId) -> bytes:
        """Return the batches created since the entry's last renewal."""
        now = self._clock.monotonic()
        if now - self._last_batch_at >= BATCH_INTERVAL_SECONDS:
            self._close_batches(now)
        last_sent = self._last_sent_by_entry.get(entry, 0)
        self._last_sent_by_entry[entry] = self._batch_number
        region = self._region_of_entry(entry)
        batches = self._batches_by_region.get(region, ()) if region is not None else ()
        return self._codec.encode(
            TargetLoadSummary(
                tuple(
                    (
                        round((now - batch.created_at) * AGE_UNITS_PER_SECOND),
                        batch.digest,
                    )
                    for batch in batches
                    if batch.number > last_sent
                )
            )
        )

    def _close_batches(self, now: float) -> None:
        """Encode the pending reports of each region; drop old batches."""
        self._last_batch_at = now
        self._batch_number += 1
        for region, reports in self._pending_by_region.items():
            batches = self._batches_by_region.setdefault(region, deque())
            digest = encode_loads(self._codec, reports, now)
            batches.append(LoadBatch(self._batch_number, now, digest))
            while now - batches[0].created_at > BATCH_RETENTION_SECONDS:
                batches.popleft()
        self._pending_by_region = {}
        if self._batch_number % CLEANUP_INTERVAL_BATCHES == 0:
            self._latest_by_target = {
                target: report
                for target, report in self._latest_by_target.items()
                if now - report.measured_at < MAX_REPORT_AGE_SECONDS
            }


def _is_newer(report: LoadReport, known: LoadReport) -> bool:
    # A report that is sent again may seem newer by the rounding of its age.
    return report.measured_at > known.measured_at + 2 / AGE_UNITS_PER_SECOND
