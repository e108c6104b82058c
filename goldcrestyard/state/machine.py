"""The replicated state machine, which applies log entries to all slices."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar, cast

import structlog

from goldcrestyard.core.ids import LogIndex, Revision, Term
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.state.commands import (
    AppliedEntry,
    Command,
    CommandContext,
    Envelope,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

logger = structlog.get_logger(__name__)

S = TypeVar("S", bound=Slice)
T = TypeVar("T")

Listener = Callable[[AppliedEntry], None]


class StateMachine:
    """Applies committed log entries to the slices, one at a time.

    ``revision`` is the index of the last log entry with a fanned-out command,
    that is, a command which is also sent to entries.  It never decreases.
    """

    def __init__(
        self, slices: Iterable[Slice], monotonic: Callable[[], float] | None = None
    ) -> None:
        """Create a machine.

        ``monotonic`` returns a time in seconds; without it the duration of
        applications is not measured.
        """
        self._monotonic = monotonic
        self.longest_apply_seconds = 0.0
        """Longest time that one log entry took, for which all else waits."""
        self._slices_by_name = {slice_.name: slice_ for slice_ in slices}
        self._slices_by_command = {
            command: slice_
            for slice_ in self._slices_by_name.values()
            for command in slice_.commands
        }
        self._listeners: list[Listener] = []
        self.applied_index = LogIndex(0)
        self.revision = Revision(0)
        for slice_ in self._slices_by_name.values():
            slice_.attach(self)

    def get(self, slice_class: type[S]) -> S:
        """Return the slice of a given class."""
        return cast(S, self._slices_by_name[slice_class.name])

    def keeps(self, command: Command) -> bool:
        """Return whether one of the slices applies a command."""
        return type(command) in self._slices_by_command

    def known_snapshots(self, snapshots_by_name: Mapping[str, T]) -> dict[str, T]:
        """Return the snapshots of slices that this machine has."""
        return {
            name: snapshot
            for name, snapshot in snapshots_by_name.items()
            if name in self._slices_by_name
        }

    def listen(self, listener: Listener) -> None:
        """Register a function that is called after each applied log entry."""
        self._listeners.append(listener)

    def apply(self, index: LogIndex, term: Term, envelope: Envelope) -> AppliedEntry:
        """Apply a committed log entry.

        Call it in the order of the log.  Commands that a slice emits are
        applied at the same index, after the entry's own.
        """
        if self._monotonic is None:
            return self._apply(index, term, envelope)
        started_at = self._monotonic()
        entry = self._apply(index, term, envelope)
        self.longest_apply_seconds = max(
            self.longest_apply_seconds, self._monotonic() - started_at
        )
        return entry

    def _apply(self, index: LogIndex, term: Term, envelope: Envelope) -> AppliedEntry:
        context = CommandContext(index, term, envelope)
        outcome = self._apply_command(envelope.command, context)
        applied = [envelope.command]
        while context.emitted:
            emitted = context.emitted.pop(0)
            self._apply_command(emitted, context)
            applied.append(emitted)
        fanned_out = tuple(command for command in applied if self._fans_out(command))
        self.applied_index = index
        if fanned_out:
            self.revision = Revision(index)
        entry = AppliedEntry(index, envelope, outcome, fanned_out)
        for listener in self._listeners:
            listener(entry)
        return entry

    def to_snapshots(self, *, fan_out_only: bool = False) -> dict[str, Any]:
        """Return the snapshots of the slices by slice name.

        ``fan_out_only`` leaves out the slices that entries do not keep.
        """
        return {
            name: slice_.to_snapshot()
            for name, slice_ in self._slices_by_name.items()
            if slice_.in_snapshots and (slice_.fan_out or not fan_out_only)
        }

    def load_snapshots(
        self,
        snapshots_by_name: Mapping[str, Any],
        applied_index: LogIndex,
        revision: Revision,
    ) -> None:
        """Replace the state of all slices that have a snapshot."""
        for name, snapshot in snapshots_by_name.items():
            self._slices_by_name[name].load_snapshot(snapshot)
        self.applied_index = applied_index
        self.revision = revision

    def _fans_out(self, command: Command) -> bool:
        slice_ = self._slices_by_command.get(type(command))
        return slice_ is not None and slice_.fan_out

    def _apply_command(self, command: Command, context: CommandContext) -> Outcome:
        outcome = self._apply_to_slice(command, context)
        for slice_ in self._slices_by_name.values():
            slice_.observe(command, outcome, context)
        return outcome

    def _apply_to_slice(self, command: Command, context: CommandContext) -> Outcome:
        """Apply a command, or reject it if its slice fails.

        A committed command reaches all members, and again after each restart.
        One that a slice cannot apply must not end them all; the slices are
        deterministic, so their states stay the same.
        """
        try:
            return self._slices_by_command[type(command)].apply(command, context)
        except Exception as error:
            logger.exception(
                "committed command failed; it is rejected",
                command=type(command).__name__,
                index=context.index,
            )
            return Rejected(
                RefusalReason.BAD_REQUEST, f"the command cannot be applied: {error}"
            )
