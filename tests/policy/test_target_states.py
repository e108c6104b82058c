"""Tests of the life cycle of targets.

They guard against new work for a draining target, and against a late message
that makes a removed target ready again.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.core.states import TargetState
from goldcrestyard.policy.target_states import TargetEvent, next_state

READY, DRAINING = TargetState.READY, TargetState.DRAINING
LEFT, LOST = TargetState.LEFT, TargetState.LOST

TRANSITIONS = {
    (READY, TargetEvent.ANNOUNCE): READY,
    (READY, TargetEvent.DRAIN): DRAINING,
    (READY, TargetEvent.LEAVE): LEFT,
    (READY, TargetEvent.LOSE): LOST,
    (DRAINING, TargetEvent.ANNOUNCE): DRAINING,
    (DRAINING, TargetEvent.DRAIN): DRAINING,
    (DRAINING, TargetEvent.LEAVE): LEFT,
    (DRAINING, TargetEvent.LOSE): LOST,
    (LEFT, TargetEvent.CONFIRM): READY,
    (LOST, TargetEvent.ANNOUNCE): READY,
    (LOST, TargetEvent.CONFIRM): READY,
    (LOST, TargetEvent.LEAVE): LEFT,
}

CASES = [
    (f"{state.value}_{event.value}", state, event, TRANSITIONS.get((state, event)))
    for state in TargetState
    for event in TargetEvent
]


class TargetStateTests(unittest.TestCase):
    """Every event in every state; transitions not listed are not allowed."""

    @parameterized.expand(CASES)
    def test_move(
        self,
        _: str,
        state: TargetState,
        event: TargetEvent,
        expected: TargetState | None,
    ) -> None:
        self.assertIs(next_state(state, event), expected)
