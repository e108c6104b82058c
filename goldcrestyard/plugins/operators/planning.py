"""Plan, confirm and wait until a change is in force; no HTTP here."""

import asyncio
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import (
    CorrelationId,
    InstanceId,
    PlanNumber,
    RequestId,
    Revision,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.operators import declarations
from goldcrestyard.plugins.operators.commands import (
    ConfirmPlan,
    InForceReply,
    PlanConfirmed,
    PlanQuery,
    PlanReply,
    PlansListQuery,
    PlansListReply,
    PlanStored,
    PlanSummary,
    StorePlan,
    WaitInForce,
)
from goldcrestyard.policy.plans import Confirmation, Plan
from goldcrestyard.state.commands import Command, Rejected
from goldcrestyard.state.declarations import DeclaredKind

IN_FORCE_SECONDS = 10.0
"""A change is in force within this time unless entries are behind."""

QUERY_SECONDS = 5.0
VIEW_SECONDS = 3.0
"""How long a plan waits for this entry's view to catch up."""

RETRY_SECONDS = 0.2

MAX_DECLARATION = 1024 * 1024
"""Plans are kept in the replicated log and in memory on control members."""


@dataclass(frozen=True, slots=True)
class Author:
    """Who asks, and under which ids."""

    name: str
    request_id: RequestId
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class InForce:
    """No entry can act on an older revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Behind:
    """Committed; these entries may still act on an older revision.

    ``entries`` is empty if the leader could not be asked.
    """

    revision: Revision
    entries: tuple[InstanceId, ...]
    detail: str


Effect = InForce | Behind


class Planner:
    """Serves operators on this instance; the leader decides."""

    def __init__(
        self,
        view: EntryView,
        link: LeaderLink,
        clock: Clock,
        kinds: Sequence[DeclaredKind],
    ) -> None:
        self._view = view
        self._link = link
        self._clock = clock
        self._kinds = kinds

    async def plan(
        self, text: str, number: PlanNumber | None, author: Author
    ) -> Plan | Refusal:
        """Store what a declaration changes, and return it."""
        if len(text) > MAX_DECLARATION:
            return Refusal(
                RefusalReason.BODY_TOO_LARGE,
                f"the declaration is longer than {MAX_DECLARATION} characters; "
                "split it by tables",
            )
        declaration = declarations.read(text, self._kinds)
        if isinstance(declaration, declarations.Faults):
            return Refusal(RefusalReason.BAD_REQUEST, "\n".join(declaration.messages))
        digest = hashlib.sha256(text.encode()).hexdigest()
        deadline = self._clock.monotonic() + VIEW_SECONDS
        while True:
            seen = self._view.revision
            changes, warnings = declarations.changes_of(
                declaration, self._kinds, self._view.machine
            )
            command = StorePlan(
                number, author.request_id, digest, seen, changes, warnings
            )
            outcome = await self.change(command, author)
            match outcome:
                case Applied(outcome=PlanStored(plan=plan)):
                    return plan
                case Refusal(reason=RefusalReason.STALE_PLAN):
                    # This entry's view is behind the log; it catches up soon.
                    if self._clock.monotonic() >= deadline:
                        return outcome
                    await asyncio.sleep(RETRY_SECONDS)
                case Refusal():
                    return outcome
                case _:
                    raise TypeError(f"unexpected outcome {outcome!r}")

    async def confirm(
        self, number: PlanNumber, digest: str, author: Author
    ) -> Confirmation | Refusal:
        """Make a plan effective."""
        outcome = await self.change(ConfirmPlan(number, digest), author)
        match outcome:
            case Applied(outcome=PlanConfirmed(confirmation=confirmation)):
                return confirmation
            case Refusal():
                return outcome
        raise TypeError(f"unexpected outcome {outcome!r}")

    async def change(self, command: Command, author: Author) -> Applied | Refusal:
        """Commit a command; a rejection becomes a refusal."""
        result = await self._link.propose(command, author.name, author.correlation_id)
        return refusal_of(result) or _applied(result)

    async def find(self, number: PlanNumber) -> Plan | Refusal:
        """Return a plan as the leader knows it."""
        reply = await self._link.request(PlanQuery(number), QUERY_SECONDS)
        match reply:
            case PlanReply(plan=None):
                return Refusal(RefusalReason.NOT_FOUND, f"no plan {number}")
            case PlanReply(plan=Plan() as plan):
                return plan
            case _:
                return no_leader(reply)

    async def latest(self) -> tuple[PlanSummary, ...] | Refusal:
        """Return the latest plans without their changes."""
        reply = await self._link.request(PlansListQuery(), QUERY_SECONDS)
        if isinstance(reply, PlansListReply):
            return reply.plans
        return no_leader(reply)

    async def wait_in_force(
        self, revision: Revision, seconds: float = IN_FORCE_SECONDS
    ) -> Effect:
        """Wait until no entry can act on an older revision.

        The leader is asked again after a change of leader, until the time is
        up.
        """
        deadline = self._clock.monotonic() + seconds
        detail = "not waited for"
        while (left := deadline - self._clock.monotonic()) > 0:
            reply = await self._link.request(WaitInForce(revision, left), left + 1.0)
            match reply:
                case InForceReply(behind=()):
                    return InForce(revision)
                case InForceReply(behind=behind):
                    return Behind(revision, behind, "entries are behind")
                case _:
                    detail = no_leader(reply).detail
                    await asyncio.sleep(RETRY_SECONDS)
        return Behind(revision, (), detail)


def no_leader(reply: object) -> Refusal:
    """Return the refusal for a query that the leader did not answer."""
    detail = getattr(reply, "detail", "the asked member does not lead")
    return Refusal(RefusalReason.NO_LEADER, detail, retry_after_seconds=1.0)


def refusal_of(result: ProposalResult) -> Refusal | None:
    """Return the refusal that a proposal's result stands for, if any."""
    match result:
        case Applied(outcome=Rejected(reason=reason, detail=detail)):
            return Refusal(reason, detail)
        case Applied():
            return None
        case NotProposed(detail=detail):
            return Refusal(RefusalReason.NO_LEADER, detail, retry_after_seconds=1.0)
        case InDoubt(detail=detail):
            return Refusal(
                RefusalReason.UNKNOWN_OUTCOME,
                f"{detail}; send the same request again to learn the outcome",
                Verdict.MAY_HAVE_RUN,
            )


def _applied(result: ProposalResult) -> Applied:
    assert isinstance(result, Applied)
    return result
