"""The request limits that targets have named in their answers.

Each process records the limits in the answers that it receives.  Entries and
the leader exchange them with the lease renewals, so that an entry that has
not called a target yet keeps to the target's limit from its first request on.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import InstanceId, RequestRate, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.limits.messages import LimitRecord, LimitRecords
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.wire.codec import Codec

logger = structlog.get_logger(__name__)

CHANNEL_NAME = "request_limits"

RECORD_SECONDS = 30.0
"""Time in seconds for which an answer counts.  A limit and the end of one are
forgotten at the same age; otherwise an old limit would outlive its end."""

MAX_TRANSIT_SECONDS = 0.2
"""A record of another process replaces one of nearly the same age only if it
is newer by more than this, since its transit makes it look newer."""


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The limit in the latest answer of one run of a target."""

    incarnation: str
    rate: RequestRate | None
    """None if the answer named no limit any more."""
    named_at: float
    """Monotonic time of the answer in seconds."""
    own: bool
    """Whether this process received the answer."""


class KnownLimits:
    """What this process knows of the targets' request limits."""

    def __init__(self, metrics: FleetMetrics, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._named_by_target: dict[TargetId, NamedLimit] = {}

    def observe(self, target: Target, rate: RequestRate | None) -> None:
        """Record the limit in an answer that has just arrived, or its lack."""
        self._metrics.target_answers.labels("no" if rate is None else "yes").inc()
        named = self._named_by_target.get(target.id)
        if rate is None and named is None:
            return
        now = self._clock.monotonic()
        if rate is not None or self.rate(target) is not None:
            self._put(target.id, NamedLimit(target.incarnation, rate, now, True))

    def adopt(self, record: LimitRecord) -> None:
        """Take over what another process knows, unless it is older."""
        if record.age_seconds > RECORD_SECONDS:
            return
        named_at = self._clock.monotonic() - record.age_seconds
        known = self._named_by_target.get(record.target)
        if known is None or named_at > known.named_at + MAX_TRANSIT_SECONDS:
            self._put(
                record.target,
                NamedLimit(record.incarnation, record.rate, named_at, False),
            )

    def rate(self, target: Target) -> RequestRate | None:
        """Return a target's limit; None if it names none now."""
        named = self._named_by_target.get(target.id)
        if (
            named is None
            or named.incarnation != target.incarnation
            or self._clock.monotonic() - named.named_at > RECORD_SECONDS
        ):
            return None
        return named.rate

    def record(self, target: TargetId) -> LimitRecord | None:
        """Return what is known of a target; None if nothing is."""
        named = self._named_by_target.get(target)
        if named is None:
            return None
        age_seconds = max(0.0, self._clock.monotonic() - named.named_at)
        return LimitRecord(target, named.incarnation, named.rate, age_seconds)

    def records(self, *, own: bool) -> LimitRecords:
        """Return all records, or only those of answers to this process."""
        self._discard_old()
        known = (
            self.record(target)
            for target, named in self._named_by_target.items()
            if named.own or not own
        )
        return LimitRecords(tuple(record for record in known if record is not None))

    def adopt_all(self, records: Iterable[LimitRecord]) -> None:
        """Take over the records of another process."""
        for record in records:
            self.adopt(record)

    def _put(self, target: TargetId, named: NamedLimit) -> None:
        before = self._named_by_target.get(target)
        self._named_by_target[target] = named
        self._metrics.limited_targets.set(
            sum(each.rate is not None for each in self._named_by_target.values())
        )
        if before is not None and before.rate == named.rate:
            return
        if named.rate is None:
            logger.info(
                "target names no request limit any more",
                target=target,
                incarnation=named.incarnation,
                own_answer=named.own,
            )
        else:
            logger.info(
                "target named a request limit",
                target=target,
                incarnation=named.incarnation,
                requests_per_second=named.rate,
                own_answer=named.own,
            )

    def _discard_old(self) -> None:
        oldest = self._clock.monotonic() - RECORD_SECONDS
        for target, named in list(self._named_by_target.items()):
            if named.named_at < oldest:
                del self._named_by_target[target]


class LimitsChannel(DigestChannel):
    """Exchanges the limits that an entry knows with the leader."""

    name = CHANNEL_NAME

    def __init__(self, known: KnownLimits, codec: Codec) -> None:
        self._known = known
        self._codec = codec

    def collect(self) -> bytes:
        """Return the limits in answers to this entry.

        What the leader has told is left out: each return of a record would
        make it look newer.
        """
        return self._codec.encode(self._known.records(own=True))

    def receive(self, summary: bytes) -> None:
        """Take over the limits that the leader knows."""
        records = self._codec.decode(summary)
        assert isinstance(records, LimitRecords)
        self._known.adopt_all(records.records)


class LimitsMerger(DigestMerger):
    """Merges the limits that all entries know, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, known: KnownLimits, codec: Codec) -> None:
        self._known = known
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take over the limits that an entry knows."""
        records = self._codec.decode(digest)
        assert isinstance(records, LimitRecords)
        self._known.adopt_all(records.records)

    def summary(self, entry: InstanceId) -> bytes:
        """Return all known limits."""
        return self._codec.encode(self._known.records(own=False))
