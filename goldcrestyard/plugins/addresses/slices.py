"""Replicated state of the address list."""

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.plugins.addresses.commands import (
    EntriesSnapshot,
    Entry,
    PutEntry,
    RemoveEntry,
)
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice


class EntriesSlice(Slice):
    """Stores the entries by instance id."""

    name = "entries"
    fan_out = True
    commands = (PutEntry, RemoveEntry)

    def __init__(self) -> None:
        self.entries_by_id: dict[InstanceId, Entry] = {}
        self.changes = 0
        """Number of changes in this process, for those who keep what they
        derive from the entries."""

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        self.changes += 1
        match command:
            case PutEntry(entry=entry):
                self.entries_by_id[entry.id] = entry
                return Accepted()
            case RemoveEntry(id=instance):
                self.entries_by_id.pop(instance, None)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> EntriesSnapshot:
        """Return the snapshot of all entries."""
        return EntriesSnapshot(tuple(self.entries_by_id.values()))

    def load_snapshot(self, snapshot: EntriesSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.changes += 1
        self.entries_by_id = {entry.id: entry for entry in snapshot.entries}
