"""Commands and snapshot of the evacuations slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.states import EvacuationState


@dataclass(frozen=True, slots=True)
class RequestEvacuation:
    """Requests that nothing more is sent to the targets of a data centre.

    ``requester`` is the address of the caller that asked for it.
    """

    data_centre: DataCentre
    requester: str


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Ends the evacuation of a data centre, if one is in force."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The latest evacuation of a data centre; times are Unix seconds."""

    data_centre: DataCentre
    state: EvacuationState
    requester: str
    requested_at: float
    ended_at: float | None
    """Time at which the latest evacuation that is over ended, if any."""


@dataclass(frozen=True, slots=True)
class EvacuationsSnapshot:
    """Snapshot of the slice."""

    evacuations: tuple[Evacuation, ...]
