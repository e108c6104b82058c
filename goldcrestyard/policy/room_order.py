"""Which client addresses go first when the room for bodies is scarce.

A refused client comes again, and others ask in between.  Without an order, a
crowd that asks more often takes whatever becomes free.
"""

from collections import Counter
from dataclasses import dataclass

ASK_SECONDS = 1.0
"""How long the ask of a refused client counts.  Clients are advised to come
again after 0.3 s."""

MAX_ASKS = 256
"""Number of addresses whose asks are kept."""


@dataclass(frozen=True, slots=True)
class RefusedAsk:
    """Bytes that an address asked for in vain, and until when they count."""

    size: int
    until: float


class RoomOrder:
    """Keeps what becomes free for those addresses that hold least.

    An address without anything leaves room for no other, so that the asks of
    many cannot keep it out.
    """

    def __init__(self) -> None:
        self._held_by_source: Counter[str] = Counter()
        self._asks_by_source: dict[str, RefusedAsk] = {}

    def add(self, source: str, size: int) -> None:
        """Count bytes that an address takes, or gives back if negative."""
        self._held_by_source[source] += size
        if self._held_by_source[source] <= 0:
            del self._held_by_source[source]

    def reserved(self, source: str, now: float) -> int:
        """Return the bytes that an address has to leave to others."""
        held = self._held_by_source[source]
        return sum(
            ask.size
            for other, ask in self._asks_by_source.items()
            if now < ask.until and self._held_by_source[other] < held
        )

    def refused(self, source: str, size: int, now: float) -> None:
        """Note that an address asked in vain."""
        self._asks_by_source.pop(source, None)
        while len(self._asks_by_source) >= MAX_ASKS:
            del self._asks_by_source[next(iter(self._asks_by_source))]
        self._asks_by_source[source] = RefusedAsk(size, now + ASK_SECONDS)

    def served(self, source: str) -> None:
        """Forget an address's ask, since it was given room."""
        self._asks_by_source.pop(source, None)
