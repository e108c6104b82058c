"""Decision when to close a connection whose client does not read an answer.

Load: clients that send requests and leave the answers unread, so that they
keep memory, places and the slots of targets from others.
"""

from dataclasses import dataclass

CHECK_INTERVAL_SECONDS = 0.5
"""Time between two looks at an answer that waits."""

SCARCE_SECONDS = 2.0
"""Longest time without progress while memory or places are scarce.  Clients
abandon a stream after as long a gap."""

SCARCE_SHARE = 0.5
"""Share of the room for bodies from which it counts as scarce.  The rest is
for ordinary clients until the connections are closed."""


@dataclass(slots=True)
class UnreadAnswer:
    """An answer of which some bytes wait for the client.

    Progress is that fewer bytes wait, so that a slow client which reads is
    never closed.
    """

    waiting_bytes: int
    progress_at: float
    """Time in seconds at which fewer bytes waited than before."""

    def must_close(
        self, waiting_bytes: int, now: float, idle_seconds: float, *, scarce: bool
    ) -> bool:
        """Note how many bytes wait; return whether to close the connection."""
        if waiting_bytes < self.waiting_bytes:
            self.progress_at = now
        self.waiting_bytes = waiting_bytes
        seconds = min(idle_seconds, SCARCE_SECONDS) if scarce else idle_seconds
        return now - self.progress_at >= seconds
