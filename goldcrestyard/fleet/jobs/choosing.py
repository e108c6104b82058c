"""Choice of the waiting items that start now, and of their engines."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import structlog

from goldcrestyard.core.ids import (
    Region,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.jobs import Job
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import EngineShape, ServingRoute
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.jobs.engine_notes import EngineNotes, run_of
from goldcrestyard.fleet.jobs.item_services import ItemServices
from goldcrestyard.fleet.jobs.ordering import JobOrdering
from goldcrestyard.fleet.jobs.pending import (
    PendingItem,
    find_route,
    group_of,
    is_other_software,
    prompt_tokens,
)
from goldcrestyard.fleet.jobs.slices import JobsSlice, JobState
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.loading import LoadingModels
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation, distance_seconds
from goldcrestyard.policy.engine_paces import MAX_MOVES_PER_ITEM
from goldcrestyard.policy.job_schedule import (
    EngineSlots,
    ItemKey,
    TextLoss,
    WaitingItem,
    assign,
    longest_first,
    text_loss,
)
from goldcrestyard.state.machine import StateMachine

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ChosenRun:
    """An item that starts now, and the engine that it starts at."""

    pending: PendingItem
    job: Job
    target: Target
    may_move: bool
    """Whether the item may move to another engine if this one is slow."""
    loss: TextLoss | None
    """Why its text cannot go on; None if it can, or if there is none."""
    expected_events: float


@dataclass(frozen=True, slots=True)
class Choice:
    """The result of one scheduling pass."""

    runs: list[ChosenRun]
    waiting: list[WaitingItem]
    """The items that no engine can start now."""


class ItemChooser:
    """Chooses the items that start now, and their engines."""

    def __init__(
        self,
        machine: StateMachine,
        tracker: TargetTracker,
        loading: LoadingModels,
        location: CallerLocation,
        clock: Clock,
        notes: EngineNotes,
        pending_by_key: Mapping[ItemKey, PendingItem],
        ordering: JobOrdering,
        services: ItemServices,
        max_jobs_bytes: int,
        permitted_runs: Callable[[Target], int | None] | None,
        is_excluded: Callable[[Target], bool] | None,
    ) -> None:
        """Create a chooser.

        No item starts while the jobs hold more than ``max_jobs_bytes``.
        ``permitted_runs`` returns how many runs a target's request limit
        allows to start now; without it no target has a limit.  ``is_excluded``
        tells whether a target gets no more requests, as it leaves or its data
        centre is evacuated; without it none does.
        """
        self._jobs = machine.get(JobsSlice)
        self._serving = machine.get(ServingSlice)
        self._targets = machine.get(TargetsSlice)
        self._tracker = tracker
        self._loading = loading
        self._location = location
        self._clock = clock
        self._notes = notes
        self._pending_by_key = pending_by_key
        self._ordering = ordering
        self._services = services
        self._max_jobs_bytes = max_jobs_bytes
        self._had_room = True
        self._permitted_runs = permitted_runs
        self._is_excluded = is_excluded

    def choose(self) -> Choice:
        """Return the runs that start now, and the items that go on waiting."""
        items = self._waiting_items()
        engines = self._available_engines() if items else []
        arranged = self._ordering.arrange(items, engines)
        waiting = {item.key: item for item in arranged}
        left_out = [item for item in items if item.key not in waiting]
        if waiting and not self._has_room_for_texts():
            engines = []
        losses = self._find_text_losses(waiting, engines)
        texts = {
            key: waiting[key]
            for key, loss in losses.items()
            if loss is not TextLoss.OTHER_SERVICE
        }
        for key in losses:
            waiting[key] = self._as_new_start(waiting[key])
        engines_by_id = {engine.id: engine for engine in engines}
        runs: list[ChosenRun] = []
        events_by_key = {key: item.remaining_events for key, item in waiting.items()}
        for key, target_id in assign(waiting.values(), engines):
            del waiting[key]
            if key in texts and engines_by_id[target_id].serves(texts[key]):
                del losses[key]
            pending = self._pending_by_key[key]
            target = self._targets.find(target_id)
            state = self._jobs.jobs_by_id.get(key.job)
            if target is not None and state is not None:
                may_move = pending.moves < MAX_MOVES_PER_ITEM and any(
                    engine.id != target.id
                    and engine.service in target.serves
                    and engine.software == target.software
                    for engine in engines
                )
                runs.append(
                    ChosenRun(
                        pending,
                        state.job,
                        target,
                        may_move,
                        losses.get(key),
                        events_by_key[key],
                    )
                )
        return Choice(runs, [*waiting.values(), *left_out])

    def _find_text_losses(
        self, waiting: dict[ItemKey, WaitingItem], engines: list[EngineSlots]
    ) -> dict[ItemKey, TextLoss]:
        """Return the items whose text no engine can go on with in time."""
        now = self._clock.monotonic()
        unheard = self._unheard_software()
        losses: dict[ItemKey, TextLoss] = {}
        for key, item in waiting.items():
            pending = self._pending_by_key[key]
            if self._is_of_other_service(pending):
                losses[key] = TextLoss.OTHER_SERVICE
                continue
            if is_other_software(self._targets, pending, pending.begun_at):
                losses[key] = TextLoss.ENGINE_RESTARTED
                continue
            waited = now - pending.text_ran_at
            loss = text_loss(item, engines, unheard.get(item.service, ()), waited)
            if loss is not None:
                losses[key] = loss
        return losses

    def _is_of_other_service(self, pending: PendingItem) -> bool:
        state = self._jobs.jobs_by_id.get(pending.key.job)
        if state is None or pending.transcript.required_software is None:
            return False
        route = find_route(self._serving, state.job, pending.item)
        return route is not None and self._services.must_start_again(pending, route)

    def _as_new_start(self, item: WaitingItem) -> WaitingItem:
        """Return a waiting item as it would be without its text."""
        request = self._pending_by_key[item.key].item
        job = self._jobs.jobs_by_id[item.key.job].job
        route = find_route(self._serving, job, request)
        return replace(
            item,
            service=(
                item.service
                if route is None
                else self._services.new_run_service(job, request, route)
            ),
            required_software=None,
            required_version=None,
            remaining_events=self._notes.lengths.remaining_events(
                item.model, request.estimated_tokens, 0
            ),
        )

    def _unheard_software(self) -> dict[ServiceName, set[SoftwareVersion]]:
        """Return the software of engines without known weights, by service."""
        unheard: dict[ServiceName, set[SoftwareVersion]] = {}
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            if self._takes_runs(target) and not self._tracker.versions(target):
                service = ServiceName(target.serves[0])
                unheard.setdefault(service, set()).add(target.software)
        return unheard

    def _takes_runs(self, target: Target) -> bool:
        return target.state is TargetState.READY and not (
            self._is_excluded is not None and self._is_excluded(target)
        )

    def _has_room_for_texts(self) -> bool:
        """Return whether the jobs leave room for the texts of further runs."""
        held = self._jobs.held_bytes(self._clock.wall())
        had_room, self._had_room = self._had_room, held <= self._max_jobs_bytes
        if had_room and not self._had_room:
            logger.warning(
                "no room for further texts; items wait",
                held_bytes=held,
                max_bytes=self._max_jobs_bytes,
            )
        return self._had_room

    def _waiting_items(self) -> list[WaitingItem]:
        now = self._clock.monotonic()
        waiting: list[WaitingItem] = []
        for state in self._jobs.open_jobs():
            of_job: list[WaitingItem] = []
            for item in state.job.items:
                pending = self._pending_by_key.get(ItemKey(state.job.id, item.id))
                if (
                    pending is None
                    or pending.task is not None
                    or now < pending.not_before
                ):
                    continue
                waiting_item = self._to_waiting_item(state, pending, now)
                if waiting_item is not None:
                    of_job.append(waiting_item)
            waiting += longest_first(of_job)
        return waiting

    def _to_waiting_item(
        self, state: JobState, pending: PendingItem, now: float
    ) -> WaitingItem | None:
        route = find_route(self._serving, state.job, pending.item)
        if route is None:
            return None
        needed_version: WeightVersion | None = None
        if route.single_version and pending.transcript.last_event is not None:
            needed_version = pending.transcript.current_version
        service = self._services.run_service(state.job, pending, route)
        return WaitingItem(
            pending.key,
            service,
            pending.item.model,
            state.job.oldest_version,
            pending.item.group,
            needed_version,
            pending.transcript.required_software,
            self._notes.lengths.remaining_events(
                pending.item.model,
                pending.item.estimated_tokens,
                len(pending.transcript.events),
            ),
            frozenset(
                target
                for target, until in pending.avoided_until_by_target.items()
                if now < until
            ),
            *self._tokens(pending, service),
            regions=self._allowed_regions(route, state.job),
        )

    def _allowed_regions(
        self, route: ServingRoute, job: Job
    ) -> frozenset[Region] | None:
        table = self._serving.table
        return None if table is None else table.allowed_regions(route, job.organisation)

    def _tokens(
        self, pending: PendingItem, service: ServiceName
    ) -> tuple[float, float]:
        """Return the expected tokens of an item's prompt and of its text.

        They are 0 if the memory of the service's engines is not known.
        """
        shape = self._shape(service)
        if shape is None or shape.memory_tokens <= 0:
            return 0.0, 0.0
        item = pending.item
        return prompt_tokens(item), self._notes.lengths.text_tokens(
            item.model,
            item.estimated_tokens,
            len(pending.transcript.events),
            shape.tokens_per_event,
        )

    def _shape(self, service: ServiceName) -> EngineShape | None:
        table = self._serving.table
        served = table.services_by_name.get(service) if table is not None else None
        return None if served is None else served.engine

    def _add_memory(self, engines: list[EngineSlots]) -> None:
        """Set the memory of engines for which it is known, and its use."""
        engines_by_id: dict[TargetId, EngineSlots] = {}
        for engine in engines:
            shape = self._shape(engine.service)
            if shape is not None and shape.memory_tokens > 0:
                engine.memory_tokens = shape.memory_tokens
                engines_by_id[engine.id] = engine
        if not engines_by_id:
            return
        for pending in self._pending_by_key.values():
            if pending.engine is None or pending.engine not in engines_by_id:
                continue
            engine = engines_by_id[pending.engine]
            prompt, text = self._tokens(pending, engine.service)
            group = group_of(pending.item)
            engine.tokens_in_use += text
            if group not in engine.running_groups:
                engine.tokens_in_use += prompt
                engine.running_groups.add(group)

    def _available_engines(self) -> list[EngineSlots]:
        engines: list[EngineSlots] = []
        now = self._clock.monotonic()
        self._notes.drop_old_refusals(now)
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            versions = self._tracker.versions(target)
            if not versions or not self._takes_runs(target):
                continue
            engines.append(
                EngineSlots(
                    target.id,
                    ServiceName(target.serves[0]),
                    target.max_concurrency,
                    self._notes.slots_in_use[target.id],
                    distance_seconds(self._location, target),
                    versions,
                    self._loading.models_on(target.id),
                    set(self._notes.groups(target.id)),
                    self._permitted_runs(target) if self._permitted_runs else None,
                    self._notes.paces.pace(target.id, now),
                    self._notes.faults.trust(run_of(target), now),
                    target.software,
                    self._notes.has_refused(target),
                    region=target.region,
                )
            )
        self._add_memory(engines)
        return engines
