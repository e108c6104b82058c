"""Replicated state of plans and of the configuration's revision."""

from collections import deque
from collections.abc import Sequence
from dataclasses import replace

import msgspec

from goldcrestyard.core.ids import PlanNumber, RequestId, Revision
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel import registry
from goldcrestyard.plugins.operators.commands import (
    ConfirmPlan,
    PlanConfirmed,
    PlansSnapshot,
    PlanStored,
    StorePlan,
)
from goldcrestyard.policy import plans
from goldcrestyard.policy.plans import ConfigurationChange, Confirmation, Plan
from goldcrestyard.state.commands import (
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.slices import Slice

MAX_STORED_PLANS = 1024
"""Keeps about one day of plans at 3,700 changes a day in plans of a few
changes each; a plan that is not confirmed within hours is stale."""

MAX_RECENT_CHANGES = 256
"""Number of latest changes that the refusal of a stale plan can list."""


class PlansSlice(Slice):
    """Stores plans, and the latest changes of the configuration.

    ``configuration`` is the revision of the last change to any declared
    kind; a plan whose base is older is stale.
    """

    name = "plans"
    commands = (StorePlan, ConfirmPlan)

    def __init__(self, kinds: Sequence[DeclaredKind] | None = None) -> None:
        if kinds is None:
            kinds = registry.declared_kinds()
        self._kinds_by_table = {kind.table: kind for kind in kinds}
        self._subjects_by_command = registry.audited_commands()
        self._configuring_commands = {
            command_class for kind in kinds for command_class in kind.command_classes
        }
        self.plans_by_number: dict[PlanNumber, Plan] = {}
        self._numbers_by_request: dict[RequestId, PlanNumber] = {}
        self._highest_number = PlanNumber(0)
        self._highest_forgotten = PlanNumber(0)
        self.configuration = Revision(0)
        self._latest_changes: deque[ConfigurationChange] = deque(
            maxlen=MAX_RECENT_CHANGES
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case StorePlan():
                return self._store(command, context)
            case ConfirmPlan(number=number, digest=digest):
                return self._confirm(number, digest, context)
        raise TypeError(f"unexpected command {command!r}")

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Record each change of the configuration, also one without a plan."""
        if type(command) not in self._configuring_commands or isinstance(
            outcome, Rejected
        ):
            return
        describe = self._subjects_by_command.get(type(command))
        subject = describe(command) if describe else ""
        self.configuration = Revision(context.index)
        self._latest_changes.append(
            ConfigurationChange(
                self.configuration,
                context.envelope.author,
                f"{type(command).__name__} {subject}".rstrip(),
            )
        )

    def _store(self, command: StorePlan, context: CommandContext) -> Outcome:
        request = plans.PlanRequest(
            command.number,
            command.request_id,
            context.envelope.author,
            command.declaration_digest,
            command.seen,
        )
        resent = self._numbers_by_request.get(command.request_id)
        decision = plans.decide_storing(
            request,
            self.plans_by_number,
            None if resent is None else self.plans_by_number.get(resent),
            self._highest_number,
            self._highest_forgotten,
            self.configuration,
        )
        match decision:
            case Refusal(reason=reason, detail=detail):
                return Rejected(reason, detail)
            case plans.SamePlan(plan=plan):
                return PlanStored(plan)
            case plans.UseNumber(number=number):
                return PlanStored(self._add(number, command, context))

    def _add(
        self, number: PlanNumber, command: StorePlan, context: CommandContext
    ) -> Plan:
        plan = Plan(
            number,
            plans.digest_of(number, self.configuration, command.changes),
            self.configuration,
            context.envelope.author,
            command.request_id,
            command.declaration_digest,
            context.time,
            command.changes,
            command.warnings,
        )
        self.plans_by_number[number] = plan
        self._numbers_by_request[plan.request_id] = number
        self._highest_number = max(self._highest_number, number)
        if len(self.plans_by_number) > MAX_STORED_PLANS:
            oldest = next(iter(self.plans_by_number))
            forgotten = self.plans_by_number.pop(oldest)
            self._numbers_by_request.pop(forgotten.request_id, None)
            # A number is never reused: numbers up to that of a deleted plan
            # are refused, because it is no longer known which were used.
            self._highest_forgotten = max(self._highest_forgotten, oldest)
        return plan

    def _confirm(
        self, number: PlanNumber, digest: str, context: CommandContext
    ) -> Outcome:
        known = self.plans_by_number.get(number)
        base = known.base if known is not None else Revision(0)
        decision = plans.decide_confirming(
            number,
            known,
            digest,
            context.envelope.author,
            self.configuration,
            [change for change in self._latest_changes if change.revision > base],
        )
        match decision:
            case Refusal(reason=reason, detail=detail):
                return Rejected(reason, detail)
            case plans.AlreadyConfirmed(confirmation=confirmation):
                return PlanConfirmed(number, confirmation)
            case plans.ApplyPlan(plan=plan):
                return self._make_effective(plan, context)

    def _make_effective(self, plan: Plan, context: CommandContext) -> Outcome:
        commands = []
        for change in plan.changes:
            kind = self._kinds_by_table.get(change.table)
            if kind is None:
                return Rejected(
                    RefusalReason.CONFLICT,
                    f"this release has no table {change.table}; make a new plan",
                )
            if change.after is None:
                commands.append(kind.remove(change.name))
            else:
                commands.append(
                    kind.put(msgspec.convert(change.after, kind.record_class))
                )
        for command in commands:
            context.emit(command)
        # A plan without changes creates no revision that entries could apply.
        revision = Revision(context.index) if commands else plan.base
        confirmation = Confirmation(context.envelope.author, revision, context.time)
        self.plans_by_number[plan.number] = replace(plan, confirmation=confirmation)
        return PlanConfirmed(plan.number, confirmation)

    def to_snapshot(self) -> PlansSnapshot:
        """Return the snapshot of all plans and recent changes."""
        return PlansSnapshot(
            tuple(self.plans_by_number.values()),
            self._highest_number,
            self._highest_forgotten,
            self.configuration,
            tuple(self._latest_changes),
        )

    def load_snapshot(self, snapshot: PlansSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.plans_by_number = {plan.number: plan for plan in snapshot.plans}
        self._numbers_by_request = {
            plan.request_id: plan.number for plan in snapshot.plans
        }
        self._highest_number = snapshot.highest_number
        self._highest_forgotten = snapshot.highest_forgotten
        self.configuration = snapshot.configuration
        self._latest_changes = deque(snapshot.latest_changes, maxlen=MAX_RECENT_CHANGES)
