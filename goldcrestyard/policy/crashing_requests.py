"""Recognition of requests that crash the targets that run them.

A request that comes again is recognised by its digest.  Suspicion rests on
the distinct runs of targets that ended while the request ran there; a single
one proves nothing, since targets also crash by themselves and all requests
that run there are cut off together.

Pattern: many processes that each see a few crashes, a request that comes
again at any of them, and innocent requests on the same targets.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from goldcrestyard.core.ids import RequestDigest, TargetId

REJECTED_AFTER_CRASHES = 3
"""Number of crashed runs after which a request is rejected, unless another
request was on each of these runs as well and could be the cause."""

REJECTED_AFTER_SHARED_CRASHES = 5
"""Number of crashed runs after which a request is rejected in any case."""

HELD_AFTER_CRASHES = 2
HELD_SECONDS = 4.0
"""Number of crashed runs from which on a request is not sent to a target for
a time after each crash, once to twice this long.  Crashed targets are back
after some seconds, so that the next try does not take the last target of a
small service.
"""

SUSPECT_SECONDS = 600.0
"""Time in seconds after which a crash no longer counts."""

REJECTED_SECONDS = 3600.0
"""Time in seconds for which a request is rejected.  After it, the target's
software may have been repaired; each further try may cost a target."""

MAX_SUSPECTS = 256
"""Maximum number of suspected requests; beyond it those with the fewest
crashes, then the oldest, are forgotten."""


@dataclass(frozen=True, slots=True, order=True)
class TargetRun:
    """One run of a target, from its start to its end."""

    target: TargetId
    incarnation: str


@dataclass(frozen=True, slots=True)
class Crash:
    """A run of a target that ended while it had a request to answer."""

    request: RequestDigest
    run: TargetRun
    at: float
    """Monotonic time in seconds at which the connection broke."""


class CrashTally:
    """The crashes that requests have seen since their last answer.

    All times are monotonic times of one process.  Recording a crash twice has
    no effect, so processes may exchange what they know in any order.
    """

    def __init__(self) -> None:
        self._crashed_at_by_request: dict[RequestDigest, dict[TargetRun, float]] = {}
        self._answered_at_by_request: dict[RequestDigest, float] = {}
        self._explained: frozenset[TargetRun] = frozenset()

    def note_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it was not known and counts.

        A crash from before the latest answer does not count, nor does a run
        that a rejected request has crashed.
        """
        answered_at = self._answered_at_by_request.get(crash.request)
        if crash.run in self._explained or (
            answered_at is not None and crash.at <= answered_at
        ):
            return False
        crashed_at = self._crashed_at_by_request.setdefault(crash.request, {})
        known_at = crashed_at.get(crash.run)
        if known_at is None or crash.at < known_at:
            crashed_at[crash.run] = crash.at
        return known_at is None

    def note_answer(self, request: RequestDigest, at: float) -> bool:
        """Record a target's answer; return whether the request was a suspect.

        The earlier crashes had another cause.
        """
        crashed_at = self._crashed_at_by_request.get(request)
        if crashed_at is None:
            return False
        known_at = self._answered_at_by_request.get(request, at)
        self._answered_at_by_request[request] = max(known_at, at)
        self._keep(request, {run: t for run, t in crashed_at.items() if t > at})
        return True

    def explain(self, runs: Iterable[TargetRun]) -> None:
        """Set the runs that rejected requests have crashed.

        They no longer count for other requests, which ran there by chance.
        """
        self._explained = frozenset(runs)
        for request, crashed_at in list(self._crashed_at_by_request.items()):
            if not self._explained.isdisjoint(crashed_at):
                left = {r: t for r, t in crashed_at.items() if r not in self._explained}
                self._keep(request, left)

    def forget(self, request: RequestDigest) -> None:
        """Forget the crashes of a request."""
        self._crashed_at_by_request.pop(request, None)

    def discard_old(self, now: float) -> None:
        """Forget what no longer counts, and the least suspects of too many."""
        oldest = now - SUSPECT_SECONDS
        for request, crashed_at in list(self._crashed_at_by_request.items()):
            self._keep(request, {r: t for r, t in crashed_at.items() if t > oldest})
        for request, at in list(self._answered_at_by_request.items()):
            if at <= oldest:
                del self._answered_at_by_request[request]
        for request in self.suspects()[MAX_SUSPECTS:]:
            self.forget(request)

    def is_empty(self) -> bool:
        """Return whether no request is suspected."""
        return not self._crashed_at_by_request

    def suspects(self) -> list[RequestDigest]:
        """Return the suspected requests, those with the most crashes first."""
        return sorted(
            self._crashed_at_by_request,
            key=lambda request: (
                -len(self._crashed_at_by_request[request]),
                -max(self._crashed_at_by_request[request].values()),
            ),
        )

    def crashes(self, request: RequestDigest) -> Mapping[TargetRun, float]:
        """Return the time of each crash that counts for a request, by run."""
        return self._crashed_at_by_request.get(request, {})

    def answers(self) -> Mapping[RequestDigest, float]:
        """Return the time of the latest answer to former suspects."""
        return self._answered_at_by_request

    def is_to_reject(self, request: RequestDigest, *, rejected_before: bool) -> bool:
        """Return whether a request is to be rejected from now on.

        One that was rejected before gets a single new chance.
        """
        runs = self.crashes(request).keys()
        if rejected_before:
            return bool(runs)
        if len(runs) >= REJECTED_AFTER_SHARED_CRASHES:
            return True
        return len(runs) >= REJECTED_AFTER_CRASHES and not any(
            other != request and runs <= crashed_at.keys()
            for other, crashed_at in self._crashed_at_by_request.items()
        )

    def held_seconds_left(
        self, request: RequestDigest, now: float, jitter: float
    ) -> float | None:
        """Return for how long a request is held back; None if it is not.

        ``jitter`` is a random number from 0 to 1, different in each process.
        If all let the request go at the same moment, several targets would
        crash under it at once.
        """
        crashed_at = self.crashes(request)
        if len(crashed_at) < HELD_AFTER_CRASHES:
            return None
        left = max(crashed_at.values()) + HELD_SECONDS * (1.0 + jitter) - now
        return left if left > 0 else None

    def _keep(self, request: RequestDigest, crashed_at: dict[TargetRun, float]) -> None:
        if crashed_at:
            self._crashed_at_by_request[request] = crashed_at
        else:
            del self._crashed_at_by_request[request]
