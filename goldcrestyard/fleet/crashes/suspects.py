"""The requests under which targets have crashed, as each process knows them.

Entries report the crashes that they see with their lease renewals, and the
leader returns those of all entries.  A record is sent again until the leader
has it, so a new leader soon knows what any entry knows.
"""

import random
from collections.abc import Callable

from goldcrestyard.core.ids import InstanceId, RequestDigest
from goldcrestyard.fleet.crashes.commands import (
    CrashingRequest,
    RejectRequest,
    SuspectRequest,
)
from goldcrestyard.fleet.crashes.messages import (
    AnswerRecord,
    CrashRecord,
    SuspectRecords,
)
from goldcrestyard.fleet.crashes.slices import CrashingRequestsSlice
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.crashing_requests import (
    HELD_AFTER_CRASHES,
    REJECTED_SECONDS,
    Crash,
    CrashTally,
    TargetRun,
)
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "crashing_requests"

MAX_REPORTED_SUSPECTS = 64
"""Maximum number of suspected requests in one message, those with the most
crashes."""

ANSWER_REPORT_SECONDS = 10.0
"""Time in seconds for which an answer to a suspect is reported, many times
the interval of the renewals."""


class Suspects:
    """What one process knows of crashes under requests."""

    def __init__(
        self, committed: CrashingRequestsSlice, metrics: FleetMetrics, clock: Clock
    ) -> None:
        self._committed = committed
        self._hold_jitter = random.random()
        self._seen_changes = 0
        self._adopted: frozenset[CrashingRequest] = frozenset()
        self._metrics = metrics
        self._clock = clock
        self._tally = CrashTally()
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each new crash."""
        self._listeners.append(listener)

    def note_crash(self, request: RequestDigest, run: TargetRun, at: float) -> bool:
        """Record a crash at a monotonic time; return whether it is new."""
        self._synchronize()
        if self._rejected_seconds_left(request) is not None:
            return False
        if not self._tally.note_crash(Crash(request, run, at)):
            return False
        self._set_gauge()
        for listener in self._listeners:
            listener()
        return True

    def note_answer(self, request: RequestDigest, at: float) -> None:
        """Record a target's answer at a monotonic time."""
        self._synchronize()
        if self._tally.note_answer(request, at):
            self._set_gauge()

    def are_none(self) -> bool:
        """Return whether no request is suspected or rejected."""
        self._synchronize()
        return self._tally.is_empty() and not self._committed.rejected_by_request

    def crash_count(self, request: RequestDigest) -> int:
        """Return the number of crashes that count for a request."""
        self._synchronize()
        return len(self._tally.crashes(request))

    def refused_seconds_left(self, request: RequestDigest) -> float | None:
        """Return for how long a request is refused; None if it is not.

        What this process knows by itself counts too, so that it does not
        depend on the leader.
        """
        self._synchronize()
        committed = self._rejected_seconds_left(request)
        if committed is not None:
            return committed
        if self._is_to_reject(request):
            return REJECTED_SECONDS
        return self._tally.held_seconds_left(
            request, self._clock.monotonic(), self._hold_jitter
        )

    def to_commit(self) -> list[SuspectRequest | RejectRequest]:
        """Return the commands for requests that are to be held or rejected."""
        self._synchronize()
        self._tally.discard_old(self._clock.monotonic())
        commands: list[SuspectRequest | RejectRequest] = []
        for request in self._tally.suspects():
            runs = tuple(sorted(self._tally.crashes(request)))
            committed = self._committed.suspected_by_request.get(request)
            if self._is_to_reject(request):
                commands.append(RejectRequest(request, runs))
            elif len(runs) >= HELD_AFTER_CRASHES and (
                committed is None or not set(runs) <= set(committed.runs)
            ):
                commands.append(SuspectRequest(request, runs))
        return commands

    def records(self) -> SuspectRecords:
        """Return what is known, for other processes."""
        self._synchronize()
        now = self._clock.monotonic()
        self._tally.discard_old(now)
        self._set_gauge()
        return SuspectRecords(
            tuple(
                CrashRecord(request, run, now - at)
                for request in self._tally.suspects()[:MAX_REPORTED_SUSPECTS]
                for run, at in self._tally.crashes(request).items()
            ),
            tuple(
                AnswerRecord(request, now - at)
                for request, at in self._tally.answers().items()
                if now - at <= ANSWER_REPORT_SECONDS
            ),
        )

    def adopt(self, records: SuspectRecords) -> None:
        """Take over what another process knows."""
        now = self._clock.monotonic()
        for answer in records.answers:
            self.note_answer(answer.request, now - answer.age_seconds)
        for crash in records.crashes:
            self.note_crash(crash.request, crash.run, now - crash.age_seconds)

    def _is_to_reject(self, request: RequestDigest) -> bool:
        return self._tally.is_to_reject(
            request, rejected_before=request in self._committed.rejected_by_request
        )

    def _rejected_seconds_left(self, request: RequestDigest) -> float | None:
        rejected = self._committed.rejected_by_request.get(request)
        if rejected is None:
            return None
        left = rejected.since + REJECTED_SECONDS - self._clock.wall()
        return min(left, REJECTED_SECONDS) if left > 0 else None

    def _synchronize(self) -> None:
        """Account for what was committed since the last call."""
        if self._seen_changes == self._committed.changes:
            return
        self._seen_changes = self._committed.changes
        for request in self._committed.rejected_by_request:
            if self._rejected_seconds_left(request) is not None:
                self._tally.forget(request)
        self._tally.explain(self._committed.rejected_runs())
        # Each is adopted once, since an answer may clear it before the wall
        # clock is set back.
        suspected = frozenset(self._committed.suspected_by_request.values())
        clock = self._clock
        for crashing in suspected - self._adopted:
            age_seconds = max(0.0, clock.wall() - crashing.since)
            for run in crashing.runs:
                at = clock.monotonic() - age_seconds
                self._tally.note_crash(Crash(crashing.request, run, at))
        self._adopted = suspected
        self._set_gauge()
        self._metrics.rejected_requests.set(len(self._committed.rejected_by_request))

    def _set_gauge(self) -> None:
        self._metrics.suspected_requests.set(len(self._tally.suspects()))


class SuspectsChannel(DigestChannel):
    """Exchanges the crashes that an entry knows with the leader."""

    name = CHANNEL_NAME

    def __init__(
        self, suspects: Suspects, resolve: Callable[[], None], codec: Codec
    ) -> None:
        """Create a channel; ``resolve`` finds targets that ended since."""
        self._suspects = suspects
        self._resolve = resolve
        self._codec = codec
        self._known_to_leader: frozenset[tuple[RequestDigest, TargetRun]] = frozenset()

    def collect(self) -> bytes:
        """Return what the leader does not know yet."""
        self._resolve()
        records = self._suspects.records()
        return self._codec.encode(
            SuspectRecords(
                tuple(
                    crash
                    for crash in records.crashes
                    if (crash.request, crash.run) not in self._known_to_leader
                ),
                records.answers,
            )
        )

    def receive(self, summary: bytes) -> None:
        """Take over what the leader knows."""
        records = self._codec.decode(summary)
        assert isinstance(records, SuspectRecords)
        self._known_to_leader = frozenset(
            (crash.request, crash.run) for crash in records.crashes
        )
        self._suspects.adopt(records)


class SuspectsMerger(DigestMerger):
    """Merges the crashes that all entries know, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, suspects: Suspects, codec: Codec) -> None:
        self._suspects = suspects
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take over what an entry knows."""
        records = self._codec.decode(digest)
        assert isinstance(records, SuspectRecords)
        self._suspects.adopt(records)

    def summary(self, entry: InstanceId) -> bytes:
        """Return what is known."""
        return self._codec.encode(self._suspects.records())
