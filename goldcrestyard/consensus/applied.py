"""Applies committed entries to the state machine, and snapshots it."""

from collections.abc import Callable

from goldcrestyard.consensus.messages import Entry, EntryKind, Snapshot
from goldcrestyard.consensus.records import MachineSnapshot, decode_envelope
from goldcrestyard.core.ids import LogIndex, Revision
from goldcrestyard.state.commands import Accepted
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec


class AppliedState:
    """The state machine after the committed entry at ``index``.

    ``snapshot_index`` is the index of the latest snapshot, ``snapshot_bytes``
    its size, and ``log_bytes`` the size of the payloads applied since.
    ``last_time`` is
    the latest time of a command, in seconds of wall time.  A leader never
    gives a command an earlier time, even if its wall clock is set back.
    """

    def __init__(self, machine: StateMachine, codec: Codec) -> None:
        self.index = LogIndex(0)
        self.snapshot_index = LogIndex(0)
        self.snapshot_bytes = 0
        self.log_bytes = 0
        self.last_time = 0.0
        self._machine = machine
        self._codec = codec
        self._restore_listeners: list[Callable[[Revision], None]] = []

    def add_restore_listener(self, listener: Callable[[Revision], None]) -> None:
        """Register a function to call after a snapshot has replaced the state.

        Its argument is the revision of the restored state.
        """
        self._restore_listeners.append(listener)

    def advance_time(self, time: float) -> float:
        """Set ``last_time`` to ``time`` if that is later, and return it."""
        self.last_time = max(self.last_time, time)
        return self.last_time

    def apply(self, entry: Entry) -> object:
        """Apply the next committed entry and return its outcome.

        Entries without a command change no state; their outcome is
        ``Accepted``.
        """
        outcome: object = Accepted()
        self.log_bytes += len(entry.payload)
        if entry.kind is EntryKind.COMMAND:
            envelope = decode_envelope(self._codec, entry.payload)
            self.advance_time(envelope.time)
            outcome = self._machine.apply(entry.index, entry.term, envelope).outcome
        self._machine.applied_index = entry.index
        self.index = entry.index
        return outcome

    def record_snapshot(self, index: LogIndex, size: int, log_bytes: int) -> None:
        """Record a snapshot at an index, and the log's size at that time."""
        self.snapshot_index = index
        self.snapshot_bytes = size
        self.log_bytes -= log_bytes

    def to_snapshot(self) -> Callable[[], bytes]:
        """Return a function that encodes the current state.

        The state is copied before this returns, so the function can run in
        another thread while further entries are applied.
        """
        snapshots = self._machine.to_snapshots()
        revision, last_time = self._machine.revision, self.last_time

        def encode() -> bytes:
            by_name = {name: self._codec.encode(s) for name, s in snapshots.items()}
            return self._codec.encode(MachineSnapshot(revision, last_time, by_name))

        return encode

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by that of a snapshot, and call the listeners."""
        state = self._codec.decode(snapshot.data)
        assert isinstance(state, MachineSnapshot)
        # Each encoded slice is dropped once it is decoded, as all of them take
        # as much memory as the state.
        encoded = state.snapshots_by_name
        snapshots = {
            name: self._codec.decode(encoded.pop(name)) for name in list(encoded)
        }
        self._machine.load_snapshots(snapshots, snapshot.index, state.revision)
        self.advance_time(state.last_time)
        self.index = snapshot.index
        self.snapshot_index = snapshot.index
        self.snapshot_bytes = len(snapshot.data)
        self.log_bytes = 0
        for listener in self._restore_listeners:
            listener(state.revision)
