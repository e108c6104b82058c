"""Count of groups of items by how they ended, for the metrics."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import GroupId, JobId
from goldcrestyard.core.jobs import ItemOutcome, JobItem
from goldcrestyard.fleet.jobs.pending import PendingItem, group_of
from goldcrestyard.fleet.observability.metrics import FleetMetrics


class GroupOutcome(Enum):
    """How a group ended."""

    IN_TIME = "in time"
    """Complete by the time at which its job is due, or its job has none."""
    LATE = "late"
    GIVEN_UP = "given up"
    """An item is errored, or the job ended before the group was complete."""


@dataclass(slots=True)
class _OpenGroup:
    missing: int
    started: bool = False
    failed: bool = False


class GroupCounts:
    """Follows the groups that this leader has seen open."""

    def __init__(self, metrics: FleetMetrics) -> None:
        """Create counts without groups."""
        self._metrics = metrics
        self._open_by_job: dict[JobId, dict[GroupId, _OpenGroup]] = {}

    def clear(self) -> None:
        """Forget all groups, since another member leads."""
        self._open_by_job.clear()

    def note_items(self, job: JobId, items: Iterable[JobItem]) -> None:
        """Record items that have been added."""
        groups = self._open_by_job.setdefault(job, {})
        for group, count in Counter(map(group_of, items)).items():
            groups.setdefault(group, _OpenGroup(0)).missing += count

    def note_start(self, pending: PendingItem, now: float) -> None:
        """Record that an item starts, perhaps the first one of its group."""
        group = self._find(pending)
        if group is None or group.started:
            return
        group.started = True
        if pending.due_at is not None:
            self._metrics.group_start_to_due_seconds.observe(pending.due_at - now)

    def note_listed(
        self, pending: PendingItem, outcome: ItemOutcome, now: float
    ) -> None:
        """Record a result, perhaps the last one of its group."""
        group = self._find(pending)
        if group is None:
            return
        group.missing -= 1
        group.failed = group.failed or outcome is ItemOutcome.ERRORED
        if group.missing > 0:
            return
        groups = self._open_by_job[pending.key.job]
        del groups[group_of(pending.item)]
        if not groups:
            del self._open_by_job[pending.key.job]
        if group.failed:
            self._count(GroupOutcome.GIVEN_UP)
        elif pending.due_at is None or now <= pending.due_at:
            self._count(GroupOutcome.IN_TIME)
        else:
            self._count(GroupOutcome.LATE)

    def note_job_ended(self, job: JobId) -> None:
        """Record that a job has ended, with its open groups."""
        for _ in self._open_by_job.pop(job, {}):
            self._count(GroupOutcome.GIVEN_UP)

    def _find(self, pending: PendingItem) -> _OpenGroup | None:
        groups = self._open_by_job.get(pending.key.job, {})
        return groups.get(group_of(pending.item))

    def _count(self, outcome: GroupOutcome) -> None:
        self._metrics.groups.labels(outcome.value).inc()
