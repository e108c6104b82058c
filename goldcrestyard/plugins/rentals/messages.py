"""Peer messages of the ``rentals`` plug-in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportDemand:
    """Numbers of requests at the targets whose home is the sending entry.

    ``resumable`` ones can continue elsewhere if their target is lost; ``firm``
    ones cannot.
    """

    firm: float
    resumable: float
