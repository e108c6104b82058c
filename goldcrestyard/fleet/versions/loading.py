"""Loading of new weight versions onto engines, by the leader.

Each engine is assigned one model and is ordered to load the newest version of
it.  One task per loading engine sends the order and polls the engine until it
has the version.
"""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import ModelName, ServiceName, TargetId, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.fleet.duties import permit_of
from goldcrestyard.fleet.jobs.shares import job_share
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
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.version_loads import (
    JobDemand,
    LoadableEngine,
    NewestVersion,
    VersionLoad,
    assign_models,
    next_loads,
)

logger = structlog.get_logger(__name__)

LOAD_CHECK_INTERVAL_SECONDS = 0.1
"""Pause in seconds between two checks for engines that need a load."""

MIN_CONCURRENT_LOADS = 2
"""Number of engines of a service that may load at the same time, even if
this exceeds ``MAX_LOADING_SHARE``."""

MAX_LOADING_SHARE = 0.25
"""Share of a service's engines that may load at the same time.  More would
slow each other down and leave fewer engines for requests."""

FIRST_POLL_SECONDS = 0.9
"""Delay in seconds of the first poll after an order; loads take at least about
this long."""

POLL_INTERVAL_SECONDS = 0.25
LOAD_TIMEOUT_SECONDS = 6.0
"""Time in seconds after an order until another one may be sent, if the engine
does not have the version by then."""

LOAD_RETRY_SECONDS = 0.5
"""Pause in seconds after an engine did not report its state or refused an
order."""


class LoadingModels:
    """The models that engines are loading, shared with the job runner."""

    def __init__(self) -> None:
        self._models_by_target: dict[TargetId, ModelName] = {}

    def models_on(self, target_id: TargetId) -> frozenset[ModelName]:
        """Return the models whose requests an engine currently refuses."""
        model = self._models_by_target.get(target_id)
        return frozenset() if model is None else frozenset({model})

    def begin(self, target_id: TargetId, model: ModelName) -> None:
        """Record that an engine starts to load a model."""
        self._models_by_target[target_id] = model

    def end(self, target_id: TargetId) -> None:
        """Record that an engine accepts requests for all its models again."""
        self._models_by_target.pop(target_id, None)


@dataclass(slots=True)
class _Step:
    """What the jobs of a model need."""

    oldest_version: WeightVersion = WeightVersion(0)
    items: int = 0


@dataclass(frozen=True, slots=True)
class _Attempt:
    """The first attempt at a load that is not completed."""

    incarnation: str
    load: VersionLoad
    began_at: float
    """Monotonic time in seconds."""


class VersionLoader:
    """Orders engines to load versions, in one task per loading engine."""

    def __init__(
        self,
        member: ControlMember,
        tracker: TargetTracker,
        control: EngineControl,
        loading: LoadingModels,
        work: JobWork,
        quiet_seconds: float,
        clock: Clock,
        is_excluded: Callable[[Target], bool] | None = None,
    ) -> None:
        """Create a loader.

        ``is_excluded`` tells whether a target gets no more requests, as it
        leaves or its data centre is evacuated; without it none does.
        """
        self._is_excluded = is_excluded
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._versions = member.machine.get(VersionsSlice)
        self._serving = member.machine.get(ServingSlice)
        self._jobs = member.machine.get(JobsSlice)
        self._tracker = tracker
        self._control = control
        self._loading = loading
        self._work = work
        self._quiet_seconds = quiet_seconds
        self._clock = clock
        self._newest_seen_by_model: dict[ModelName, tuple[WeightVersion, float]] = {}
        self._tasks_by_target: dict[TargetId, asyncio.Task[None]] = {}
        self._loads_by_target: dict[TargetId, VersionLoad] = {}
        self._attempts_by_target: dict[TargetId, _Attempt] = {}
        self._assigned_models: dict[TargetId, ModelName] = {}

    async def run(self) -> None:
        """Order loads during one term as leader, until cancelled."""
        await self._query_unknown_versions()
        # Late orders of the previous leader must not interleave with these.
        await asyncio.sleep(self._quiet_seconds)
        try:
            while True:
                self._order_loads()
                await asyncio.sleep(LOAD_CHECK_INTERVAL_SECONDS)
        finally:
            for task in self._tasks_by_target.values():
                task.cancel()
            self._tasks_by_target.clear()
            self._loads_by_target.clear()
            self._attempts_by_target.clear()

    async def _query_unknown_versions(self) -> None:
        """Poll engines for unknown versions before their next heartbeat.

        Each answer is used at once: an engine that does not answer must not
        keep the others from their items until its time-out.
        """
        without_versions = [
            homed.target
            for homed in self._targets.homed_by_id.values()
            if homed.target.kind is TargetKind.ENGINE
            and not self._tracker.versions(homed.target)
        ]

        async def query(target: Target) -> None:
            report = await self._control.report(target)
            if report is not None:
                self._record_versions(target, report)

        await asyncio.gather(*map(query, without_versions))

    def _order_loads(self) -> None:
        engines = self._ready_engines()
        for service in {ServiceName(e.serves[0]) for e in engines.values()}:
            steps = self._steps_by_model(service)
            engines_of_service = {
                target_id: target
                for target_id, target in engines.items()
                if target.serves[0] == service
            }
            demand_by_model = self._demand_by_model(service, steps)
            assigned_models = assign_models(
                engines_of_service, demand_by_model, self._assigned_models
            )
            self._assigned_models.update(assigned_models)
            loadable = [
                self._loadable(target) for target in engines_of_service.values()
            ]
            newest = self._newest_by_model(service, demand_by_model, steps)
            max_concurrent = max(
                MIN_CONCURRENT_LOADS, int(len(loadable) * MAX_LOADING_SHARE)
            )
            for load in next_loads(loadable, assigned_models, newest, max_concurrent):
                self._start_load(engines[load.target], load)
        for gone in self._attempts_by_target.keys() - engines.keys():
            del self._attempts_by_target[gone]

    def _loadable(self, target: Target) -> LoadableEngine:
        load = self._loads_by_target.get(target.id)
        attempt = self._open_attempt(target)
        return LoadableEngine(
            target.id,
            self._tracker.versions(target),
            None if load is None else load.model,
            max(1, target.max_concurrency),
            self._work.running(target.id),
            target.region,
            0.0 if attempt is None else self._clock.monotonic() - attempt.began_at,
        )

    def _open_attempt(self, target: Target) -> _Attempt | None:
        """Return the attempt that a target's run has not completed, if any."""
        attempt = self._attempts_by_target.get(target.id)
        if (
            attempt is None
            or attempt.incarnation != target.incarnation
            or self._has_version(target, attempt.load)
        ):
            self._attempts_by_target.pop(target.id, None)
            return None
        return attempt

    def _start_load(self, target: Target, load: VersionLoad) -> None:
        if self._open_attempt(target) is None:
            self._attempts_by_target[target.id] = _Attempt(
                target.incarnation, load, self._clock.monotonic()
            )
        self._loads_by_target[target.id] = load
        task = asyncio.create_task(
            self._load_version(target, load), name=f"load {target.id}"
        )
        self._tasks_by_target[target.id] = task
        task.add_done_callback(partial(self._on_task_done, target, load))

    def _ready_engines(self) -> dict[TargetId, Target]:
        return {
            homed.target.id: homed.target
            for homed in self._targets.homed_by_id.values()
            if homed.target.state is TargetState.READY
            and self._tracker.versions(homed.target)
            and not (self._is_excluded and self._is_excluded(homed.target))
        }

    def _newest_by_model(
        self,
        service: ServiceName,
        models: Iterable[ModelName],
        steps: Mapping[ModelName, _Step],
    ) -> dict[ModelName, NewestVersion]:
        now = self._clock.monotonic()
        newest: dict[ModelName, NewestVersion] = {}
        for model in models:
            version = self._versions.newest_by_model.get(model)
            if version is None:
                continue
            seen = self._newest_seen_by_model.get(model)
            if seen is None or seen[0] != version:
                seen = self._newest_seen_by_model[model] = (version, now)
            newest[model] = NewestVersion(
                version,
                now - seen[1],
                self._job_demand(service, model, version, steps.get(model)),
            )
        return newest

    def _job_demand(
        self,
        service: ServiceName,
        model: ModelName,
        newest: WeightVersion,
        step: _Step | None,
    ) -> JobDemand | None:
        """Return the use of a model by the jobs that are kept, if any."""
        if step is None:
            return None
        return JobDemand(
            step.oldest_version,
            step.items,
            self._work.waiting(service, model, newest),
            self._work.mean_seconds(model),
        )

    def _steps_by_model(self, service: ServiceName) -> dict[ModelName, _Step]:
        """Return the latest and largest of the steps of each trained model.

        Only the share of a step that a service gets counts.
        """
        steps: dict[ModelName, _Step] = {}
        for state in self._jobs.jobs_by_id.values():
            share = job_share(self._serving, state.job, service)
            if share == 0.0:
                continue
            step = steps.setdefault(state.job.model, _Step())
            step.oldest_version = max(step.oldest_version, state.job.oldest_version)
            step.items = max(step.items, math.ceil(state.size * share))
        return steps

    def _demand_by_model(
        self, service: ServiceName, steps: Mapping[ModelName, _Step]
    ) -> dict[ModelName, float]:
        """Return each model's demand, in items of the jobs of trainers.

        The demand is the size of a model's largest job, or the mean of these
        sizes for a model without a job.
        """
        table = self._serving.table
        service_config = (
            table.services_by_name.get(service) if table is not None else None
        )
        if service_config is None or service_config.engine is None:
            return {}
        mean = sum(s.items for s in steps.values()) / len(steps) if steps else 1.0
        return {
            model: float(steps[model].items) if model in steps else mean
            for model in service_config.engine.models
        }

    def _on_task_done(
        self, target: Target, load: VersionLoad, task: asyncio.Task[None]
    ) -> None:
        self._tasks_by_target.pop(target.id, None)
        self._loads_by_target.pop(target.id, None)
        self._loading.end(target.id)
        if self._has_version(target, load):
            self._attempts_by_target.pop(target.id, None)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "weight load task raised an exception",
                target=target.id,
                exc_info=task.exception(),
            )

    async def _load_version(self, target: Target, load: VersionLoad) -> None:
        """Order one load and wait until the engine has the version.

        Returns early if the engine is busy, refuses or does not answer; the
        next check then starts the load again.
        """
        report = await self._control.report(target)
        if report is None:
            await asyncio.sleep(LOAD_RETRY_SECONDS)
            return
        self._record_versions(target, report)
        if self._has_version(target, load) or report.order_in_progress:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            return
        if not self._member.holds_lease():
            return
        permit = permit_of(self._member)
        order = LoadOrder(
            load.model, load.version, permit.fence, report.accepted_orders
        )
        self._loading.begin(target.id, load.model)
        outcome = await self._control.load(target, order, permit)
        logger.info(
            "weight load ordered",
            target=target.id,
            model=load.model,
            version=load.version,
            fence=order.fence,
            expected_orders=order.expected_orders,
            reason=load.reason.value,
            outcome=outcome.value,
        )
        match outcome:
            case OrderOutcome.HOLDS:
                self._tracker.record_version(target, load.model, load.version)
            case OrderOutcome.ACCEPTED:
                await self._wait_until_loaded(target, load)
            case OrderOutcome.UNKNOWN:
                # The order may still be carried out; a newer one would
                # invalidate it, so wait before sending another.
                self._loading.end(target.id)
                await self._wait_until_loaded(target, load)
            case OrderOutcome.CONFLICT | OrderOutcome.REFUSED | OrderOutcome.NOT_SENT:
                self._loading.end(target.id)
                await asyncio.sleep(LOAD_RETRY_SECONDS)

    async def _wait_until_loaded(self, target: Target, load: VersionLoad) -> None:
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_SECONDS):
                await asyncio.sleep(FIRST_POLL_SECONDS)
                while not self._has_version(target, load):
                    report = await self._control.report(target)
                    if report is not None:
                        self._record_versions(target, report)
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            logger.warning(
                "weight version not loaded in time",
                target=target.id,
                model=load.model,
                version=load.version,
            )

    def _has_version(self, target: Target, load: VersionLoad) -> bool:
        versions = self._tracker.versions(target)
        return versions.get(load.model, WeightVersion(0)) >= load.version

    def _record_versions(self, target: Target, report: EngineReport) -> None:
        for model, version in report.versions_by_model.items():
            self._tracker.record_version(target, model, version)
