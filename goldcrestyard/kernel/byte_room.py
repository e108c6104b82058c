"""Room in a process's memory for bytes that others send.

Requests and answers in progress share one room, so that many of them, or a
few large ones, cannot exceed the memory of the process together.
"""

SMALL_BYTES = 64 * 1024
"""Size up to which a body counts as small."""

SMALL_BODIES_SHARE = 0.1
"""Share of the room that only small bodies may fill, so that a few large ones
do not keep out all others."""


class ByteRoom:
    """Counts the bytes that are held, up to a capacity."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held = 0

    def lease(self) -> "ByteLease":
        """Return a lease that holds nothing yet."""
        return ByteLease(self)


class ByteLease:
    """The bytes that one request or one answer holds of a room."""

    def __init__(self, room: ByteRoom) -> None:
        self._room = room
        self.held = 0

    def grow(self, size: int) -> bool:
        """Take more bytes; return False, taking none, if there is no room."""
        room = self._room
        usable = room.capacity
        if self.held + size > SMALL_BYTES:
            usable -= int(SMALL_BODIES_SHARE * room.capacity)
        if room.held + size > usable:
            return False
        self.add(size)
        return True

    def resize(self, size: int) -> bool:
        """Hold ``size`` bytes in all; return False if there is no room."""
        if size > self.held:
            return self.grow(size - self.held)
        self.add(size - self.held)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held already, whether or not there is room."""
        self.held += size
        self._room.held += size

    def release(self) -> None:
        """Give all bytes back; doing so again changes nothing."""
        self._room.held -= self.held
        self.held = 0
