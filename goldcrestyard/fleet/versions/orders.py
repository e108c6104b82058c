"""Orders to engines, and what is known of their state."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from goldcrestyard.core.ids import ModelName, Term, WeightVersion
from goldcrestyard.core.records import Target


class OrderOutcome(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    """What is ordered is the case already."""
    CONFLICT = "conflict"
    """Another order is in progress, or has come since the last report."""
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No answer came: the order may be carried out now, later or never."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Asks an engine to load a version of a model."""

    model: ModelName
    version: WeightVersion
    fence: Term
    expected_orders: int
    """The number of orders that the engine has accepted before this one.  An
    order that is carried out late, after newer ones, no longer matches."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's word on its state, some hundred milliseconds old."""

    accepted_orders: int
    order_in_progress: bool
    versions_by_model: dict[ModelName, WeightVersion]


class EngineControl(Protocol):
    """Orders and questions to engines; the adapter of a platform has it."""

    async def report(self, target: Target) -> EngineReport | None:
        """Ask an engine for its state; None if it does not answer."""
        ...

    async def load(self, target: Target, order: LoadOrder) -> OrderOutcome:
        """Send an order once."""
        ...
