"""Usage windows, named by their end.

Decides to which window a usage record belongs, and when a window is closed and
reported.
"""

from dataclasses import dataclass
from typing import NewType

WindowEnd = NewType("WindowEnd", int)
"""End of a window in seconds since the Unix epoch.  It identifies the window
and rises even if the length of windows changes."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The window that a record goes to, and whether its own is closed."""

    window: WindowEnd
    late: bool


def window_of(time: float, window_seconds: int) -> WindowEnd:
    """Return the end of the window that contains a time."""
    return WindowEnd((int(time // window_seconds) + 1) * window_seconds)


def place_record(
    window: WindowEnd, last_closed: WindowEnd, now: float, window_seconds: int
) -> Placement:
    """Return the window for a record that an entry measured in ``window``.

    A closed window has been reported, so late records go to the current one.
    So do records of a later window, which come from an entry whose clock is
    ahead: they would not be reported until that window.
    """
    current = window_of(now, window_seconds)
    if current <= last_closed:
        current = WindowEnd(last_closed + window_seconds)
    if window <= last_closed:
        return Placement(current, True)
    return Placement(min(window, current), False)


def window_to_close(
    now: float, last_closed: WindowEnd, window_seconds: int, grace_seconds: float
) -> WindowEnd | None:
    """Return the latest window to close now, or None.

    The grace period lets entries send the records of the window.  After an
    outage, one closing covers all windows that have ended.
    """
    latest = WindowEnd(int((now - grace_seconds) // window_seconds) * window_seconds)
    return latest if latest > last_closed and latest > 0 else None
