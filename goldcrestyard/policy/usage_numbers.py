"""Usage windows of fixed length, numbered from the Unix epoch.

The fleet's metering closes them one by one; ``usage_windows`` has the rules
for the windows of the usage plug-in, which are named by their end.
"""

from typing import NewType

WindowNumber = NewType("WindowNumber", int)
"""Number of a usage window; window ``k`` begins ``k`` window lengths after the
Unix epoch."""

COUNTS_DELAY_SECONDS = 3.0
"""Time after the end of a window until its counts are complete.  Entries
report them with the next lease renewal, which is sent every second, and nearly
all calls that began in the window have ended by then."""


def window_number(time: float, window_seconds: float) -> WindowNumber:
    """Return the number of the window that contains a time."""
    return WindowNumber(int(time // window_seconds))


def next_to_close(
    last_closed: WindowNumber | None, now: float, window_seconds: float
) -> WindowNumber | None:
    """Return the window to close now, or None if none is complete.

    Windows are closed in their order, without gaps.
    """
    settled = WindowNumber(
        window_number(now - COUNTS_DELAY_SECONDS, window_seconds) - 1
    )
    if last_closed is None:
        return settled
    following = WindowNumber(last_closed + 1)
    return following if following <= settled else None
