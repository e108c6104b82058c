"""Configuration plans.

A plan lists the changes that lead from the current configuration to one that
an operator declared.  It is stored under a number and takes effect when an
operator confirms its digest, provided that the configuration is unchanged.
"""

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from goldcrestyard.core.ids import PlanNumber, RequestId, Revision
from goldcrestyard.core.refusals import Refusal, RefusalReason

MAX_PLAN_NUMBER = 10**9
"""Largest plan number that an operator may choose, since automatic numbers
continue from the highest one used."""

MAX_LISTED_CHANGES = 20
"""Maximum number of changes that a refusal lists; the audit trail holds all of
them."""


class Verb(Enum):
    """The kind of change that a plan makes to a record."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A record that a plan adds, changes or removes."""

    table: str
    verb: Verb
    name: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Confirmation:
    """The author of a confirmation, and the revision that it led to."""

    author: str
    revision: Revision
    time: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A stored plan.

    ``base`` is the revision of the configuration that it was made from.  Only
    ``confirmation`` ever changes, once, from None.
    """

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
    """A change of the configuration, which makes earlier plans stale."""

    revision: Revision
    author: str
    subject: str


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """A request to store a plan; without ``number`` it gets the next one."""

    number: PlanNumber | None
    request_id: RequestId
    author: str
    declaration_digest: str
    seen: Revision
    """Revision of the state from which the changes were computed."""


@dataclass(frozen=True, slots=True)
class UseNumber:
    """Store the plan under this number."""

    number: PlanNumber


@dataclass(frozen=True, slots=True)
class SamePlan:
    """The request was sent before; return the plan that it stored."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """Apply the plan's changes now."""

    plan: Plan


@dataclass(frozen=True, slots=True)
class AlreadyConfirmed:
    """The plan was confirmed before by the same author; return that result."""

    confirmation: Confirmation


def difference(
    table: str,
    declared_by_name: Mapping[str, dict[str, Any]],
    current_by_name: Mapping[str, dict[str, Any]],
) -> list[PlannedChange]:
    """Return the changes from a table's current to its declared records."""
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
    """Return the digest of a plan, which a confirmation must name."""
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
    """Decide on a request to store a plan.

    ``resent`` is the plan that was stored under the same request id, if any.
    A stored plan is the requested one if it has the same author and
    declaration.  Its changes may differ, since the state may have changed
    before the request was sent again.
    ``highest_forgotten`` is the highest number of a deleted plan, and
    ``configuration`` the revision of the configuration.
    """
    known = resent if request.number is None else plans_by_number.get(request.number)
    if known is not None:
        same = (known.author, known.declaration_digest) == (
            request.author,
            request.declaration_digest,
        )
        return SamePlan(known) if same else _number_conflict(known)
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
    """Decide on the confirmation of a plan."""
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
            + _list_changes(changes_since),
        )
    return ApplyPlan(plan)


def _number_conflict(known: Plan) -> Refusal:
    return Refusal(
        RefusalReason.CONFLICT,
        f"number {known.number} belongs to a different plan, made by "
        f"{known.author} at revision {known.base}; choose another number",
    )


def _list_changes(changes: Sequence[ConfigurationChange]) -> str:
    latest = changes[-MAX_LISTED_CHANGES:]
    listed = "; ".join(
        f"{change.subject} by {change.author} at revision {change.revision}"
        for change in latest
    )
    omitted = len(changes) - len(latest)
    return f"{omitted} earlier changes; {listed}" if omitted else listed
