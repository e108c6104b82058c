"""Entries that arrive before those they follow."""

from goldcrestyard.consensus.events import Event, Receive
from goldcrestyard.consensus.messages import Append
from goldcrestyard.core.ids import LogIndex, Term

HOLD_SECONDS = 1.0
"""Time after which held entries are passed on although others are missing.
They are then rejected, and the leader sends all again."""

MAX_HELD_MESSAGES = 64
"""Maximum number of messages held; it is more than a leader has in flight."""


class EarlyEntries:
    """Holds ``Append`` messages until those before them have arrived.

    A leader sends entries over several connections at the same time, one of
    which may wait for a lost packet.
    """

    def __init__(self) -> None:
        self._held: list[tuple[float, Receive]] = []

    def hold(self, now: float, event: Event, last_index: LogIndex, term: Term) -> bool:
        """Hold a message if entries are missing before its own.

        ``last_index`` and ``term`` are those of this member.  Return whether
        it is held.
        """
        match event:
            case Receive(message=Append(entries=entries) as append) if (
                entries
                and append.term == term
                and append.previous_index > last_index
                and len(self._held) < MAX_HELD_MESSAGES
            ):
                self._held.append((now, event))
                return True
        return False

    def take(self, now: float, last_index: LogIndex) -> Receive | None:
        """Return a held message whose turn has come, or whose time is over."""
        for position, (held_at, event) in enumerate(self._held):
            assert isinstance(event.message, Append)
            if (
                event.message.previous_index <= last_index
                or now - held_at >= HOLD_SECONDS
            ):
                del self._held[position]
                return event
        return None
