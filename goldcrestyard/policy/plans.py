"""Plans: what a declaration changes, and when a plan may be confirmed."""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from goldcrestyard.core.ids import PlanNumber, RequestId, Revision
from goldcrestyard.core.refusals import Refusal, RefusalReason

MAX_PLAN_NUMBER = 10**9
"""Bound on a chosen number; the system goes on from the highest one used."""

SHOWN_CHANGES = 20
"""Number of changes that a refusal lists; the audit trail has the rest."""


class Verb(Enum):
    """What a plan does to one record."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """One record that a plan adds, changes or removes."""

    table: str
    verb: Verb
    name: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Who confirmed a plan, and the revision that made it effective."""

    author: str
    revision: Revision
    time: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A stored plan.  Only ``confirmation`` changes, once, from None."""

    number: PlanNumber
    digest: str
    base: Revision
    author: str
    request_id: RequestId
    declaration_digest: str
    time: float
    changes: tuple[PlannedChange, ...]
    warnings: tuple[str, ...]
    confirmation: Confirmation | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A change of the configuration that may make a plan stale."""

    revision: Revision
    author: str
    subject: str


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """A plan to be stored; no ``number`` leaves the choice to the system."""

    number: PlanNumber | None
    request_id: RequestId
    author: str
    declaration_digest: str
    seen: Revision
    """The revision of the state that the changes were computed from."""


@dataclass(frozen=True, slots=True)
class UseNumber:
    """Store the plan under a number."""

    number: PlanNumber


@dataclass(frozen=True, slots=True)
class SamePlan:
    """The request was sent before; the first answer stands."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """Apply the plan's changes now."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class AlreadyConfirmed:
    """The confirmation was sent before; the first answer stands."""

    confirmation: Confirmation


def difference(
    table: str,
    declared_by_name: Mapping[str, dict[str, Any]],
    current_by_name: Mapping[str, dict[str, Any]],
) -> list[PlannedChange]:
    """Return the changes from the current to the declared records."""
    changes = []
    for name in sorted(declared_by_name.keys() | current_by_name.keys()):
        before = current_by_name.get(name)
        after = declared_by_name.get(name)
        if before == after:
            continue
        if before is None:
            verb = Verb.ADD
        else:
            verb = Verb.REMOVE if after is None else Verb.CHANGE
        changes.append(PlannedChange(table, verb, name, before, after))
    return changes


def digest_of(
    number: PlanNumber, base: Revision, changes: Sequence[PlannedChange]
) -> str:
    """Return the digest that a confirmation must name."""
    content = msgspec.json.encode([number, base, changes], order="deterministic")
    return hashlib.sha256(content).hexdigest()


def decide_storing(
    request: PlanRequest,
    plans_by_number: Mapping[PlanNumber, Plan],
    resent: Plan | None,
    highest_number: PlanNumber,
    highest_forgotten: PlanNumber,
    configuration: Revision,
) -> UseNumber | SamePlan | Refusal:
    """Decide what a request to store a plan leads to.

    ``resent`` is the plan stored under the same request id, if any.  A plan
    is the same if author and declaration are: its changes may differ when
    it is resent after the state has moved on.
    """
    known = resent if request.number is None else plans_by_number.get(request.number)
    if known is not None:
        same = (known.author, known.declaration_digest) == (
            request.author,
            request.declaration_digest,
        )
        return SamePlan(known) if same else _number_taken(known)
    if request.number is not None:
        if not 1 <= request.number <= MAX_PLAN_NUMBER:
            return Refusal(
                RefusalReason.BAD_REQUEST,
                f"choose a plan number from 1 to {MAX_PLAN_NUMBER}",
            )
        if request.number <= highest_forgotten:
            return Refusal(
                RefusalReason.CONFLICT,
                f"plan numbers up to {highest_forgotten} are used up; "
                "choose a higher one",
            )
    if request.seen < configuration:
        return Refusal(
            RefusalReason.STALE_PLAN,
            f"the instance computed the plan from revision {request.seen}, but the "
            f"configuration is at {configuration}; ask again",
        )
    return UseNumber(request.number or PlanNumber(highest_number + 1))


def decide_confirming(
    number: PlanNumber,
    plan: Plan | None,
    digest: str,
    author: str,
    configuration: Revision,
    changes_since: Sequence[ConfigurationChange],
) -> ApplyPlan | AlreadyConfirmed | Refusal:
    """Decide what a confirmation leads to."""
    if plan is None:
        return Refusal(
            RefusalReason.NOT_FOUND, f"no plan {number}; see 'goldcrest plans list'"
        )
    if digest != plan.digest:
        return Refusal(
            RefusalReason.CONFLICT,
            f"plan {number} has the digest {plan.digest}; look at it with "
            f"'goldcrest plans show {number}' and confirm that digest",
        )
    if plan.confirmation is not None:
        if plan.confirmation.author == author:
            return AlreadyConfirmed(plan.confirmation)
        return Refusal(
            RefusalReason.CONFLICT,
            f"plan {number} was already confirmed by {plan.confirmation.author} "
            f"at revision {plan.confirmation.revision}",
        )
    if configuration > plan.base:
        return Refusal(
            RefusalReason.STALE_PLAN,
            f"the configuration has moved on from revision {plan.base} to "
            f"{configuration}; make a new plan. Changed since: "
            + _listed(changes_since),
        )
    return ApplyPlan(plan)


def _number_taken(known: Plan) -> Refusal:
    return Refusal(
        RefusalReason.CONFLICT,
        f"number {known.number} belongs to a different plan, made by "
        f"{known.author} at revision {known.base}; choose another number",
    )


def _listed(changes: Sequence[ConfigurationChange]) -> str:
    latest = changes[-SHOWN_CHANGES:]
    listed = "; ".join(
        f"{change.subject} by {change.author} at revision {change.revision}"
        for change in latest
    )
    omitted = len(changes) - len(latest)
    return f"{omitted} earlier changes; {listed}" if omitted else listed
