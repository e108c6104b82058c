"""What a target's heartbeat means, as it may be late or of an earlier run."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, ModelName, TargetId, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Rental, TargetState

MISSED_BEATS = 3.0
"""Heartbeats that may be missing before a target is taken as lost; one may be
late by seconds without harm, since failed requests avoid a target at once."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself."""

    id: TargetId
    started_at_ms: int
    """Start of this run of the target, as Unix milliseconds."""
    sequence: int
    """Rises with each heartbeat of one run."""
    service: str
    address: str
    data_centre: DataCentre
    slots: int
    state: TargetState
    rental: Rental
    versions_by_model: dict[ModelName, WeightVersion]
    leaves_in_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Known:
    """What is known of the target that sent a heartbeat."""

    target: Target
    last_sequence: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The heartbeat is of an earlier run, or late; it changes nothing."""

    reason: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """The target is there as before."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """The target is new, or has changed; ``ended`` runs are over."""

    ended: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Leaving:
    """The target takes no new work from now on."""


Meaning = Stale | Renewed | Arrived | Leaving


def interpret(
    beat: Heartbeat, known: Known | None, at_address: Iterable[Target]
) -> Meaning:
    """Return what a heartbeat changes.

    ``at_address`` are the known targets at the address that it names.
    """
    if known is not None:
        run = int(known.target.incarnation)
        if beat.started_at_ms < run:
            return Stale("an earlier run of this target")
        if beat.started_at_ms == run and beat.sequence <= known.last_sequence:
            return Stale("a later heartbeat has come before")
    others = [target for target in at_address if target.id != beat.id]
    if any(int(other.incarnation) > beat.started_at_ms for other in others):
        return Stale("a target that started later has this address")
    same_run = known is not None and int(known.target.incarnation) == beat.started_at_ms
    if known is None or not same_run or others:
        return Arrived(tuple(others))
    if beat.state is TargetState.DRAINING:
        draining = known.target.state is TargetState.DRAINING
        return Renewed() if draining else Leaving()
    if known.target.address != beat.address:
        return Arrived(())
    return Renewed()
