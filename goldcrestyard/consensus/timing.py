"""The intervals of the protocol between members of the log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """The intervals of the protocol, in seconds."""

    heartbeat: float = 0.25
    lease: float = 1.5
    election_timeout_min: float = 2.0
    election_timeout_max: float = 3.0
    drift: float = 0.05
    start_quiet: float = 2.0
    """How long a member supports no candidate after its start: at least the
    lease, which it may have confirmed just before."""
