"""Weighted fair shares between organisations, in tokens.

Each organisation's use is a count that halves every ``HALF_LIFE_SECONDS``.
Among those that wait, the one with the least use for its share goes first.
The use on other entries counts as well, as far as their digests tell.
"""

import math
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority

P = TypeVar("P")

HALF_LIFE_SECONDS = 30.0
ROLLOUT_TURN = 8
"""Every so many grants one goes to rollout work even while interactive work
waits, since a trainer that gets nothing at all leaves its engines idle at
the next step."""

MAX_WAITING = 4096
MAX_WAITING_OF_ONE = 1024
"""Bounds on the queue; one organisation may not fill it alone."""

SERVICE_RATE_WEIGHT = 0.2
"""Weight of the latest observation in the learned service rate."""


class TokenUse:
    """Decaying counts of tokens by organisation."""

    def __init__(self) -> None:
        self._tokens_by_id: dict[OrganisationId, float] = {}
        self._as_of = 0.0
        self._others_by_id: dict[OrganisationId, float] = {}
        self._others_as_of = 0.0

    def charge(self, organisation: OrganisationId, tokens: float, now: float) -> None:
        """Count tokens; a negative number takes an estimate back."""
        self._settle(now)
        charged = self._tokens_by_id.get(organisation, 0.0) + tokens
        self._tokens_by_id[organisation] = max(0.0, charged)

    def of(self, organisation: OrganisationId, now: float) -> float:
        """Return an organisation's use on all entries."""
        own = self._tokens_by_id.get(organisation, 0.0) * _decay(now - self._as_of)
        others = self._others_by_id.get(organisation, 0.0)
        return own + others * _decay(now - self._others_as_of)

    def own(self, now: float) -> dict[OrganisationId, float]:
        """Return the use on this entry by organisation, without traces."""
        self._settle(now)
        self._tokens_by_id = {
            organisation: tokens
            for organisation, tokens in self._tokens_by_id.items()
            if tokens >= 1.0
        }
        return dict(self._tokens_by_id)

    def learn_others(
        self, others_by_id: Mapping[OrganisationId, float], now: float
    ) -> None:
        """Replace what is known of the use on other entries."""
        self._others_by_id = dict(others_by_id)
        self._others_as_of = now

    def _settle(self, now: float) -> None:
        factor = _decay(now - self._as_of)
        for organisation in self._tokens_by_id:
            self._tokens_by_id[organisation] *= factor
        self._as_of = now


@dataclass(slots=True, eq=False)
class Waiter(Generic[P]):
    """A request that waits for a target."""

    organisation: OrganisationId
    share: float
    priority: Priority
    tokens: float
    deadline: float
    payload: P


@dataclass(slots=True)
class ServiceRate:
    """Tokens a second that requests of one queue are given, as learned.

    It is learned only while requests wait; at other times the rate shows the
    demand, and a burst after a quiet time would be refused for nothing.
    """

    tokens_per_second: float | None = None
    _tokens: float = field(default=0.0)
    _since: float = field(default=0.0)

    def begin(self, now: float) -> None:
        """Begin to count, as requests begin to wait."""
        self._tokens = 0.0
        self._since = now

    def observe(self, tokens: float, now: float) -> None:
        """Count tokens of a finished request."""
        self._tokens += tokens
        elapsed = now - self._since
        if elapsed < 1.0:
            return
        rate = self._tokens / elapsed
        if self.tokens_per_second is None:
            self.tokens_per_second = rate
        else:
            self.tokens_per_second += SERVICE_RATE_WEIGHT * (
                rate - self.tokens_per_second
            )
        self._tokens = 0.0
        self._since = now


class FairQueue(Generic[P]):
    """The requests that wait for one model or service on this entry."""

    def __init__(self, use: TokenUse) -> None:
        self._use = use
        self._queues: dict[tuple[Priority, OrganisationId], deque[Waiter[P]]] = {}
        self._grants = 0
        self.length = 0
        self.rate = ServiceRate()

    def refusal(self, waiter: Waiter[P], now: float) -> Refusal | None:
        """Return why a request should not wait at all, or None."""
        own_length = sum(
            len(queue)
            for (_, organisation), queue in self._queues.items()
            if organisation == waiter.organisation
        )
        if self.length >= MAX_WAITING or own_length >= MAX_WAITING_OF_ONE:
            return Refusal(
                RefusalReason.CAPACITY, "too many requests wait", retry_after_seconds=5
            )
        wait = self.expected_wait(waiter)
        if now + wait > waiter.deadline:
            return Refusal(
                RefusalReason.CAPACITY,
                f"would wait about {wait:.0f} s, longer than its deadline",
                retry_after_seconds=min(60.0, wait),
            )
        return None

    def expected_wait(self, waiter: Waiter[P]) -> float:
        """Return the seconds until a new waiter's turn, 0 if unknown."""
        rate = self.rate.tokens_per_second
        queue = self._queues.get((waiter.priority, waiter.organisation))
        if not rate or not queue:
            return 0.0
        ahead = sum(other.tokens for other in queue)
        shares = {head.organisation: head.share for head in self._heads()}
        fraction = waiter.share / sum(shares.values())
        return ahead / (rate * fraction)

    def push(self, waiter: Waiter[P]) -> None:
        """Add a request behind those of its organisation."""
        key = (waiter.priority, waiter.organisation)
        self._queues.setdefault(key, deque()).append(waiter)
        self.length += 1

    def remove(self, waiter: Waiter[P]) -> None:
        """Remove a request that was granted or gave up."""
        key = (waiter.priority, waiter.organisation)
        queue = self._queues.get(key)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self.length -= 1
        if not queue:
            del self._queues[key]

    def grant(self, waiter: Waiter[P], now: float) -> None:
        """Remove a request that got a target, and charge its tokens."""
        self.remove(waiter)
        self._use.charge(waiter.organisation, waiter.tokens, now)
        self._grants += 1

    def in_order(self, now: float) -> list[Waiter[P]]:
        """Return the first request of each organisation, best first."""
        rollout_turn = self._grants % ROLLOUT_TURN == ROLLOUT_TURN - 1

        def rank(waiter: Waiter[P]) -> tuple[bool, float]:
            interactive = waiter.priority is Priority.INTERACTIVE
            later = interactive if rollout_turn else not interactive
            return later, self._use.of(waiter.organisation, now) / waiter.share

        return sorted(self._heads(), key=rank)

    def _heads(self) -> Iterator[Waiter[P]]:
        return (queue[0] for queue in self._queues.values())


def _decay(seconds: float) -> float:
    return math.exp2(-max(0.0, seconds) / HALF_LIFE_SECONDS)
