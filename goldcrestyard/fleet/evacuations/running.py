"""Requests of all processes that still run in evacuated data centres."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "evacuated_requests"

REPORT_SECONDS = 3.0
"""Time in seconds for which an entry's report counts; entries report with each
renewal, twice a second."""


@dataclass(frozen=True, slots=True)
class RunningRequests:
    """Digest of an entry: its requests that run, by evacuated data centre."""

    counts_by_data_centre: dict[DataCentre, int]


class RunningChannel(DigestChannel):
    """Reports an entry's running requests to the leader."""

    name = CHANNEL_NAME

    def __init__(self, exclusions: TargetExclusions, codec: Codec) -> None:
        self._exclusions = exclusions
        self._codec = codec

    def collect(self) -> bytes | None:
        """Return the counts, empty if none runs; None without evacuations."""
        if not self._exclusions.count_evacuated():
            return None
        counts = self._exclusions.running_by_data_centre()
        return self._codec.encode(RunningRequests(counts)) if counts else b""

    def receive(self, summary: bytes) -> None:
        """Ignore the summary: an entry needs only its own counts."""


class RunningMerger(DigestMerger):
    """Adds up the running requests of all processes, on the leader."""

    name = CHANNEL_NAME

    def __init__(
        self, exclusions: TargetExclusions, codec: Codec, clock: Clock
    ) -> None:
        self._exclusions = exclusions
        self._codec = codec
        self._clock = clock
        self._reports_by_entry: dict[InstanceId, tuple[float, RunningRequests]] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Store the counts of an entry."""
        if not digest:
            self._reports_by_entry.pop(entry, None)
            return
        report = self._codec.decode(digest)
        assert isinstance(report, RunningRequests)
        self._reports_by_entry[entry] = self._clock.monotonic(), report

    def summary(self, entry: InstanceId) -> bytes:
        """Return nothing: an entry needs only its own counts."""
        return b""

    def count(self, data_centre: DataCentre) -> int:
        """Return the requests that run in an evacuated data centre."""
        oldest = self._clock.monotonic() - REPORT_SECONDS
        self._reports_by_entry = {
            entry: (at, report)
            for entry, (at, report) in self._reports_by_entry.items()
            if at >= oldest
        }
        own = self._exclusions.running_by_data_centre().get(data_centre, 0)
        return own + sum(
            report.counts_by_data_centre.get(data_centre, 0)
            for _, report in self._reports_by_entry.values()
        )
