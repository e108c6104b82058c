"""Interpretation of targets' heartbeats.

A heartbeat that arrives out of order, or that comes from an earlier run of its
target, is ignored.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import (
    DataCentre,
    ModelName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Rental, TargetState

LOST_AFTER_HEARTBEATS = 3.0
"""Heartbeat intervals without a heartbeat after which a target counts as lost.
The delay of some seconds is harmless, since a target whose requests fail is
avoided at once."""


MAX_START_AHEAD_SECONDS = 60.0
"""How far a target's start may lie ahead of the leader's clock.  The clocks of
machines differ by seconds only."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A target's periodic report of its address, state and weight versions."""

    id: TargetId
    started_at_ms: int
    """Start of this run of the target, as Unix milliseconds."""
    sequence: int
    """Number that rises with each heartbeat of a run."""
    service: str
    address: str
    data_centre: DataCentre
    slots: int
    state: TargetState
    rental: Rental
    versions_by_model: dict[ModelName, WeightVersion]
    leaves_in_seconds: float | None = None
    """Time until the target stops, or None if it stays."""
    software: SoftwareVersion = SoftwareVersion("")
    cold_seconds_left: float = 0.0
    """Time until the target takes requests at its usual rate; 0 if it does."""


@dataclass(frozen=True, slots=True)
class KnownTarget:
    """The recorded state of a target, with its latest heartbeat's number."""

    target: Target
    last_sequence: int


@dataclass(frozen=True, slots=True)
class Stale:
    """The heartbeat says nothing of a present run, and is ignored."""

    reason: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """The target is unchanged."""


@dataclass(frozen=True, slots=True)
class Arrived:
    """The target is new, has restarted, has moved or names its software.

    ``ended`` are the earlier targets at its address.
    """

    ended: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Leaving:
    """The target has started to drain and takes no new work."""


Meaning = Stale | Renewed | Arrived | Leaving


def interpret(
    heartbeat: Heartbeat,
    known: KnownTarget | None,
    at_address: Iterable[Target],
    services: Collection[str] | None = None,
    now: float | None = None,
) -> Meaning:
    """Return the effect of a heartbeat on the recorded target.

    ``known`` is the recorded target with its id, ``at_address`` are the
    recorded targets at its address.  ``services`` are the configured ones and
    ``now`` is the Unix time in seconds; None leaves out the checks by them.

    Another writer may send anything under any id.  Only the report of a known
    run, or of one that names a configured service, has an effect, and only
    targets of configured services have an effect on it.
    """
    same_run = (
        known is not None and int(known.target.incarnation) == heartbeat.started_at_ms
    )
    unusable = _find_fault(heartbeat, known if same_run else None, services, now)
    if unusable is not None:
        return Stale(unusable)
    if known is not None:
        if heartbeat.started_at_ms < int(known.target.incarnation):
            return Stale("an earlier run of this target")
        if same_run and heartbeat.sequence <= known.last_sequence:
            return Stale("a later heartbeat was received before")
    others = [
        target
        for target in at_address
        if target.id != heartbeat.id and _is_configured(target.serves, services)
    ]
    if any(int(other.incarnation) > heartbeat.started_at_ms for other in others):
        return Stale("a target that started later has this address")
    if known is None or not same_run or others:
        return Arrived(tuple(others))
    if heartbeat.state is TargetState.DRAINING:
        draining = known.target.state is TargetState.DRAINING
        return Renewed() if draining else Leaving()
    # The release that recorded the target may not have recorded its software.
    if heartbeat.software and not known.target.software:
        return Arrived(())
    if known.target.address != heartbeat.address:
        return Arrived(())
    return Renewed()


def _find_fault(
    heartbeat: Heartbeat,
    same_run: KnownTarget | None,
    services: Collection[str] | None,
    now: float | None,
) -> str | None:
    """Return why a heartbeat cannot come from a target in use, or None."""
    if same_run is not None:
        if heartbeat.service not in same_run.target.serves:
            return "another service than that of this run"
        return None
    if not _is_configured((heartbeat.service,), services):
        return "its service is not configured"
    if now is not None and (
        heartbeat.started_at_ms / 1000 > now + MAX_START_AHEAD_SECONDS
    ):
        return "its start lies in the future"
    return None


def _is_configured(names: Iterable[str], services: Collection[str] | None) -> bool:
    return services is None or any(name in services for name in names)
