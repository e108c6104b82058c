"""Timing parameters of the Raft protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals in seconds, and the bound on clock drift."""

    heartbeat: float = 0.25
    """Interval between the heartbeats of a leader."""
    lease: float = 1.5
    """Time after the sending of a message acknowledged by a quorum for which
    the leader may rely on its leadership, before the allowance for drift."""
    election_timeout_min: float = 2.0
    election_timeout_max: float = 3.0
    """Bounds between which each election timeout is drawn at random."""
    drift: float = 0.05
    """Largest relative difference between the rates of two clocks."""
    vote_withholding: float = 2.0
    """Time after its start for which a member refuses every candidate: at
    least the lease, since it may have acknowledged a heartbeat just before
    the restart."""
