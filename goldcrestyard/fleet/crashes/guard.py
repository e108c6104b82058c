"""An entry's part: sees targets crash under requests and refuses suspects.

Items of jobs and reward calls do not pass here: they are owed however often
targets crash under them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

import structlog

from goldcrestyard.core.calls import TargetCall, TargetClient, request_digest
from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.crashes.suspects import Suspects
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.crashing_requests import TargetRun

logger = structlog.get_logger(__name__)

END_SECONDS = 5.0
"""Time in seconds after a connection broke within which the target must be
known to have ended for it to count as crashed.  A silent target is removed
within four seconds."""

MAX_BROKEN_SENDS = 256
"""Maximum number of sends without an answer whose targets are observed."""


@dataclass(frozen=True, slots=True)
class _BrokenSend:
    request: RequestDigest
    run: TargetRun


class RequestGuard:
    """Refuses requests that crash targets, and finds them.

    A connection that breaks is no crash by itself, since networks and
    overloaded targets reset connections too: the run of the target must have
    ended as well, and not as planned.
    """

    def __init__(
        self,
        suspects: Suspects,
        targets: TargetsSlice,
        client: TargetClient,
        clock: Clock,
        report: Callable[[], None],
    ) -> None:
        """Create a guard; ``report`` sends a new crash to the leader soon."""
        self._suspects = suspects
        self._targets = targets
        self._client = client
        self._clock = clock
        self._report = report
        self._broke_at_by_send: dict[_BrokenSend, float] = {}

    def watch(self, call: TargetCall) -> "WatchedRequest":
        """Return the guard's view of one request, for all its attempts."""
        return WatchedRequest(self, call)

    def is_idle(self) -> bool:
        """Return whether no request is suspected, rejected or observed."""
        return self._suspects.are_none() and not self._broke_at_by_send

    def refusal(self, request: RequestDigest) -> Refusal | None:
        """Return the refusal of a request; None if it may be sent."""
        seconds = self._suspects.refused_seconds_left(request)
        if seconds is None:
            return None
        return Refusal(
            RefusalReason.TARGETS_CRASHED,
            "several targets have crashed as they ran this request",
            retry_after_seconds=seconds,
        )

    def is_suspect(self, request: RequestDigest) -> bool:
        """Return whether targets have crashed under a request."""
        return self._suspects.crash_count(request) > 0

    async def note_broken(self, target: Target, request: RequestDigest) -> None:
        """Record that a connection broke, and ask whether the target is gone.

        A target that has ended refuses new connections.
        """
        broke_at = self._clock.monotonic()
        match self._state(target):
            case TargetState.READY:
                is_gone = await self._client.refuses_connections(target)
            case TargetState.LOST:
                is_gone = True
            case _:
                return
        broken = _BrokenSend(request, _run(target))
        if is_gone:
            self._note_crash(broken, broke_at)
            self._report()
        else:
            self._observe(broken, broke_at)

    def note_answer(self, request: RequestDigest) -> None:
        """Record a complete answer, which clears the request."""
        self._suspects.note_answer(request, self._clock.monotonic())
        for broken in list(self._broke_at_by_send):
            if broken.request == request:
                del self._broke_at_by_send[broken]

    def resolve(self) -> None:
        """Record the crashes of targets whose end has become known since."""
        now = self._clock.monotonic()
        for broken, broke_at in list(self._broke_at_by_send.items()):
            run = broken.run
            match self._targets.run_state(run.target, run.incarnation):
                case TargetState.READY if now - broke_at <= END_SECONDS:
                    continue
                case TargetState.LOST:
                    self._note_crash(broken, broke_at)
            del self._broke_at_by_send[broken]

    def _note_crash(self, broken: _BrokenSend, at: float) -> None:
        if self._suspects.note_crash(broken.request, broken.run, at):
            logger.info(
                "target crashed under a request",
                digest=broken.request.hex(),
                target=broken.run.target,
                incarnation=broken.run.incarnation,
                crashes=self._suspects.crash_count(broken.request),
            )

    def _observe(self, broken: _BrokenSend, broke_at: float) -> None:
        self._broke_at_by_send.setdefault(broken, broke_at)
        if len(self._broke_at_by_send) > MAX_BROKEN_SENDS:
            oldest = next(iter(self._broke_at_by_send))
            del self._broke_at_by_send[oldest]

    def _state(self, target: Target) -> TargetState | None:
        return self._targets.run_state(target.id, target.incarnation)


class WatchedRequest:
    """One request of a caller.

    Its digest is computed only when it is needed, as bodies may be large.
    """

    def __init__(self, guard: RequestGuard, call: TargetCall) -> None:
        self._guard = guard
        self._call = call

    @cached_property
    def digest(self) -> RequestDigest:
        """Digest by which the request is recognised when it comes again."""
        return request_digest(self._call)

    def refusal(self) -> Refusal | None:
        """Return the refusal if the request may not be sent now."""
        return None if self._guard.is_idle() else self._guard.refusal(self.digest)

    def is_suspect(self) -> bool:
        """Return whether targets have crashed under the request."""
        return not self._guard.is_idle() and self._guard.is_suspect(self.digest)

    async def note_broken(self, target: Target) -> None:
        """Record that the connection broke without an answer."""
        await self._guard.note_broken(target, self.digest)

    def note_answer(self) -> None:
        """Record a complete answer of a target."""
        if not self._guard.is_idle():
            self._guard.note_answer(self.digest)


def _run(target: Target) -> TargetRun:
    return TargetRun(target.id, target.incarnation)
