"""Decisions on request bodies that arrive slowly while others find no room.

A body takes its room before it has arrived, and clients may send it as slowly
as they like.  In calm that harms nobody.  Once the room is needed, the bodies
that keep it for long are given up in favour of others.
"""

import math
from collections.abc import Iterable
from typing import TypeVar

GRACE_SECONDS = 2.0
"""Age up to which a body is never given up."""

ON_COURSE_SECONDS = 20.0
"""A body that will have arrived within so many seconds of its start, by its
recent rate, is not given up either.  One of 32 MB then needs 13 Mbit/s."""

WINDOW_SECONDS = 2.0
"""Shortest time over which the recent rate is measured; the longest is twice
as long."""

T = TypeVar("T")


class Arrival:
    """How much of one body has arrived, and how fast.

    ``expected`` is its size, or 0 if that is not known.
    """

    def __init__(self, now: float, expected: int) -> None:
        self._began_at = now
        self._expected = expected
        self.received = 0
        self._since, self._received_then = now, 0
        self._next_since, self._next_received = now, 0

    def add(self, now: float, size: int) -> None:
        """Count bytes that have arrived."""
        self._move_window(now)
        self.received += size

    def seconds_left(self, now: float) -> float:
        """Return the time until the body is whole, by its recent rate.

        One of unknown size is taken for half arrived.
        """
        self._move_window(now)
        recent = self.received - self._received_then
        if recent == 0:
            return math.inf
        left = max(0, self._expected - self.received) or self.received
        return left * (now - self._since) / recent

    def may_end(self, now: float) -> bool:
        """Return whether the body may be given up in favour of others."""
        age = now - self._began_at
        return age >= GRACE_SECONDS and age + self.seconds_left(now) > ON_COURSE_SECONDS

    def _move_window(self, now: float) -> None:
        if now - self._next_since >= WINDOW_SECONDS:
            if now - self._next_since >= 2 * WINDOW_SECONDS:
                # Nothing has arrived for longer than the window.
                self._next_since = now - WINDOW_SECONDS
                self._next_received = self.received
            self._since = self._next_since
            self._received_then = self._next_received
            self._next_since, self._next_received = now, self.received


def bodies_to_end(
    arrivals: Iterable[tuple[T, Arrival, int]], missing: int, own: T, now: float
) -> list[T]:
    """Return the bodies to give up so that ``missing`` bytes become free.

    Each has a key, what has arrived, and the bytes that it holds.  Those that
    would take longest go first.  None is given up in vain, and none in favour
    of ``own`` if that one would take longer.
    """
    slow = [
        (arrival.seconds_left(now), held, key)
        for key, arrival, held in arrivals
        if held > 0 and arrival.may_end(now)
    ]
    slow.sort(key=lambda entry: entry[:2], reverse=True)
    chosen: list[T] = []
    for _, held, key in slow:
        if missing <= 0 or key is own:
            break
        chosen.append(key)
        missing -= held
    return chosen if missing <= 0 else []
