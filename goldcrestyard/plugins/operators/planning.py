"""Planning and confirmation of configuration changes, independent of HTTP.

``ConfigurationPlanner`` turns a declaration into commands for the leader, and
waits until a committed change is in force: until no entry can act on an older
revision.
"""

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

IN_FORCE_TIMEOUT_SECONDS = 10.0
"""Default time to wait until a committed change is in force."""

LEADER_QUERY_TIMEOUT_SECONDS = 5.0
VIEW_CATCH_UP_TIMEOUT_SECONDS = 3.0
"""How long a plan is retried while this entry's view is behind the log."""

RETRY_INTERVAL_SECONDS = 0.2

MAX_DECLARATION_CHARACTERS = 1024 * 1024
"""Limit because plans are stored in the replicated log and held in memory on
control members."""


@dataclass(frozen=True, slots=True)
class Author:
    """The operator who sent a request, and the ids of the request."""

    name: str
    request_id: RequestId
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class InForce:
    """Status of a change: no entry can act on an older revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class NotYetInForce:
    """Status of a committed change that some entries may not have applied.

    ``entries`` is empty if the leader did not answer which they are.
    """

    revision: Revision
    entries: tuple[InstanceId, ...]
    detail: str


ChangeStatus = InForce | NotYetInForce


class ConfigurationPlanner:
    """Submits the operators' requests on this instance to the leader."""

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
        """Store the changes that a declaration makes as a plan."""
        if len(text) > MAX_DECLARATION_CHARACTERS:
            return Refusal(
                RefusalReason.BODY_TOO_LARGE,
                f"the declaration is longer than {MAX_DECLARATION_CHARACTERS} "
                "characters; split it by tables",
            )
        declaration = declarations.read(text, self._kinds)
        if isinstance(declaration, declarations.DeclarationFaults):
            return Refusal(RefusalReason.BAD_REQUEST, "\n".join(declaration.messages))
        digest = hashlib.sha256(text.encode()).hexdigest()
        deadline = self._clock.monotonic() + VIEW_CATCH_UP_TIMEOUT_SECONDS
        while True:
            seen = self._view.revision
            changes, warnings = declarations.compute_changes(
                declaration, self._kinds, self._view.machine
            )
            command = StorePlan(
                number, author.request_id, digest, seen, changes, warnings
            )
            outcome = await self.commit(command, author)
            match outcome:
                case Applied(outcome=PlanStored(plan=plan)):
                    return plan
                case Refusal(reason=RefusalReason.STALE_PLAN):
                    # This entry's view is behind the log; wait for it.
                    if self._clock.monotonic() >= deadline:
                        return outcome
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                case Refusal():
                    return outcome
                case _:
                    raise TypeError(f"unexpected outcome {outcome!r}")

    async def confirm(
        self, number: PlanNumber, digest: str, author: Author
    ) -> Confirmation | Refusal:
        """Apply a stored plan."""
        outcome = await self.commit(ConfirmPlan(number, digest), author)
        match outcome:
            case Applied(outcome=PlanConfirmed(confirmation=confirmation)):
                return confirmation
            case Refusal():
                return outcome
        raise TypeError(f"unexpected outcome {outcome!r}")

    async def commit(self, command: Command, author: Author) -> Applied | Refusal:
        """Commit a command; return a refusal if it is not applied."""
        result = await self._link.propose(command, author.name, author.correlation_id)
        return refusal_of(result) or _applied(result)

    async def find(self, number: PlanNumber) -> Plan | Refusal:
        """Return a plan from the leader."""
        reply = await self._link.request(
            PlanQuery(number), LEADER_QUERY_TIMEOUT_SECONDS
        )
        match reply:
            case PlanReply(plan=None):
                return Refusal(RefusalReason.NOT_FOUND, f"no plan {number}")
            case PlanReply(plan=Plan() as plan):
                return plan
            case _:
                return no_leader_refusal(reply)

    async def latest(self) -> tuple[PlanSummary, ...] | Refusal:
        """Return the latest plans without their changes."""
        reply = await self._link.request(PlansListQuery(), LEADER_QUERY_TIMEOUT_SECONDS)
        if isinstance(reply, PlansListReply):
            return reply.plans
        return no_leader_refusal(reply)

    async def wait_in_force(
        self, revision: Revision, seconds: float = IN_FORCE_TIMEOUT_SECONDS
    ) -> ChangeStatus:
        """Wait until no entry can act on an older revision.

        If the leader changes or does not answer, the request is repeated
        until ``seconds`` have passed.
        """
        deadline = self._clock.monotonic() + seconds
        detail = "did not wait for the change to be in force"
        while (left := deadline - self._clock.monotonic()) > 0:
            reply = await self._link.request(WaitInForce(revision, left), left + 1.0)
            match reply:
                case InForceReply(behind=()):
                    return InForce(revision)
                case InForceReply(behind=behind):
                    return NotYetInForce(
                        revision, behind, "entries have not applied the change"
                    )
                case _:
                    detail = no_leader_refusal(reply).detail
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return NotYetInForce(revision, (), detail)


def no_leader_refusal(reply: object) -> Refusal:
    """Return the refusal for a query that no leader answered."""
    detail = getattr(reply, "detail", "the control member asked is not the leader")
    return Refusal(RefusalReason.NO_LEADER, detail, retry_after_seconds=1.0)


def refusal_of(result: ProposalResult) -> Refusal | None:
    """Return the refusal for a proposal that was not applied, or None."""
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
