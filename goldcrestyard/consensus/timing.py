"""Timing parameters of the Raft protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals in seconds, and the bound on clock drift."""

    heartbeat: float = 0.25
    """Interval between two heartbeats of a leader."""
    lease: float = 1.5
    """Length of the leader's lease, which starts when a message is sent that a
    quorum acknowledges.  The allowance for clock drift is subtracted."""
    election_timeout_min: float = 2.0
    election_timeout_max: float = 3.0
    """Bounds between which each election timeout is drawn at random."""
    drift: float = 0.05
    """Largest relative difference between the rates of two clocks."""
    vote_withholding: float = 2.0
    """Time after its start for which a member refuses every candidate.  It is
    at least the lease, since the member may have acknowledged a heartbeat just
    before the restart."""

    @property
    def confirmation(self) -> float:
        """Time since its last answer within which a member counts as running.

        Any silence may be that of a lost member, so a change that relies on a
        member needs an answer of a moment ago.
        """
        return 3 * self.heartbeat
