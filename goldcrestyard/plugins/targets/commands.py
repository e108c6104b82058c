"""Commands and snapshot of the targets slice."""

from dataclasses import dataclass, field

from goldcrestyard.core.ids import InstanceId, SoftwareVersion, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetState


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Records a target that is ready for work, and its home."""

    target: Target
    home: InstanceId
    started_at: float | None = None
    """Start of the run as Unix time in seconds, or None if it is unknown."""
    confirmed: bool = False
    """Whether the run has shown that it goes on after its departure was
    recorded.  The departure was then that of an earlier run."""


@dataclass(frozen=True, slots=True)
class DrainTarget:
    """Stops new work for a target, which finishes the work that it has."""

    id: TargetId
    incarnation: str


@dataclass(frozen=True, slots=True)
class RemoveTarget:
    """Removes a target that has left or is lost.

    With the incarnation, a late command does not remove a target that has
    restarted under the same id.  With the home, if given, the report of an
    earlier home does not remove a target that has announced itself elsewhere.
    """

    id: TargetId
    incarnation: str
    state: TargetState
    home: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class LeaveTarget:
    """Records that the present run of a target has left, whatever its state.

    A target that leaves may name its id only.  Its run may be recorded as
    lost, or not at all while its announcement is still on its way.
    """

    id: TargetId


@dataclass(frozen=True, slots=True)
class HomedTarget:
    """A target and the entry that tracks its renewals."""

    target: Target
    home: InstanceId


@dataclass(frozen=True, slots=True)
class RemovedTarget:
    """A removed run of a target, with its state and whether it drained."""

    id: TargetId
    incarnation: str
    state: TargetState
    draining: bool


@dataclass(frozen=True, slots=True)
class LeftSoftware:
    """When the latest target with a software version left a service."""

    service: str
    software: SoftwareVersion
    at: float
    """Unix time in seconds."""


@dataclass(frozen=True, slots=True)
class TargetsSnapshot:
    """Snapshot of the targets slice."""

    targets: tuple[HomedTarget, ...]
    removed: tuple[RemovedTarget, ...] = ()
    departed_at_by_id: dict[TargetId, float] = field(default_factory=dict)
    left_software: tuple[LeftSoftware, ...] = ()
    software_known_since: float | None = None
    """Unix time since which departures of software versions are recorded; None
    in the snapshot of a release that does not record them."""
