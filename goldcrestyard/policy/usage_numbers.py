"""Numbered usage windows: when one is over, and when its counts are in."""

from typing import NewType

WindowNumber = NewType("WindowNumber", int)
"""Window ``k`` begins ``k`` window lengths after the Unix epoch."""

SETTLE_SECONDS = 3.0
"""Counts of a window come with the renewal after it, which is sent every
second; a call that began in the window has nearly always ended by then."""


def number_of(time: float, window_seconds: float) -> WindowNumber:
    """Return the window in which a moment lies."""
    return WindowNumber(int(time // window_seconds))


def next_to_close(
    last_closed: WindowNumber | None, now: float, window_seconds: float
) -> WindowNumber | None:
    """Return the window to close now, or None."""
    settled = WindowNumber(number_of(now - SETTLE_SECONDS, window_seconds) - 1)
    if last_closed is None:
        return settled
    following = WindowNumber(last_closed + 1)
    return following if following <= settled else None
