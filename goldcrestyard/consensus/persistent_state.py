"""Raft state that a member persists, and the effects that persist it."""

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
class PersistentState:
    """State that a member loads from its disk at start.

    The default is that of a member which belongs to no cluster.
    """

    term: Term = Term(0)
    voted_for: MemberId | None = None
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Founding:
    """State with which the disk of a cluster's founder begins."""

    member: MemberId
    cluster: str
    entry: Entry


def select_save_effects(effects: Iterable[Effect]) -> list[SaveEffect]:
    """Return the effects to make durable before the others are performed."""
    return [
        effect
        for effect in effects
        if isinstance(effect, SaveVote | TruncateLog | SaveEntries | SaveSnapshot)
    ]
