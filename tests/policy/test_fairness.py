"""Tests of the fair queue.

They guard against an organisation that floods the queue and delays others,
and against requests that wait beyond their deadline.
"""

import unittest
from collections import Counter
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.policy.fairness import (
    MAX_QUEUE_LENGTH_PER_ORGANISATION,
    USE_HALF_LIFE_SECONDS,
    FairQueue,
    TokenUse,
    WaitingRequest,
)

TEJO = OrganisationId("tejo")
BIEN = OrganisationId("bien")


def waiting_request(
    organisation: OrganisationId,
    share: float = 1.0,
    tokens: float = 100.0,
    priority: Priority = Priority.INTERACTIVE,
    deadline: float = 1e9,
) -> WaitingRequest[None]:
    """Return a waiting request."""
    return WaitingRequest(organisation, share, priority, tokens, deadline, None)


@dataclass(frozen=True)
class ShareCase:
    """Two organisations with requests waiting at all times."""

    name: str
    shares: tuple[float, float]
    tokens: tuple[float, float]
    token_ratio: float
    """Expected ratio of the tokens granted to the first and the second."""


SHARE_CASES = [
    ShareCase("equal", (1, 1), (100, 100), 1.0),
    ShareCase("by_share", (3, 1), (100, 100), 3.0),
    ShareCase("by_tokens_not_requests", (1, 1), (1000, 10), 1.0),
]


class FairQueueTests(unittest.TestCase):
    """Order and limits of the queue."""

    @parameterized.expand([(case.name, case) for case in SHARE_CASES])
    def test_tokens_follow_shares(self, _: str, case: ShareCase) -> None:
        queue: FairQueue[None] = FairQueue(TokenUse())
        granted: Counter[OrganisationId] = Counter()
        for organisation, share, tokens in zip(
            (TEJO, BIEN), case.shares, case.tokens, strict=True
        ):
            queue.push(waiting_request(organisation, share, tokens))
        for _grant in range(2000):
            first = queue.in_order(0.0)[0]
            queue.grant(first, 0.0)
            granted[first.organisation] += first.tokens
            queue.push(waiting_request(first.organisation, first.share, first.tokens))
        ratio = granted[TEJO] / granted[BIEN]
        self.assertAlmostEqual(ratio / case.token_ratio, 1.0, delta=0.05)

    def test_flood_does_not_delay_another_organisation(self) -> None:
        queue: FairQueue[None] = FairQueue(TokenUse())
        for _ in range(500):
            queue.push(waiting_request(TEJO))
        queue.grant(queue.in_order(0.0)[0], 0.0)
        queue.push(waiting_request(BIEN))
        self.assertEqual(queue.in_order(0.0)[0].organisation, BIEN)

    def test_use_on_other_entries_counts(self) -> None:
        use = TokenUse()
        queue: FairQueue[None] = FairQueue(use)
        queue.push(waiting_request(TEJO))
        queue.push(waiting_request(BIEN))
        use.learn_others({TEJO: 1000.0}, 0.0)
        self.assertEqual(queue.in_order(0.0)[0].organisation, BIEN)

    def test_old_use_is_forgotten(self) -> None:
        use = TokenUse()
        use.charge(TEJO, 1024.0, 0.0)
        self.assertAlmostEqual(use.total_use(TEJO, 10 * USE_HALF_LIFE_SECONDS), 1.0)

    def test_interactive_goes_first_but_rollout_is_not_starved(self) -> None:
        queue: FairQueue[None] = FairQueue(TokenUse())
        granted: Counter[Priority] = Counter()
        for priority in Priority:
            queue.push(waiting_request(TEJO, priority=priority))
        for _ in range(80):
            first = queue.in_order(0.0)[0]
            queue.grant(first, 0.0)
            granted[first.priority] += 1
            queue.push(waiting_request(TEJO, priority=first.priority))
        self.assertEqual(granted, {Priority.INTERACTIVE: 70, Priority.ROLLOUT: 10})

    def test_one_organisation_cannot_fill_the_queue(self) -> None:
        queue: FairQueue[None] = FairQueue(TokenUse())
        for _ in range(MAX_QUEUE_LENGTH_PER_ORGANISATION):
            queue.push(waiting_request(TEJO))
        refusal = queue.refusal(waiting_request(TEJO), 0.0)
        assert refusal is not None
        self.assertIs(refusal.reason, RefusalReason.CAPACITY)
        self.assertIsNone(queue.refusal(waiting_request(BIEN), 0.0))

    def test_request_that_cannot_be_served_in_time_is_refused_early(self) -> None:
        queue: FairQueue[None] = FairQueue(TokenUse())
        queue.rate.observe(100.0, 1.0)
        for _ in range(20):
            queue.push(waiting_request(TEJO))
        self.assertIsNotNone(queue.refusal(waiting_request(TEJO, deadline=10.0), 0.0))
        self.assertIsNone(queue.refusal(waiting_request(TEJO, deadline=30.0), 0.0))
