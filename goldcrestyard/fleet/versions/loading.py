"""The leader brings new weight versions to the engines."""

import asyncio
from collections import Counter
from functools import partial

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import ModelName, ServiceName, TargetId, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.orders import (
    EngineControl,
    EngineReport,
    LoadOrder,
    OrderOutcome,
)
from goldcrestyard.fleet.versions.slices import VersionsSlice
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.version_loads import (
    Load,
    LoadableEngine,
    next_loads,
    share_out,
)

logger = structlog.get_logger(__name__)

CHECK_SECONDS = 0.1
FEWEST_LOADS_AT_ONCE = 2
LOADING_SHARE = 0.25
"""Share of a service's engines that load at the same time: more slow each
other down, and leave fewer that take requests."""

FIRST_LOOK_SECONDS = 0.9
"""The shortest time in which an engine has been seen to load."""

LOOK_SECONDS = 0.25
GIVE_UP_SECONDS = 6.0
"""After this long without the version an order is sent again."""

RETRY_SECONDS = 0.5


class LoadingModels:
    """The models that engines are about to change."""

    def __init__(self) -> None:
        self._models_by_target: dict[TargetId, ModelName] = {}

    def of(self, target_id: TargetId) -> frozenset[ModelName]:
        """Return the models whose requests an engine turns away for now."""
        model = self._models_by_target.get(target_id)
        return frozenset() if model is None else frozenset({model})

    def begin(self, target_id: TargetId, model: ModelName) -> None:
        """Note that an engine begins to load."""
        self._models_by_target[target_id] = model

    def end(self, target_id: TargetId) -> None:
        """Note that an engine takes requests again."""
        self._models_by_target.pop(target_id, None)


class VersionLoader:
    """Orders loads, one task for each engine that loads."""

    def __init__(
        self,
        member: ControlMember,
        tracker: TargetTracker,
        control: EngineControl,
        loading: LoadingModels,
        quiet_seconds: float,
    ) -> None:
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._versions = member.machine.get(VersionsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._jobs = member.machine.get(JobsSlice)
        self._tracker = tracker
        self._control = control
        self._loading = loading
        self._quiet_seconds = quiet_seconds
        self._tasks_by_target: dict[TargetId, asyncio.Task[None]] = {}
        self._models_by_target: dict[TargetId, ModelName] = {}

    async def run(self) -> None:
        """Order loads for one time of leading."""
        await self._survey()
        # Orders of the holder before this one must not come in between.
        await asyncio.sleep(self._quiet_seconds)
        try:
            while True:
                self._order_due()
                await asyncio.sleep(CHECK_SECONDS)
        finally:
            for task in self._tasks_by_target.values():
                task.cancel()
            self._tasks_by_target.clear()

    async def _survey(self) -> None:
        """Ask the engines for their versions, rather than wait to be told."""
        unknown = [
            homed.target
            for homed in self._targets.homed_by_id.values()
            if homed.target.kind is TargetKind.ENGINE
            and not self._tracker.versions(homed.target)
        ]
        reports = await asyncio.gather(
            *(self._control.report(target) for target in unknown)
        )
        for target, report in zip(unknown, reports, strict=True):
            if report is not None:
                self._learn(target, report)

    def _order_due(self) -> None:
        engines = self._engines()
        for service in {ServiceName(e.serves[0]) for e in engines.values()}:
            of_service = {
                target_id: target
                for target_id, target in engines.items()
                if target.serves[0] == service
            }
            weights = self._weights(service)
            shared = share_out(of_service, weights, self._models_by_target)
            self._models_by_target.update(shared)
            loadable = [
                LoadableEngine(
                    target_id,
                    self._tracker.versions(target),
                    target_id in self._tasks_by_target,
                )
                for target_id, target in of_service.items()
            ]
            newest = self._versions.newest_by_model
            at_once = max(FEWEST_LOADS_AT_ONCE, int(len(loadable) * LOADING_SHARE))
            for load in next_loads(loadable, shared, newest, at_once):
                task = asyncio.create_task(
                    self._load(engines[load.target], load), name=f"load {load.target}"
                )
                self._tasks_by_target[load.target] = task
                task.add_done_callback(partial(self._ended, load.target))

    def _engines(self) -> dict[TargetId, Target]:
        return {
            homed.target.id: homed.target
            for homed in self._targets.homed_by_id.values()
            if homed.target.state is TargetState.READY
            and self._tracker.versions(homed.target)
        }

    def _weights(self, service: ServiceName) -> dict[ModelName, float]:
        """Return each model's share of the work that trainers submit."""
        table = self._serving.table
        served = table.services_by_name.get(service) if table is not None else None
        if served is None or served.engine is None:
            return {}
        items: Counter[ModelName] = Counter()
        for state in self._jobs.jobs_by_id.values():
            items[state.job.model] = max(items[state.job.model], state.size)
        mean = sum(items.values()) / len(items) if items else 1.0
        return {model: float(items.get(model, mean)) for model in served.engine.models}

    def _ended(self, target_id: TargetId, task: asyncio.Task[None]) -> None:
        self._tasks_by_target.pop(target_id, None)
        self._loading.end(target_id)
        if not task.cancelled() and task.exception() is not None:
            logger.error("load failed", target=target_id, exc_info=task.exception())

    async def _load(self, target: Target, load: Load) -> None:
        """Order one load and wait until the engine has the version."""
        report = await self._control.report(target)
        if report is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._learn(target, report)
        if self._has(target, load) or report.order_in_progress:
            await asyncio.sleep(LOOK_SECONDS)
            return
        if not self._member.holds_lease():
            return
        order = LoadOrder(
            load.model, load.version, self._member.term, report.accepted_orders
        )
        self._loading.begin(target.id, load.model)
        outcome = await self._control.load(target, order)
        logger.info(
            "load ordered",
            target=target.id,
            model=load.model,
            version=load.version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            outcome=outcome.value,
        )
        match outcome:
            case OrderOutcome.HOLDS:
                self._tracker.learn_version(target, load.model, load.version)
            case OrderOutcome.ACCEPTED:
                await self._wait_loaded(target, load)
            case OrderOutcome.UNKNOWN:
                # It may yet be carried out; a newer order would make it void.
                self._loading.end(target.id)
                await self._wait_loaded(target, load)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED:
                self._loading.end(target.id)
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait_loaded(self, target: Target, load: Load) -> None:
        try:
            async with asyncio.timeout(GIVE_UP_SECONDS):
                await asyncio.sleep(FIRST_LOOK_SECONDS)
                while not self._has(target, load):
                    report = await self._control.report(target)
                    if report is not None:
                        self._learn(target, report)
                    await asyncio.sleep(LOOK_SECONDS)
        except TimeoutError:
            logger.warning(
                "version did not come",
                target=target.id,
                model=load.model,
                version=load.version,
            )

    def _has(self, target: Target, load: Load) -> bool:
        versions = self._tracker.versions(target)
        return versions.get(load.model, WeightVersion(0)) >= load.version

    def _learn(self, target: Target, report: EngineReport) -> None:
        for model, version in report.versions_by_model.items():
            self._tracker.learn_version(target, model, version)
