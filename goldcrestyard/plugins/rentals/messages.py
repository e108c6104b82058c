"""Messages of the platform plug-in between the system's processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportDemand:
    """Requests at the targets whose home the sending entry is."""

    firm: float
    resumable: float
