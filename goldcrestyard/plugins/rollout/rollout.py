"""Brings the published weights of each model line to its engines.

Runs on the leader only.  What each engine serves is not recorded: a new
leader asks the engines, and the ids of its orders are those of the leader
before, so that nothing is ordered twice.
"""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import InDoubt
from goldcrestyard.core.ids import ModelName, OrderId, TargetId, WeightVersion
from goldcrestyard.core.records import PublishedWeights, Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.orders.commands import Order, SettleOrders
from goldcrestyard.plugins.orders.placing import OrderOutbox, is_placed
from goldcrestyard.plugins.rollout.engines import Engines, to_order
from goldcrestyard.plugins.rollout.publications import Publications
from goldcrestyard.plugins.rollout.settings import RolloutSettings
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    RemoveTarget,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy import rollouts as policy
from goldcrestyard.policy.orders import OrderState
from goldcrestyard.policy.retries import RetryBudget
from goldcrestyard.policy.rollouts import (
    Activate,
    EngineProgress,
    EngineState,
    RetryLater,
    Stage,
    UpToDate,
    VersionsReported,
    VersionsUnknown,
)
from goldcrestyard.state.commands import AppliedEntry

logger = structlog.get_logger(__name__)

POLL_SECONDS = 0.25
ORDERS_IN_A_COMMAND = 256

ORDERING = {Stage: EngineState.STAGING, Activate: EngineState.ACTIVATING}


class ModelRollout:
    """One version of one model line on its way to the engines."""

    def __init__(
        self,
        weights: PublishedWeights,
        member: ControlMember,
        outbox: OrderOutbox,
        engines: Engines,
        clock: Clock,
        settings: RolloutSettings,
    ) -> None:
        self.weights = weights
        self.progress_by_target: dict[TargetId, EngineProgress] = {}
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._outbox = outbox
        self._engines = engines
        self._clock = clock
        self._settings = settings
        self._budget = RetryBudget(share=0.1, reserve=50.0)
        self._targets_changed = asyncio.Event()
        self._orders_changed = asyncio.Event()
        self._next_due_at = 0.0

    def on_applied(self, entry: AppliedEntry) -> None:
        """Wake up if an engine is new or gone, or an order is settled."""
        match entry.envelope.command:
            case AnnounceTarget() | DrainTarget() | RemoveTarget():
                self._targets_changed.set()
            case SettleOrders():
                self._orders_changed.set()

    async def run(self) -> None:
        """Bring every engine of the line to the version, and keep it there."""
        while True:
            self._targets_changed.clear()
            due = self._due()
            if due:
                await self._round(due)
            remaining = self._next_due_at - self._clock.monotonic()
            await wait_at_most(
                max(POLL_SECONDS, remaining), self._targets_changed.wait()
            )

    def _due(self) -> list[Target]:
        """Return the engines that have to be asked now."""
        now = self._clock.monotonic()
        engines = {
            target.id: target
            for target in self._targets.serving(self.weights.model)
            if target.kind is TargetKind.ENGINE
        }
        for gone in self.progress_by_target.keys() - engines.keys():
            del self.progress_by_target[gone]
        due = []
        self._next_due_at = now + policy.RECHECK_SECONDS
        for target in engines.values():
            progress = self._progress(target)
            if progress.due_at <= now:
                due.append(target)
            else:
                self._next_due_at = min(self._next_due_at, progress.due_at)
        return due

    def _progress(self, target: Target) -> EngineProgress:
        """Return what is known of the present run of an engine."""
        known = self.progress_by_target.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            known = EngineProgress(target.incarnation)
            self.progress_by_target[target.id] = known
        return known

    async def _round(self, due: Sequence[Target]) -> None:
        """Stage on all engines that need it, then activate on all."""
        answers = await self._ask(due)
        await self._order_and_ask(Stage(), due, answers)
        await self._order_and_ask(Activate(), due, answers)
        for target in due:
            match policy.next_rollout_step(answers[target.id], self.weights.version):
                case UpToDate():
                    self._note_serving(target)
                case _:
                    self._note_behind(target, answers[target.id])
        self._next_due_at = 0.0
        logger.info(
            "engines were brought to a version",
            model=self.weights.model,
            version=self.weights.version,
            asked=len(due),
            engines=policy.count_by_state(self.progress_by_target),
        )

    async def _ask(
        self, targets: Sequence[Target]
    ) -> dict[TargetId, VersionsReported | VersionsUnknown]:
        answers = await asyncio.gather(*(self._engines.ask(t) for t in targets))
        return {
            target.id: answer for target, answer in zip(targets, answers, strict=True)
        }

    async def _order_and_ask(
        self,
        step: Stage | Activate,
        due: Sequence[Target],
        answers: dict[TargetId, VersionsReported | VersionsUnknown],
    ) -> None:
        """Order a step where it is needed, and ask what came of it."""
        version = self.weights.version
        needing = [
            target
            for target in due
            if isinstance(
                policy.next_rollout_step(answers[target.id], version), type(step)
            )
        ]
        if not needing:
            return
        orders_by_target = {}
        for target in needing:
            self._note(target, ORDERING[type(step)])
            self._budget.deposit()
            progress = self._progress(target)
            order = to_order(step, target, self.weights, progress.attempt)
            self.progress_by_target[target.id] = replace(progress, order=order.id)
            orders_by_target[target.id] = order
        match step:
            case Stage():
                patience = self._settings.stage_patience_seconds
            case Activate():
                patience = self._settings.activate_patience_seconds
        await self._place(list(orders_by_target.values()))
        outcomes = await self._wait_settled(
            [order.id for order in orders_by_target.values()], patience
        )
        answers.update(await self._ask(needing))
        for target in needing:
            order = orders_by_target[target.id]
            detail = policy.describe_lag(
                order.kind, outcomes[order.id], answers[target.id]
            )
            self._note(target, self._progress(target).state, detail)

    async def _place(self, orders: Sequence[Order]) -> None:
        for first in range(0, len(orders), ORDERS_IN_A_COMMAND):
            command = orders[first : first + ORDERS_IN_A_COMMAND]
            result = await self._outbox.place(*command)
            if isinstance(result, InDoubt):
                # The ids make the repetition harmless.
                result = await self._outbox.place(*command)
            if not is_placed(result):
                logger.warning("orders for weights were not placed", result=str(result))

    async def _wait_settled(
        self, order_ids: Sequence[OrderId], patience: float
    ) -> dict[OrderId, str]:
        """Wait for the outcomes; return each as a text."""
        deadline = self._clock.monotonic() + patience
        waiting = set(order_ids)
        few = policy.straggler_count(len(waiting))
        straggling = False
        while waiting:
            self._orders_changed.clear()
            waiting = {order_id for order_id in waiting if self._is_open(order_id)}
            if not straggling and len(waiting) <= few:
                straggling = True
                grace = self._settings.straggler_seconds
                deadline = min(deadline, self._clock.monotonic() + grace)
            remaining = deadline - self._clock.monotonic()
            if not waiting or remaining <= 0:
                break
            await wait_at_most(
                min(remaining, POLL_SECONDS), self._orders_changed.wait()
            )
        return {order_id: self._outcome(order_id) for order_id in order_ids}

    def _is_open(self, order_id: OrderId | None) -> bool:
        record = self._outbox.find(order_id) if order_id is not None else None
        return record is not None and record.state is OrderState.OPEN

    def _outcome(self, order_id: OrderId) -> str:
        record = self._outbox.find(order_id)
        return record.state.value if record is not None else "not placed"

    def _note(self, target: Target, state: EngineState, detail: str = "") -> None:
        progress = replace(self._progress(target), state=state, detail=detail)
        self.progress_by_target[target.id] = progress

    def _note_serving(self, target: Target) -> None:
        # The spread keeps the next questions from coming all at once.
        delay = policy.RECHECK_SECONDS * random.uniform(0.5, 1.0)
        self.progress_by_target[target.id] = EngineProgress(
            target.incarnation,
            EngineState.SERVING,
            due_at=self._clock.monotonic() + delay,
        )

    def _note_behind(
        self, target: Target, answer: VersionsReported | VersionsUnknown
    ) -> None:
        progress = self._progress(target)
        need = policy.next_rollout_step(answer, self.weights.version)
        detail = progress.detail or (
            need.detail if isinstance(need, RetryLater) else ""
        )
        delay = policy.RETRIES.delay_seconds(
            progress.attempt,
            random.random(),
            within_budget=self._budget.withdraw(),
        )
        self.progress_by_target[target.id] = EngineProgress(
            target.incarnation,
            EngineState.BEHIND,
            detail,
            # An order that is still open is waited for, not placed again.
            progress.attempt + (not self._is_open(progress.order)),
            self._clock.monotonic() + delay,
            progress.order,
        )
        logger.warning(
            "engine is behind",
            target=target.id,
            version=self.weights.version,
            detail=detail,
        )


class Rollouts:
    """One task for each model line while this member leads."""

    def __init__(
        self,
        member: ControlMember,
        publications: Publications,
        outbox: OrderOutbox,
        engines: Engines,
        clock: Clock,
        settings: RolloutSettings,
    ) -> None:
        self._member = member
        self._publications = publications
        self._outbox = outbox
        self._engines = engines
        self._clock = clock
        self._settings = settings
        self._rollouts_by_model: dict[ModelName, ModelRollout] = {}
        self._tasks_by_model: dict[ModelName, asyncio.Task[None]] = {}
        member.machine.listen(self._on_applied)

    @property
    def rollouts_by_model(self) -> Mapping[ModelName, ModelRollout]:
        """The rollouts that this member runs; empty if it does not lead."""
        return self._rollouts_by_model

    async def run(self) -> None:
        """Run a rollout of the latest version of each model line."""
        try:
            while True:
                if self._member.holds_lease():
                    await self._follow()
                elif not self._member.is_leader:
                    await self._stop(list(self._tasks_by_model))
                await asyncio.sleep(POLL_SECONDS)
        finally:
            await self._stop(list(self._tasks_by_model))

    async def _follow(self) -> None:
        for model, published in list(self._publications.published_by_model.items()):
            if not published:
                continue
            rollout = self._rollouts_by_model.get(model)
            if rollout is not None and rollout.weights == published[-1]:
                task = self._tasks_by_model[model]
                if task.done():
                    task.result()
                continue
            await self._stop([model])
            self._start(published[-1])

    def _start(self, weights: PublishedWeights) -> None:
        rollout = ModelRollout(
            weights,
            self._member,
            self._outbox,
            self._engines,
            self._clock,
            self._settings,
        )
        self._rollouts_by_model[weights.model] = rollout
        self._tasks_by_model[weights.model] = asyncio.create_task(
            rollout.run(), name=f"rollout of {weights.model} {weights.version}"
        )

    async def _stop(self, models: Sequence[ModelName]) -> None:
        tasks = [
            self._tasks_by_model.pop(model)
            for model in models
            if model in self._tasks_by_model
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for model in models:
            self._rollouts_by_model.pop(model, None)

    def _on_applied(self, entry: AppliedEntry) -> None:
        for rollout in self._rollouts_by_model.values():
            rollout.on_applied(entry)


def shown(rollout: ModelRollout) -> dict[str, object]:
    """Return the progress of a rollout as operators see it."""
    version: WeightVersion = rollout.weights.version
    return {
        "version": version,
        "engines": policy.count_by_state(rollout.progress_by_target),
        "behind": {
            target: progress.detail
            for target, progress in sorted(rollout.progress_by_target.items())
            if progress.state is EngineState.BEHIND
        },
    }
