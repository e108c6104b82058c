"""The targets that have said in an answer that they leave.

A process that sees such an answer sends the target no new work from then on,
whether or not it can reach the leader.  Entries report these targets with
their lease renewals, and the leader drains them for all processes.
"""

import asyncio
from collections.abc import Iterable

import structlog

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.leaving.messages import LeavingRecord, LeavingRecords
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.leaving_notices import LeavingNotice, applies_to, latest
from goldcrestyard.wire.codec import Codec

logger = structlog.get_logger(__name__)

CHANNEL_NAME = "leaving_targets"

MAX_NOTICES = 4096
"""Notices that a process keeps; the oldest is dropped first.  A target that
has left can come back only with a late heartbeat, within minutes."""


class LeavingTargets:
    """What this process knows of the targets that leave."""

    def __init__(self, targets: TargetsSlice, clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._notices_by_target: dict[TargetId, LeavingNotice] = {}
        self.changed = asyncio.Event()
        """Set when a run is added; whoever waits for it clears it."""

    def observe(self, target: Target, seconds_since_sent: float) -> None:
        """Record an answer in which a target says that it leaves.

        ``seconds_since_sent`` is the time since the sending of the request.
        """
        asked_at = self._clock.wall() - seconds_since_sent
        self._record(target.id, LeavingNotice(target.incarnation, asked_at), own=True)

    def adopt(self, records: Iterable[LeavingRecord]) -> None:
        """Take over what an entry has seen of the runs known here."""
        for record in records:
            target = self._targets.find(record.target)
            if target is not None and target.incarnation == record.incarnation:
                # Without a time of its own, it applies to no later run.
                notice = LeavingNotice(record.incarnation, 0.0)
                self._record(record.target, notice, own=False)

    def includes(self, target: Target) -> bool:
        """Return whether a run of a target has said that it leaves."""
        notice = self._notices_by_target.get(target.id)
        return notice is not None and applies_to(notice, target.incarnation)

    def undrained(self) -> list[Target]:
        """Return the runs that leave, but count as ready in the state.

        Only a run that was known when it answered is certain enough to be
        drained for all processes.
        """
        found: list[Target] = []
        for target_id, notice in self._notices_by_target.items():
            target = self._targets.find(target_id)
            if (
                target is not None
                and target.state is TargetState.READY
                and target.incarnation == notice.incarnation
            ):
                found.append(target)
        return found

    def count(self) -> int:
        """Return the number of known targets that leave."""
        known = map(self._targets.find, self._notices_by_target)
        return sum(target is not None and self.includes(target) for target in known)

    def count_services(self) -> int:
        """Return the number of services whose ready targets all leave."""
        names = {name for target in self.undrained() for name in target.serves}
        return sum(self._all_leave(name) for name in names)

    def _all_leave(self, service: str) -> bool:
        return all(map(self.includes, self._targets.serving(service)))

    def _record(self, target_id: TargetId, notice: LeavingNotice, *, own: bool) -> None:
        known = self._notices_by_target.pop(target_id, None)
        held = self._notices_by_target[target_id] = latest(known, notice)
        if known is not None and known.incarnation == held.incarnation:
            return
        if len(self._notices_by_target) > MAX_NOTICES:
            del self._notices_by_target[next(iter(self._notices_by_target))]
        self.changed.set()
        logger.info(
            "target said that it leaves",
            target=target_id,
            incarnation=held.incarnation,
            own_answer=own,
        )
        target = self._targets.find(target_id)
        for name in target.serves if target is not None else ():
            serving = self._targets.serving(name)
            if serving and self._all_leave(name):
                logger.warning(
                    "all ready targets of a service leave",
                    service=name,
                    targets=len(serving),
                )


class LeavingChannel(DigestChannel):
    """Reports the targets that leave to the leader."""

    name = CHANNEL_NAME

    def __init__(self, leaving: LeavingTargets, codec: Codec) -> None:
        self._leaving = leaving
        self._codec = codec

    def collect(self) -> bytes:
        """Return the runs that leave, until the leader has drained them."""
        return self._codec.encode(
            LeavingRecords(
                tuple(
                    LeavingRecord(target.id, target.incarnation)
                    for target in self._leaving.undrained()
                )
            )
        )

    def receive(self, summary: bytes) -> None:
        """Ignore the summary: a drained target is in the replicated state."""


class LeavingMerger(DigestMerger):
    """Collects the targets that leave from all entries, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, leaving: LeavingTargets, codec: Codec) -> None:
        self._leaving = leaving
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take over the targets that an entry reports."""
        records = self._codec.decode(digest)
        assert isinstance(records, LeavingRecords)
        self._leaving.adopt(records.records)

    def summary(self, entry: InstanceId) -> bytes:
        """Return nothing: a drained target is in the replicated state."""
        return b""
