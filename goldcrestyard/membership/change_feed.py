"""The latest changes, kept for entries that follow them."""

import asyncio
from collections import deque

from goldcrestyard.core.ids import Revision
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import AppliedEntry, Change
from goldcrestyard.wire.codec import Codec

KEPT_CHANGES = 8192
"""About two days of changes at 3,700 a day; an entry that missed more gets a
snapshot."""


class ChangeFeed:
    """Keeps the latest changes in order and wakes those that follow."""

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self._changes: deque[Change] = deque()
        self._added_at: deque[float] = deque()
        self._floor = Revision(0)
        self._grown = asyncio.Event()

    def add(self, entry: AppliedEntry) -> None:
        """Keep the fanned-out part of an applied entry."""
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
        if len(self._changes) > KEPT_CHANGES:
            self._floor = self._changes.popleft().revision
            self._added_at.popleft()
        self._grown.set()
        self._grown = asyncio.Event()

    def reset(self, revision: Revision) -> None:
        """Forget all changes: the state now comes from a snapshot."""
        self._changes.clear()
        self._added_at.clear()
        self._floor = revision
        self._grown.set()
        self._grown = asyncio.Event()

    def since(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if too old."""
        if revision < self._floor:
            return None
        newer: list[Change] = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            newer.append(change)
        return tuple(reversed(newer))

    def lag_seconds(self, revision: Revision) -> float:
        """Return for how long an entry at a revision has missed a change."""
        if revision < self._floor:
            return float("inf")
        missed = len(self.since(revision) or ())
        if missed == 0:
            return 0.0
        return self._clock.monotonic() - self._added_at[-missed]

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._grown.wait()
