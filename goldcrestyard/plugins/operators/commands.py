"""Commands, outcomes, messages and snapshot of plans."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, PlanNumber, RequestId, Revision
from goldcrestyard.policy.plans import (
    ConfigurationChange,
    Confirmation,
    Plan,
    PlannedChange,
)


@dataclass(frozen=True, slots=True)
class StorePlan:
    """Stores a plan; nothing else changes."""

    number: PlanNumber | None
    request_id: RequestId
    declaration_digest: str
    seen: Revision
    changes: tuple[PlannedChange, ...]
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfirmPlan:
    """Makes a stored plan effective."""

    number: PlanNumber
    digest: str


@dataclass(frozen=True, slots=True)
class PlanStored:
    """Outcome of ``StorePlan``: the plan, also when it was stored before."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class PlanConfirmed:
    """Outcome of ``ConfirmPlan``, also when it was confirmed before."""

    number: PlanNumber
    confirmation: Confirmation


@dataclass(frozen=True, slots=True)
class PlansSnapshot:
    """The whole slice."""

    plans: tuple[Plan, ...]
    highest_number: PlanNumber
    highest_forgotten: PlanNumber
    configuration: Revision
    latest_changes: tuple[ConfigurationChange, ...]


@dataclass(frozen=True, slots=True)
class PlanQuery:
    """Asks the leader for one plan."""

    number: PlanNumber


@dataclass(frozen=True, slots=True)
class PlanReply:
    """The plan asked for, or None if there is none."""

    plan: Plan | None


@dataclass(frozen=True, slots=True)
class PlanSummary:
    """A plan without its changes, of which there may be many."""

    number: PlanNumber
    digest: str
    base: Revision
    author: str
    time: float
    changes: int
    warnings: int
    confirmation: Confirmation | None


@dataclass(frozen=True, slots=True)
class PlansListQuery:
    """Asks the leader for the latest plans."""

    limit: int = 100


@dataclass(frozen=True, slots=True)
class PlansListReply:
    """The latest plans, oldest first."""

    plans: tuple[PlanSummary, ...]


@dataclass(frozen=True, slots=True)
class WaitInForce:
    """Asks the leader to wait until a revision is in force everywhere."""

    revision: Revision
    seconds: float


@dataclass(frozen=True, slots=True)
class InForceReply:
    """The entries that may still act on an older revision."""

    behind: tuple[InstanceId, ...]


MESSAGES = (
    PlanStored,
    PlanConfirmed,
    PlansSnapshot,
    PlanQuery,
    PlanReply,
    PlansListQuery,
    PlansListReply,
    WaitInForce,
    InForceReply,
)
