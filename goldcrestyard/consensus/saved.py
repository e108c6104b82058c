"""What a member stores before anything else, and finds again at start."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.events import (
    Effect,
    SaveEffect,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    TruncateLog,
)
from goldcrestyard.consensus.messages import Entry, Snapshot
from goldcrestyard.core.ids import Term


@dataclass(frozen=True, slots=True)
class SavedState:
    """What a member finds on its disk at start."""

    term: Term = Term(0)
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def saves(effects: Iterable[Effect]) -> list[SaveEffect]:
    """Return the effects that must be synced before the others."""
    return [
        effect
        for effect in effects
        if isinstance(effect, SaveVote | TruncateLog | SaveEntries | SaveSnapshot)
    ]
