"""The role of a member, as a state machine."""

from enum import Enum
from typing import Any

from transitions import Machine


class Role(Enum):
    """What a member does at the moment."""

    LEARNER = "learner"
    """Receives the log; neither votes for itself nor leads."""
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


_VOTERS = [Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER]

_TRANSITIONS: list[Any] = [
    ["ask_pre_votes", [Role.FOLLOWER, Role.PRE_CANDIDATE], Role.PRE_CANDIDATE],
    ["ask_pre_votes", Role.CANDIDATE, Role.PRE_CANDIDATE],
    ["ask_votes", Role.PRE_CANDIDATE, Role.CANDIDATE],
    ["win", Role.CANDIDATE, Role.LEADER],
    ["follow", _VOTERS, Role.FOLLOWER],
    ["follow", Role.LEARNER, Role.LEARNER],
    ["become_learner", "*", Role.LEARNER],
    ["become_voter", Role.LEARNER, Role.FOLLOWER],
]


class RoleMachine:
    """Holds a role; an event that its role does not allow raises."""

    state: Role

    def __init__(self) -> None:
        self._machine = Machine(
            self,
            states=Role,
            transitions=_TRANSITIONS,
            initial=Role.LEARNER,
            auto_transitions=False,
        )

    def fire(self, event: str) -> None:
        """Change the role."""
        self.trigger(event)  # type: ignore[attr-defined] # added by Machine
