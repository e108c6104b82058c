"""Commands, outcomes and snapshot of plans, and queries to the leader."""

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
    """Stores a plan without applying it.

    ``number`` is None to use the next free number; ``seen`` is the revision
    from which the changes were computed.
    """

    number: PlanNumber | None
    request_id: RequestId
    declaration_digest: str
    seen: Revision
    changes: tuple[PlannedChange, ...]
    warnings: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfirmPlan:
    """Applies a stored plan whose digest matches."""

    number: PlanNumber
    digest: str


@dataclass(frozen=True, slots=True)
class PlanStored:
    """Outcome of ``StorePlan``; a repeated request gets the same plan."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class PlanConfirmed:
    """Outcome of ``ConfirmPlan``; a repeated request gets the same one."""

    number: PlanNumber
    confirmation: Confirmation


@dataclass(frozen=True, slots=True)
class PlansSnapshot:
    """Snapshot of ``PlansSlice``."""

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
    """Reply to ``PlanQuery``: None if no plan has the number."""

    plan: Plan | None


@dataclass(frozen=True, slots=True)
class PlanSummary:
    """A plan with the counts of its changes and warnings only."""

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
    """Reply to ``PlansListQuery``: the latest plans, oldest first."""

    plans: tuple[PlanSummary, ...]


@dataclass(frozen=True, slots=True)
class WaitInForce:
    """Asks the leader to wait until no entry can act on an older revision.

    The leader waits at most ``seconds``.
    """

    revision: Revision
    seconds: float


@dataclass(frozen=True, slots=True)
class InForceReply:
    """Reply to ``WaitInForce``: entries that may act on an older revision."""

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
