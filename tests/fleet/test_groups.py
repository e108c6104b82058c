"""Tests of the counts of groups by how they ended."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized
from prometheus_client import CollectorRegistry

from goldcrestyard.core.ids import GroupId, JobId, ModelName
from goldcrestyard.core.jobs import ItemOutcome, JobItem
from goldcrestyard.fleet.jobs.groups import GroupCounts, GroupOutcome
from goldcrestyard.fleet.jobs.pending import PendingItem
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.policy.job_schedule import ItemKey
from tests.fakes.serving import item_id

JOB = JobId("job")
COMPLETE, ERRORED = ItemOutcome.COMPLETE, ItemOutcome.ERRORED


def pending(number: int, group: str, due_at: float | None) -> PendingItem:
    item = JobItem(item_id(number), "/", (), b"", ModelName("m"), GroupId(group))
    return PendingItem(
        ItemKey(JOB, item.id), item, expires_at=20.0, rank=(0.0, 0), due_at=due_at
    )


@dataclass(frozen=True)
class Case:
    """Results of two items with their times, and the counted outcomes."""

    name: str
    results: tuple[tuple[ItemOutcome, float], ...]
    expected: dict[str, int]
    due_at: float | None = 10.0
    group: str = "g"


CASES = [
    Case("in_time", ((COMPLETE, 5.0), (COMPLETE, 10.0)), {"in time": 1}),
    Case("late", ((COMPLETE, 5.0), (COMPLETE, 10.1)), {"late": 1}),
    Case("errored", ((ERRORED, 5.0), (COMPLETE, 6.0)), {"given up": 1}),
    Case("never_due", ((COMPLETE, 5.0), (COMPLETE, 99.0)), {"in time": 1}, None),
    Case("open_at_the_end", ((COMPLETE, 5.0),), {"given up": 1}),
    Case(
        "no_group",
        ((COMPLETE, 5.0), (COMPLETE, 11.0)),
        {"in time": 1, "late": 1},
        group="",
    ),
]


class GroupCountsTests(unittest.TestCase):
    """Guards against groups that are counted twice, or before they end."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_groups(self, _: str, case: Case) -> None:
        metrics = FleetMetrics(CollectorRegistry())
        counts = GroupCounts(metrics)
        items = [pending(number, case.group, case.due_at) for number in range(2)]
        counts.note_items(JOB, [entry.item for entry in items])
        for entry, (outcome, at) in zip(items, case.results, strict=False):
            counts.note_start(entry, 1.0)
            counts.note_listed(entry, outcome, at)
        counts.note_job_ended(JOB)
        found = {
            outcome.value: metrics.registry.get_sample_value(
                "goldcrest_fleet_groups_ended_total", {"outcome": outcome.value}
            )
            for outcome in GroupOutcome
        }
        self.assertEqual({key: n for key, n in found.items() if n}, case.expected)
