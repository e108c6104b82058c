"""States and kinds as enumerations."""

from enum import Enum


class TargetKind(Enum):
    """What a target serves."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(Enum):
    """Life cycle of a target as the replicated state records it."""

    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    LOST = "lost"


class Rental(Enum):
    """How a target is paid for."""

    ON_DEMAND = "on_demand"
    RECLAIMABLE = "reclaimable"


class Priority(Enum):
    """Class of work; interactive requests go before rollout work."""

    INTERACTIVE = "interactive"
    ROLLOUT = "rollout"


class InstanceState(Enum):
    """Life cycle of one of the system's own processes."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
