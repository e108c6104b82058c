"""Tests of items and reward calls on routes with several services."""

import asyncio
import unittest
from collections import Counter
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    ConfigVersion,
    GroupId,
    JobId,
    ServiceName,
    WeightVersion,
)
from goldcrestyard.core.serving import WeightedService
from goldcrestyard.core.states import TargetKind
from goldcrestyard.fleet.jobs.commands import SubmitJob
from goldcrestyard.fleet.jobs.shares import job_share
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from tests.fakes.announcements import announce
from tests.fakes.member import apply, machine_of
from tests.fakes.serving import CONFIG, MODEL
from tests.fakes.targets import Streams, target
from tests.fleet.test_runner import SCORED, RunnerTestCase, scored_job

OLD_ENGINES, NEW_ENGINES = ("e0", "e1"), ("n0", "n1")
OLD, NEW = "old", "new"


@dataclass(frozen=True)
class Case:
    """Weights of the two services, and the items that each of them runs."""

    name: str
    weights: tuple[float, float]
    old: int
    new: int
    items: int = 16
    old_engines: bool = True
    new_engines: bool = True


CASES = [
    Case("all_to_the_old", (100.0, 0.0), 16, 0),
    Case("all_to_the_new", (0.0, 100.0), 0, 16),
    Case("halves", (1.0, 1.0), 8, 8),
    Case("a_quarter", (3.0, 1.0), 12, 4),
    Case("a_tenth_of_twenty", (90.0, 10.0), 18, 2, items=20),
    Case("new_service_without_engines", (1.0, 1.0), 16, 0, new_engines=False),
    Case("old_service_without_engines", (1.0, 1.0), 0, 16, old_engines=False),
    Case("weight_0_beside_no_engine", (0.0, 100.0), 0, 0, new_engines=False),
]


class ItemSplitTests(RunnerTestCase):
    """Guards against items that the weights of their route do not reach.

    All items and reward calls went to the first service of a split, also with
    a weight of 0.
    """

    def _configure(self, version: int, old: float, new: float) -> None:
        """Divide the items and the reward calls between two services each."""
        routes = []
        for route in CONFIG.routes:
            name = route.services[0].name
            services = (
                WeightedService(name, old),
                WeightedService(ServiceName(f"{name}-new"), new),
            )
            is_split = route.prefix in ("/jobs/", "/score/")
            routes.append(replace(route, services=services) if is_split else route)
        services = tuple(
            replace(service, name=ServiceName(f"{service.name}{suffix}"))
            for service in CONFIG.services
            for suffix in ("", "-new")
        )
        config = replace(
            CONFIG,
            version=ConfigVersion(version),
            routes=tuple(routes),
            services=services,
        )
        apply(self.machine, PutServing(config, b""))

    def _start_services(
        self, *, old: bool = True, new: bool = True, events: int = 3
    ) -> None:
        """Start both services' engines, where wanted, and a scorer of each."""
        self.running = self._start((Streams(events),), engine_count=2 if old else 0)
        targets = self.machine.get(TargetsSlice)
        announce(targets, target("scorer-new", "quotes-new"))
        self.client.behaviours_by_target["scorer-new"] = list(SCORED)
        for name in NEW_ENGINES if new else ():
            engine = target(name, "engines-new", TargetKind.ENGINE)
            announce(targets, engine)
            self.tracker.record_version(engine, MODEL, WeightVersion(1))
            self.client.behaviours_by_target[name] = [Streams(events)]

    def _submit(self, items: int, group_size: int = 4) -> None:
        plain = scored_job("/jobs/", items=items)
        grouped = tuple(
            replace(item, group=GroupId(f"g{number // group_size}"))
            for number, item in enumerate(plain.items)
        )
        submit = SubmitJob(replace(plain, items=grouped))
        apply(self.machine, submit, time=self.clock().wall())

    def _runs(self) -> dict[str, int]:
        return dict(
            Counter(
                NEW if name in NEW_ENGINES else OLD
                for name, _ in self.client.calls
                if not name.startswith("scorer")
            )
        )

    def _scored(self) -> dict[str, int]:
        names = [name for name, _ in self.client.calls if name.startswith("scorer")]
        return dict(Counter(NEW if name == "scorer-new" else OLD for name in names))

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_shares_of_a_job(self, _: str, case: Case) -> None:
        self._configure(2, *case.weights)
        self._start_services(old=case.old_engines, new=case.new_engines)
        self._submit(case.items)
        if case.old + case.new:
            await self._wait_listed(case.items)
        else:
            await asyncio.sleep(10.0)
        expected = {OLD: case.old, NEW: case.new}
        self.assertEqual(self._runs(), {k: n for k, n in expected.items() if n})
        if case.old_engines and case.new_engines:
            self.assertEqual(self._scored(), {k: n for k, n in expected.items() if n})

    async def test_few_groups_are_divided(self) -> None:
        """Guards against prompts that both services read."""
        self._configure(2, 1.0, 1.0)
        self._start_services()
        self._submit(24)
        await self._wait_listed(24)
        items = self.jobs.jobs_by_id[JobId("job")].items_by_id
        services_by_group: dict[str, set[str]] = {}
        for name, call in self.client.calls:
            item = items.get(call.request)  # type: ignore[call-overload]
            if item is not None:
                service = NEW if name in NEW_ENGINES else OLD
                services_by_group.setdefault(item.group, set()).add(service)
        divided = [each for each in services_by_group.values() if len(each) > 1]
        self.assertLessEqual(len(divided), 2)

    @parameterized.expand(
        [
            ("weight_left", (1.0, 99.0), {OLD: 2}, 2),
            ("weight_taken_away", (0.0, 100.0), {OLD: 1, NEW: 1}, None),
        ]
    )
    async def test_begun_text_after_a_change(
        self,
        _: str,
        weights: tuple[float, float],
        runs: dict[str, int],
        resumed_after: int | None,
    ) -> None:
        """Guards against a text of two services, and a run at weight 0."""
        self._configure(2, 100.0, 0.0)
        self._start_services()
        broken = [Streams(3, breaks_after=2), Streams(3)]
        for name in OLD_ENGINES:
            self.client.behaviours_by_target[name] = broken
        self._submit(1)
        while not self.client.calls:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        self._configure(3, *weights)
        await self._wait_listed()
        self.assertEqual(self._runs(), runs)
        last = [call for name, call in self.client.calls if "scorer" not in name][-1]
        self.assertEqual(last.resume_after, resumed_after)
        (result,) = self.jobs.jobs_by_id[JobId("job")].results
        self.assertEqual(result.text, b"1\n2\n3")

    async def test_what_has_not_begun_follows_a_change(self) -> None:
        """Guards against waiting items that stay with their first service."""
        self._configure(2, 100.0, 0.0)
        self._start_services(old=False)
        self._submit(4)
        await asyncio.sleep(1.0)
        self.assertEqual(self._runs(), {})
        self._configure(3, 0.0, 100.0)
        await self._wait_listed(4)
        self.assertEqual(self._runs(), {NEW: 4})

    async def test_new_leader_keeps_the_service_of_a_text(self) -> None:
        """Guards against a service that only the former leader knows."""
        self._configure(2, 1.0, 1.0)
        for number in (0, 1):
            self._start_services(events=40)
            if number == 0:
                self._submit(1)
                await asyncio.sleep(1.0)
                first = self._runs()
                await self._stop(self.running)
        await self._wait_listed()
        self.assertEqual(self._runs(), first)
        self.assertIsNotNone(self.client.calls[0][1].resume_after)


class JobShareTests(unittest.TestCase):
    """Guards against engines that load and are rented for nobody's items."""

    @parameterized.expand(
        [
            ("named", "/jobs/x", "engines", 0.25),
            ("weight_0", "/jobs/x", "engines-old", 0.0),
            ("only_service", "/single/x", "engines", 1.0),
            ("serves_callers", "/jobs/x", "quotes", 1.0),
            ("no_route", "/none/x", "engines", 1.0),
        ]
    )
    def test_share(self, _: str, path: str, service: str, expected: float) -> None:
        weights = (("engines-old", 0.0), ("engines", 25.0), ("engines-new", 75.0))
        services = tuple(WeightedService(ServiceName(n), w) for n, w in weights)
        routes = tuple(
            replace(route, services=services) if route.prefix == "/jobs/" else route
            for route in CONFIG.routes
        )
        machine = machine_of(ServingSlice)
        apply(machine, PutServing(replace(CONFIG, routes=routes), b""))
        submitted = replace(scored_job("/jobs/"), path=path)
        share = job_share(machine.get(ServingSlice), submitted, ServiceName(service))
        self.assertEqual(share, expected)
