"""Weighted fair queueing of requests between organisations, by tokens.

An organisation's use is a token count that halves every
``USE_HALF_LIFE_SECONDS``.  Among the organisations with waiting requests, the
one with the lowest use in relation to its share comes first.  The use
includes the latest counts that the other entries have reported.
"""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority

K = TypeVar("K")
P = TypeVar("P")

USE_HALF_LIFE_SECONDS = 30.0
GRANTS_PER_ROLLOUT_TURN = 8
"""One of this many grants goes to rollout work while interactive work waits,
since a trainer without any samples leaves its engines idle at the next
step."""

MAX_QUEUE_LENGTH = 4096
MAX_QUEUE_LENGTH_PER_ORGANISATION = 1024
"""Maximum number of requests in a queue, in total and for one organisation, so
that no organisation can fill the queue alone."""

LATEST_RATE_WEIGHT = 0.2
"""Weight of the latest observation in the moving average of the service
rate."""


class DecayingCounts(Generic[K]):
    """Counts by key that halve every ``USE_HALF_LIFE_SECONDS``."""

    def __init__(self) -> None:
        self._amounts_by_key: dict[K, float] = {}
        self._decayed_at = 0.0

    def charge(self, key: K, amount: float, now: float) -> None:
        """Add to a count; a negative amount corrects an estimate."""
        self._decay_counts(now)
        charged = self._amounts_by_key.get(key, 0.0) + amount
        self._amounts_by_key[key] = max(0.0, charged)

    def counts(self, now: float) -> dict[K, float]:
        """Return all counts, without those below 1."""
        self._decay_counts(now)
        self._amounts_by_key = {
            key: amount for key, amount in self._amounts_by_key.items() if amount >= 1.0
        }
        return dict(self._amounts_by_key)

    def _count(self, key: K, now: float) -> float:
        return self._amounts_by_key.get(key, 0.0) * _decay(now - self._decayed_at)

    def _decay_counts(self, now: float) -> None:
        factor = _decay(now - self._decayed_at)
        for key in self._amounts_by_key:
            self._amounts_by_key[key] *= factor
        self._decayed_at = now


class TokenUse(DecayingCounts[OrganisationId]):
    """Decaying token counts by organisation, for this entry and the others."""

    def __init__(self) -> None:
        super().__init__()
        self._others_by_id: dict[OrganisationId, float] = {}
        self._others_reported_at = 0.0

    def total_use(self, organisation: OrganisationId, now: float) -> float:
        """Return an organisation's use on all entries."""
        own = self._count(organisation, now)
        others = self._others_by_id.get(organisation, 0.0)
        return own + others * _decay(now - self._others_reported_at)

    def own_use(self, now: float) -> dict[OrganisationId, float]:
        """Return this entry's use by organisation, without counts below 1."""
        return self.counts(now)

    def learn_others(
        self, others_by_id: Mapping[OrganisationId, float], now: float
    ) -> None:
        """Replace the use on other entries by newly reported counts."""
        self._others_by_id = dict(others_by_id)
        self._others_reported_at = now


@dataclass(slots=True, eq=False)
class WaitingRequest(Generic[P]):
    """A request that waits for a target; the queue ignores ``payload``."""

    organisation: OrganisationId
    share: float
    priority: Priority
    tokens: float
    deadline: float
    payload: P


@dataclass(slots=True)
class ServiceRate:
    """Moving average of the rate at which a queue is served.

    It is updated only while requests wait.  At other times the observed rate
    would only reflect a low demand, and a burst after a quiet time would be
    refused needlessly.
    """

    tokens_per_second: float | None = None
    _tokens: float = field(default=0.0)
    _since: float = field(default=0.0)

    def begin(self, now: float) -> None:
        """Start a new interval when requests begin to wait."""
        self._tokens = 0.0
        self._since = now

    def observe(self, tokens: float, now: float) -> None:
        """Add the tokens of a finished request.

        The average is updated at most once per second.
        """
        self._tokens += tokens
        elapsed = now - self._since
        if elapsed < 1.0:
            return
        rate = self._tokens / elapsed
        if self.tokens_per_second is None:
            self.tokens_per_second = rate
        else:
            self.tokens_per_second += LATEST_RATE_WEIGHT * (
                rate - self.tokens_per_second
            )
        self._tokens = 0.0
        self._since = now


class FairQueue(Generic[P]):
    """The requests that wait for one model or service on this entry."""

    def __init__(self, use: TokenUse) -> None:
        self._use = use
        self._queues: dict[
            tuple[Priority, OrganisationId], deque[WaitingRequest[P]]
        ] = {}
        self._grants = 0
        self.length = 0
        self.rate = ServiceRate()

    def refusal(self, request: WaitingRequest[P], now: float) -> Refusal | None:
        """Return the refusal of a request that cannot be queued, or None."""
        own_length = sum(
            len(queue)
            for (_, organisation), queue in self._queues.items()
            if organisation == request.organisation
        )
        if (
            self.length >= MAX_QUEUE_LENGTH
            or own_length >= MAX_QUEUE_LENGTH_PER_ORGANISATION
        ):
            return Refusal(
                RefusalReason.CAPACITY,
                "too many requests are waiting",
                retry_after_seconds=5,
            )
        wait = self.expected_wait(request)
        if now + wait > request.deadline:
            return Refusal(
                RefusalReason.CAPACITY,
                f"expected wait of {wait:.0f} s exceeds the request's deadline",
                retry_after_seconds=min(60.0, wait),
            )
        return None

    def expected_wait(self, request: WaitingRequest[P]) -> float:
        """Return the expected wait of a request in seconds, 0 if unknown."""
        rate = self.rate.tokens_per_second
        queue = self._queues.get((request.priority, request.organisation))
        if not rate or not queue:
            return 0.0
        tokens_ahead = sum(other.tokens for other in queue)
        shares = {head.organisation: head.share for head in self._heads()}
        fraction = request.share / sum(shares.values())
        return tokens_ahead / (rate * fraction)

    def push(self, request: WaitingRequest[P]) -> None:
        """Append a request to the queue of its organisation and priority."""
        key = (request.priority, request.organisation)
        self._queues.setdefault(key, deque()).append(request)
        self.length += 1

    def remove(self, request: WaitingRequest[P]) -> None:
        """Remove a request that was granted or cancelled."""
        key = (request.priority, request.organisation)
        queue = self._queues.get(key)
        if queue is None or request not in queue:
            return
        queue.remove(request)
        self.length -= 1
        if not queue:
            del self._queues[key]

    def grant(self, request: WaitingRequest[P], now: float) -> None:
        """Remove a request that has a target, and charge its tokens."""
        self.remove(request)
        self._use.charge(request.organisation, request.tokens, now)
        self._grants += 1

    def in_order(self, now: float) -> list[WaitingRequest[P]]:
        """Return the first request of each queue, in the order of service."""
        rollout_turn = (
            self._grants % GRANTS_PER_ROLLOUT_TURN == GRANTS_PER_ROLLOUT_TURN - 1
        )

        def rank(request: WaitingRequest[P]) -> tuple[bool, float]:
            interactive = request.priority is Priority.INTERACTIVE
            later = interactive if rollout_turn else not interactive
            return later, self._use.total_use(request.organisation, now) / request.share

        return sorted(self._heads(), key=rank)

    def _heads(self) -> Iterator[WaitingRequest[P]]:
        """Return the first request of each queue."""
        return (queue[0] for queue in self._queues.values())


def _decay(seconds: float) -> float:
    return math.exp2(-max(0.0, seconds) / USE_HALF_LIFE_SECONDS)
