"""Enumerations of states and kinds shared by several packages."""

from enum import Enum


class TargetKind(Enum):
    """Whether a target runs model inference or another HTTP service."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(Enum):
    """Life-cycle state of a target in the replicated state."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


class Rental(Enum):
    """Pricing of a rented target.

    A reclaimable target is cheaper, but the provider may take it back.
    """

    ON_DEMAND = "on_demand"
    RECLAIMABLE = "reclaimable"


class Priority(Enum):
    """Scheduling class; interactive requests go before rollout work."""

    INTERACTIVE = "interactive"
    ROLLOUT = "rollout"


class EvacuationState(Enum):
    """State of the latest evacuation of a data centre."""

    IN_FORCE = "in_force"
    ENDED = "ended"


class InstanceState(Enum):
    """Life-cycle state of a daemon process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
