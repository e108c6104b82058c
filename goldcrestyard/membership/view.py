"""An entry's copy of the fanned-out state, and its lease."""

import asyncio
from collections.abc import Callable

from goldcrestyard.core.ids import CorrelationId, LogIndex, Revision, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import Change, Envelope
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.messages import SnapshotPush


class EntryView:
    """What this entry knows, up to which revision, and until when.

    Keyed requests are served only while ``holds_lease`` is true: without the
    lease a withdrawal may have been committed that this entry has not heard
    of.
    """

    def __init__(self, machine: StateMachine, codec: Codec, clock: Clock) -> None:
        self.machine = machine
        self._codec = codec
        self._clock = clock
        self._lease_expires_at = float("-inf")
        self.informed = asyncio.Event()
        """Set once this process has both the state and a lease on it."""
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> Revision:
        """The revision that this entry has applied."""
        return self.machine.revision

    def holds_lease(self) -> bool:
        """Return whether this entry may serve keyed requests now."""
        return self._clock.monotonic() < self._lease_expires_at

    def lease_remaining(self) -> float:
        """Return the seconds until the lease runs out; 0 if it has."""
        return max(0.0, self._lease_expires_at - self._clock.monotonic())

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the state."""
        self._listeners.append(listener)

    def grant(self, requested_at: float, lease_seconds: float) -> None:
        """Extend the lease, counted from the sending of the request."""
        self._lease_expires_at = max(
            self._lease_expires_at, requested_at + lease_seconds
        )
        self._note_informed()

    def apply_changes(self, changes: tuple[Change, ...]) -> None:
        """Apply changes in order; older ones than the view are ignored."""
        for change in changes:
            if change.revision <= self.machine.revision:
                continue
            for encoded in change.commands:
                envelope = Envelope(
                    self._codec.decode(encoded),
                    change.author,
                    CorrelationId(""),
                    change.time,
                )
                self.machine.apply(LogIndex(change.revision), Term(0), envelope)
        self._notify()

    def load(self, push: SnapshotPush) -> None:
        """Replace the state by a snapshot, unless it is older."""
        if push.revision < self.machine.revision:
            return
        snapshots = {
            name: self._codec.decode(data)
            for name, data in push.snapshots_by_name.items()
        }
        index = LogIndex(push.revision)
        self.machine.load_snapshots(snapshots, index, push.revision)
        self._notify()

    def _note_informed(self) -> None:
        if self.machine.revision and self.holds_lease():
            self.informed.set()

    def _notify(self) -> None:
        self._note_informed()
        for listener in self._listeners:
            listener()
