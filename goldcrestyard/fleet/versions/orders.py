"""Interface for ordering engines to load weights and reading their state."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from goldcrestyard.core.ids import ModelName, Term, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.duties import Permit


class OrderOutcome(Enum):
    """An engine's answer to a load order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    """The engine has the ordered version already."""
    CONFLICT = "conflict"
    """Another order is in progress or was accepted since the last report."""
    REFUSED = "refused"
    NOT_SENT = "not sent"
    """The permit had ended before the order left, or the engine leaves."""
    UNKNOWN = "unknown"
    """No answer: the order may be carried out now, later or never."""


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to an engine to load a version of a model."""

    model: ModelName
    version: WeightVersion
    fence: Term
    """The leader's term, as fencing token."""
    expected_orders: int
    """Number of orders that the engine must have accepted before this one.
    The engine rejects an order that arrives late, after newer ones."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, some hundred milliseconds old."""

    accepted_orders: int
    order_in_progress: bool
    versions_by_model: dict[ModelName, WeightVersion]
    incarnation: str = ""
    """That of the engine's present run; empty if it names none."""


class EngineControl(Protocol):
    """Client for the control interface of engines, provided by a platform."""

    async def report(self, target: Target) -> EngineReport | None:
        """Return an engine's state, or None if it does not answer."""
        ...

    async def load(
        self, target: Target, order: LoadOrder, permit: Permit
    ) -> OrderOutcome:
        """Send an order once, without retries, if the permit still holds."""
        ...
