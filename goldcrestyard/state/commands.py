"""Commands of the replicated log, and the results of applying them."""

from dataclasses import dataclass, field
from typing import Any

from goldcrestyard.core.ids import CorrelationId, LogIndex, Revision, Term
from goldcrestyard.core.refusals import RefusalReason

Command = Any
"""A frozen data class that a plug-in registered for one of its slices."""

Outcome = Any
"""Result of a command: ``Accepted``, ``Rejected`` or a data class of the
slice's plug-in."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command took effect, either now or in an earlier log entry."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The command was committed but changed nothing."""

    reason: RefusalReason
    detail: str


@dataclass(frozen=True, slots=True)
class Envelope:
    """A command in the log, with its author and the time of its log entry.

    ``time`` is the leader's wall time in seconds; it never decreases from
    one log entry to the next.
    """

    command: Command
    author: str
    correlation_id: CorrelationId
    time: float


@dataclass(slots=True)
class CommandContext:
    """Input of ``Slice.apply`` besides the replicated state."""

    index: LogIndex
    term: Term
    envelope: Envelope
    emitted: list[Command] = field(default_factory=list)

    @property
    def time(self) -> float:
        """The leader's wall time in seconds when it appended the entry."""
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
    """The commands, in order, that entries must apply to their copies of the
    state."""


@dataclass(frozen=True, slots=True)
class Change:
    """The fanned-out commands of one log entry, as they are sent to entries.

    ``commands`` are encoded once, since one change goes to many entries.
    """

    revision: Revision
    time: float
    author: str
    commands: tuple[bytes, ...]
