"""Targets' own load reports, from their home entries to all entries.

A report names the target's state some seconds ago; its age travels with it,
since the clocks of two instances have nothing in common.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.wire.codec import Codec

CHANNEL = "target_load"

TENTHS_OF_A_SECOND = 10.0
STALE_SECONDS = 30.0
"""Age at which a report says too little to be passed on."""


@dataclass(frozen=True, slots=True)
class TargetLoadDigest:
    """Waiting tokens and age in tenths of a second, by target.

    Whole numbers keep the digest small: at full size it is most of what an
    entry is sent.
    """

    loads_by_target: dict[TargetId, tuple[int, int]]


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
        reports = decode_loads(self._codec, summary, self._clock.monotonic())
        for target, report in reports.items():
            self._learn(target, report)


class TargetLoadMerger(DigestMerger):
    """Keeps the latest load of each target.

    An entry is sent only what has come since its last renewal, so that the
    traffic follows the targets' reports and not the entries' renewals.
    """

    name = CHANNEL

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        # In the order of arrival; the number says what an entry has seen.
        self._numbered: OrderedDict[TargetId, tuple[int, LoadReport]] = OrderedDict()
        self._number = 0
        self._seen_by_entry: dict[InstanceId, int] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take in the loads of an entry's targets."""
        now = self._clock.monotonic()
        for target, report in decode_loads(self._codec, digest, now).items():
            known = self._numbered.get(target)
            if known is not None and not _is_newer(report, known[1]):
                continue
            self._number += 1
            self._numbered[target] = (self._number, report)
            self._numbered.move_to_end(target)
        self._forget_stale(now)

    def summary(self, entry: InstanceId) -> bytes:
        """Return the loads that have come since the entry's last renewal."""
        seen = self._seen_by_entry.get(entry, 0)
        newer: dict[TargetId, LoadReport] = {}
        for target in reversed(self._numbered):
            number, report = self._numbered[target]
            if number <= seen:
                break
            newer[target] = report
        self._seen_by_entry[entry] = self._number
        return encode_loads(self._codec, newer, self._clock.monotonic())

    def _forget_stale(self, now: float) -> None:
        while self._numbered:
            target, (_, report) = next(iter(self._numbered.items()))
            if now - report.measured_at < STALE_SECONDS:
                return
            del self._numbered[target]


def _is_newer(report: LoadReport, known: LoadReport) -> bool:
    # A repeated report differs by the rounding of its age.
    return report.measured_at > known.measured_at + 2 / TENTHS_OF_A_SECOND
