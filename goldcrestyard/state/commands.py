"""What the replicated log carries, and what applying it answers."""

from dataclasses import dataclass, field
from typing import Any

from goldcrestyard.core.ids import CorrelationId, LogIndex, Revision, Term
from goldcrestyard.core.refusals import RefusalReason

Command = Any
"""A frozen data class that a plug-in registered for one of its slices."""

Outcome = Any
"""``Accepted``, ``Rejected`` or a data class of the slice's plug-in."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command took effect, now or when it was first committed."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The command was committed but changed nothing."""

    reason: RefusalReason
    detail: str


@dataclass(frozen=True, slots=True)
class Envelope:
    """A command with who proposed it, and when the leader appended it.

    ``time`` is the leader's wall time in seconds; it never decreases from
    one log entry to the next.
    """

    command: Command
    author: str
    correlation_id: CorrelationId
    time: float


@dataclass(slots=True)
class CommandContext:
    """What a slice may know while it applies a command."""

    index: LogIndex
    term: Term
    envelope: Envelope
    emitted: list[Command] = field(default_factory=list)

    @property
    def time(self) -> float:
        """The leader's wall time at which the entry was appended."""
        return self.envelope.time

    def emit(self, command: Command) -> None:
        """Apply a further command, of any slice, at the same log index."""
        self.emitted.append(command)


@dataclass(frozen=True, slots=True)
class AppliedEntry:
    """The effect of one committed log entry."""

    index: LogIndex
    envelope: Envelope
    outcome: Outcome
    fanned_out: tuple[Command, ...]
    """The commands, in order, that entries must apply to their copies."""


@dataclass(frozen=True, slots=True)
class Change:
    """The fanned-out part of one log entry, as entries receive it.

    ``commands`` are encoded, since one change is sent to many entries.
    """

    revision: Revision
    time: float
    author: str
    commands: tuple[bytes, ...]
