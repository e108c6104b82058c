"""Replicated state: usage windows that are closed but not reported yet."""

from goldcrestyard.fleet.metering.commands import (
    CloseUsage,
    UsageReported,
    UsageSnapshot,
    WindowCounts,
)
from goldcrestyard.policy.usage_numbers import WindowNumber
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice


class MeteringSlice(Slice):
    """The last closed window, and the windows whose report is not confirmed.

    A window can be closed only once, so every leader that reports it sends
    the same counts.
    """

    name = "metering"
    commands = (CloseUsage, UsageReported)

    def __init__(self) -> None:
        self.last_closed: WindowNumber | None = None
        self.unreported_by_window: dict[WindowNumber, WindowCounts] = {}

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case CloseUsage(counts=counts):
                if self.last_closed is None or counts.window > self.last_closed:
                    self.last_closed = counts.window
                    self.unreported_by_window[counts.window] = counts
                return Accepted()
            case UsageReported(window=window):
                self.unreported_by_window.pop(window, None)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> UsageSnapshot:
        """Return the state as a snapshot."""
        return UsageSnapshot(
            self.last_closed, tuple(self.unreported_by_window.values())
        )

    def load_snapshot(self, snapshot: UsageSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.last_closed = snapshot.last_closed
        self.unreported_by_window = {
            counts.window: counts for counts in snapshot.unreported
        }
