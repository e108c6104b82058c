"""Commands and snapshot of the targets slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetState


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """A target is ready for work; ``home`` tracks its renewals."""

    target: Target
    home: InstanceId


@dataclass(frozen=True, slots=True)
class DrainTarget:
    """A target gets no new work and finishes what it has."""

    id: TargetId
    incarnation: str


@dataclass(frozen=True, slots=True)
class RemoveTarget:
    """A target has left or is lost.

    The incarnation keeps a late removal from hitting a target that has
    started again under the same id.  The home, if given, keeps the report of
    an earlier home from hitting a target that has announced itself elsewhere.
    """

    id: TargetId
    incarnation: str
    state: TargetState
    home: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class HomedTarget:
    """A target and the entry that tracks its renewals."""

    target: Target
    home: InstanceId


@dataclass(frozen=True, slots=True)
class RemovedTarget:
    """A run of a target that has left or is lost."""

    id: TargetId
    incarnation: str
    state: TargetState
    draining: bool


@dataclass(frozen=True, slots=True)
class TargetsSnapshot:
    """The whole slice."""

    targets: tuple[HomedTarget, ...]
    removed: tuple[RemovedTarget, ...] = ()
