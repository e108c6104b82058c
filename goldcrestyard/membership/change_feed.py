"""Buffer of recent committed changes, from which entries are updated."""

import asyncio
from collections import deque

from goldcrestyard.core.ids import Revision
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import AppliedEntry, Change
from goldcrestyard.wire.codec import Codec

MAX_RETAINED_CHANGES = 8192
"""Maximum number of retained changes: those of about two days, at 3,700
changes a day.  An entry that has missed more gets a snapshot."""


MAX_RETAINED_BYTES = 4 * 1024 * 1024
"""Maximum size of the retained changes.  A change of a configuration may
hold all of it, and hundreds of them would fill a small machine."""


class ChangeFeed:
    """Retains recent changes in order and notifies waiting tasks.

    The leader's sessions with entries read from it.  An entry whose
    revision is older than the retained changes needs a snapshot.
    """

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self._changes: deque[Change] = deque()
        self._added_at: deque[float] = deque()
        self._retained_bytes = 0
        self._base_revision = Revision(0)
        self._updated = asyncio.Event()

    def add(self, entry: AppliedEntry) -> None:
        """Add the part of an applied log entry that goes to entries."""
        if not entry.fanned_out:
            return
        change = Change(
            Revision(entry.index),
            entry.envelope.time,
            entry.envelope.author,
            tuple(self._codec.encode(command) for command in entry.fanned_out),
        )
        self._changes.append(change)
        self._added_at.append(self._clock.monotonic())
        self._retained_bytes += size_of(change)
        # The latest change always stays, or each entry would need a snapshot.
        while len(self._changes) > 1 and (
            len(self._changes) > MAX_RETAINED_CHANGES
            or self._retained_bytes > MAX_RETAINED_BYTES
        ):
            dropped = self._changes.popleft()
            self._base_revision = dropped.revision
            self._retained_bytes -= size_of(dropped)
            self._added_at.popleft()
        self._updated.set()
        self._updated = asyncio.Event()

    def reset(self, revision: Revision) -> None:
        """Drop all changes, because a snapshot replaced the state."""
        self._changes.clear()
        self._added_at.clear()
        self._retained_bytes = 0
        self._base_revision = revision
        self._updated.set()
        self._updated = asyncio.Event()

    def since(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision.

        Returns None if some of them are no longer retained.
        """
        if revision < self._base_revision:
            return None
        newer: list[Change] = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            newer.append(change)
        return tuple(reversed(newer))

    def lag_seconds(self, revision: Revision) -> float:
        """Return the age of the oldest change after a revision.

        Returns 0 if there is none, and infinity if it is no longer retained.
        """
        if revision < self._base_revision:
            return float("inf")
        missed = len(self.since(revision) or ())
        if missed == 0:
            return 0.0
        return self._clock.monotonic() - self._added_at[-missed]

    async def wait(self) -> None:
        """Wait until a change is added or the changes are dropped."""
        await self._updated.wait()


def size_of(change: Change) -> int:
    """Return the size in bytes of a change's encoded commands."""
    return sum(map(len, change.commands))
