"""An entry's copy of the replicated state, and the lease on it."""

import asyncio
from collections.abc import Callable

from goldcrestyard.core.ids import CorrelationId, LogIndex, Revision, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import Change, Envelope
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.messages import SnapshotPush


class EntryView:
    """The slices of the replicated state that entries receive, and a lease.

    The leader pushes changes and snapshots.  Requests that need an API key
    are served only while ``holds_lease`` is true.  Without the lease, the
    withdrawal of a key may be in force before this entry has received it.
    """

    def __init__(self, machine: StateMachine, codec: Codec, clock: Clock) -> None:
        self.machine = machine
        self._codec = codec
        self._clock = clock
        self._lease_expires_at = float("-inf")
        self._renewed_at = float("-inf")
        self.synchronized = asyncio.Event()
        """Set once this entry has received the state and a lease on it."""
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> Revision:
        """The last revision that this entry has applied."""
        return self.machine.revision

    def holds_lease(self) -> bool:
        """Return whether this entry may serve requests that need a key."""
        return self._clock.monotonic() < self._lease_expires_at

    def lease_remaining(self) -> float:
        """Return the seconds until the lease expires; 0 if it has expired."""
        return max(0.0, self._lease_expires_at - self._clock.monotonic())

    def renewed_seconds_ago(self) -> float:
        """Return the seconds since the lease was last renewed."""
        return self._clock.monotonic() - self._renewed_at

    def listen(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the state."""
        self._listeners.append(listener)

    def grant(self, requested_at: float, lease_seconds: float) -> None:
        """Extend the lease, counted from the time the renewal was sent.

        The leader counts from a later moment, so that this entry always
        regards the lease as expired before the leader does.
        """
        self._renewed_at = max(self._renewed_at, requested_at)
        self._lease_expires_at = max(
            self._lease_expires_at, requested_at + lease_seconds
        )
        self._update_synchronized()

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order, except those applied before.

        A leader of another release may send commands of slices that this
        entry does not keep.
        """
        for change in changes:
            if change.revision <= self.machine.revision:
                continue
            for encoded in change.commands:
                command = self._codec.decode(encoded)
                if self.machine.keeps(command):
                    envelope = Envelope(
                        command, change.author, CorrelationId(""), change.time
                    )
                    self.machine.apply(LogIndex(change.revision), Term(0), envelope)
            self.machine.revision = change.revision
        self._notify()

    def load(self, push: SnapshotPush) -> None:
        """Replace the state with a snapshot, unless the snapshot is older."""
        if push.revision < self.machine.revision:
            return
        snapshots = {
            name: self._codec.decode(data)
            for name, data in self.machine.known_snapshots(
                push.snapshots_by_name
            ).items()
        }
        index = LogIndex(push.revision)
        self.machine.load_snapshots(snapshots, index, push.revision)
        self._notify()

    def _update_synchronized(self) -> None:
        if self.machine.revision and self.holds_lease():
            self.synchronized.set()

    def _notify(self) -> None:
        self._update_synchronized()
        for listener in self._listeners:
            listener()
