"""Items whose results the leader has not committed yet."""

import asyncio
from dataclasses import dataclass, field

from goldcrestyard.core.ids import GroupId, OrganisationId, TargetId
from goldcrestyard.core.jobs import Job, JobItem
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.jobs.slot_queue import Rank
from goldcrestyard.fleet.jobs.transcripts import Transcript
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.job_schedule import ItemKey, may_continue


@dataclass(frozen=True, slots=True)
class Charge:
    """Expected events of a run, charged to an organisation and a kind."""

    organisation: OrganisationId
    urgency: int
    events: float


@dataclass(slots=True)
class PendingItem:
    """The state of an item whose result this leader has not committed yet.

    An item may need several runs, at different engines, until it is complete.
    """

    key: ItemKey
    item: JobItem
    expires_at: float
    """Monotonic time in seconds from which the item counts as errored."""
    rank: Rank
    """Rank of its reward call: the job's submission time, then the position of
    the item's group in the job.  A group counts only when complete, so groups
    are scored one after another."""
    transcript: Transcript = field(default_factory=Transcript)
    failures: int = 0
    """Number of runs answered with an error status, limited by the route's
    ``max_attempts``."""
    interruptions: int = 0
    """Number of runs that were refused, unreached or interrupted."""
    moves: int = 0
    """Number of runs abandoned because the engine was slow."""
    text_ran_at: float = 0.0
    """Monotonic time at which the last run that added to the text ended, or at
    which this leader took the item over."""
    begun_at: Target | None = None
    """The target that began the text; None if another leader saw it begin."""
    not_before: float = 0.0
    """Monotonic time of the earliest next run."""
    avoided_until_by_target: dict[TargetId, float] = field(default_factory=dict)
    due_at: float | None = None
    """Monotonic time in seconds by which the job is due; None if it is not."""
    waits_since: float = 0.0
    """Monotonic time since which it has had no engine."""
    engine: TargetId | None = None
    """The engine that it runs at, or is about to; None if there is none."""
    charge: Charge | None = None
    """What its present run was charged."""
    task: asyncio.Task[None] | None = None
    """The task that runs, scores or lists the item; None while it waits."""


PROMPT_BYTES_PER_TOKEN = 4
"""Assumed number of bytes of a request's body for each token of its prompt, if
the request does not state their number."""


def group_of(item: JobItem) -> GroupId:
    """Return the group of an item; an item without one is a group itself."""
    return item.group or GroupId(item.id)


def prompt_tokens(item: JobItem) -> float:
    """Return the number of tokens of an item's prompt, stated or assumed."""
    return item.prompt_tokens or len(item.body) / PROMPT_BYTES_PER_TOKEN


def find_route(serving: ServingSlice, job: Job, item: JobItem) -> ServingRoute | None:
    """Return the route of an item; None if no configuration names it."""
    table = serving.table
    return table.route(job.host, item.path) if table is not None else None


def must_restart(serving: ServingSlice, pending: PendingItem, job: Job) -> bool:
    """Return whether an item mixes versions on a single-version route."""
    route = find_route(serving, job, pending.item)
    single = route is not None and route.single_version
    return single and len(pending.transcript.versions) > 1


def is_other_software(
    targets: TargetsSlice, pending: PendingItem, target: Target | None
) -> bool:
    """Return whether the target has started again with other software.

    Its record may be older than the process at its address, so a run that
    was sent to one run of the target may have reached the next.
    """
    if target is None:
        return False
    present = targets.find(target.id)
    required = pending.transcript.required_software
    return (
        present is not None
        and present.incarnation != target.incarnation
        and required is not None
        and not may_continue(required, present.software)
    )
