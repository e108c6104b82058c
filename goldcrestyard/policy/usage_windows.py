"""Usage windows: to which one a record belongs, and when one is closed."""

from dataclasses import dataclass
from typing import NewType

WindowEnd = NewType("WindowEnd", int)
"""A window is named by its end, in seconds since the Unix epoch, so that
names rise even where the length of windows is changed."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The window that takes a record, and whether it comes late."""

    window: WindowEnd
    late: bool


def window_of(time: float, window_seconds: int) -> WindowEnd:
    """Return the window in which a moment lies."""
    return WindowEnd((int(time // window_seconds) + 1) * window_seconds)


def place(
    window: WindowEnd, last_closed: WindowEnd, now: float, window_seconds: int
) -> Placement:
    """Return where a record goes that an entry measured in a window.

    A closed window has been reported, so its late records go to the current
    one.  A window in the future comes from an entry whose clock is ahead; it
    would delay the record until then.
    """
    current = window_of(now, window_seconds)
    if current <= last_closed:
        current = WindowEnd(last_closed + window_seconds)
    if window <= last_closed:
        return Placement(current, True)
    return Placement(min(window, current), False)


def due(
    now: float, last_closed: WindowEnd, window_seconds: int, grace_seconds: float
) -> WindowEnd | None:
    """Return the latest window to close now, or None.

    The grace lets entries send what they measured before the end.  After an
    outage one closing covers all windows that have passed.
    """
    latest = WindowEnd(int((now - grace_seconds) // window_seconds) * window_seconds)
    return latest if latest > last_closed and latest > 0 else None
