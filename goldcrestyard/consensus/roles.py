"""Raft roles of a member and the allowed transitions between them."""

from enum import Enum
from typing import Any

from transitions import Machine


class Role(Enum):
    """Raft role of a member."""

    LEARNER = "learner"
    """Receives the log, but does not count towards the quorum and never
    stands for election."""
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    """Requests pre-votes, before it raises its term."""
    CANDIDATE = "candidate"
    """Has raised its term and requests votes."""
    LEADER = "leader"


_VOTER_ROLES = [Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE, Role.LEADER]

_TRANSITIONS: list[Any] = [
    ["ask_pre_votes", [Role.FOLLOWER, Role.PRE_CANDIDATE], Role.PRE_CANDIDATE],
    ["ask_pre_votes", Role.CANDIDATE, Role.PRE_CANDIDATE],
    ["ask_votes", Role.PRE_CANDIDATE, Role.CANDIDATE],
    ["win", Role.CANDIDATE, Role.LEADER],
    ["follow", _VOTER_ROLES, Role.FOLLOWER],
    ["follow", Role.LEARNER, Role.LEARNER],
    ["become_learner", "*", Role.LEARNER],
    ["become_voter", Role.LEARNER, Role.FOLLOWER],
]


class RoleMachine:
    """Holds a member's role and changes it by named transitions.

    A transition that the current role does not allow raises
    ``transitions.MachineError``.
    """

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
        """Apply a transition by its name in ``_TRANSITIONS``."""
        self.trigger(event)  # type: ignore[attr-defined] # added by Machine
