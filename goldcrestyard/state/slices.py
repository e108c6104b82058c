"""Base class of the slices that make up the replicated state."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Any, ClassVar, Protocol, TypeVar

from goldcrestyard.state.commands import Command, CommandContext, Outcome

S = TypeVar("S", bound="Slice")


class SliceLookup(Protocol):
    """Access to the other slices of the same state machine."""

    def get(self, slice_class: type[S]) -> S:
        """Return the slice of a given class."""
        ...


class Slice(ABC):
    """One plug-in's part of the replicated state.

    A slice must be deterministic: it may read the command, the context, its
    own state and other slices, but no clock, random source or setting.  A
    slice with ``fan_out`` is also kept on every entry, so it must not depend
    on a slice without ``fan_out``.
    """

    name: ClassVar[str]
    fan_out: ClassVar[bool] = False
    commands: ClassVar[Sequence[type]] = ()

    def attach(self, slices: SliceLookup) -> None:
        """Store references to the slices that this one reads, nothing else."""

    @abstractmethod
    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command and return its outcome."""

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Update the state after a command that any slice has applied."""

    @property
    def in_snapshots(self) -> bool:
        """Whether snapshots contain the slice.

        A release that does not know a slice cannot read a snapshot with it, so
        a new slice may leave itself out until it is used.
        """
        return True

    @abstractmethod
    def to_snapshot(self) -> Any:
        """Return the state as a data class registered with the codec."""

    @abstractmethod
    def load_snapshot(self, snapshot: Any) -> None:
        """Replace the state by the one in a snapshot."""
