"""Rollout of the latest published weights to the engines of each model line.

Rollouts run on the leader only.  The versions that engines serve are not
stored: a new leader queries the engines.  It derives the same order ids as
its predecessor, so that nothing is ordered twice.
"""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import InDoubt
from goldcrestyard.core.ids import ModelName, OrderId, TargetId, WeightVersion
from goldcrestyard.core.records import PublishedWeights, Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.plugins.orders.commands import Order, SettleOrders
from goldcrestyard.plugins.orders.outbox import OrderOutbox, was_committed
from goldcrestyard.plugins.rollout.engines import VersionClient, order_for_step
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

POLL_INTERVAL_SECONDS = 0.25
MAX_ORDERS_PER_COMMAND = 256

STATE_WHILE_ORDERED = {Stage: EngineState.STAGING, Activate: EngineState.ACTIVATING}


class ModelRollout:
    """Rollout of one version to the engines of one model line.

    It works in rounds: all engines that are due are queried, staged and then
    activated.  Engines that fail are retried in later rounds with a growing
    delay.
    """

    def __init__(
        self,
        weights: PublishedWeights,
        member: ControlMember,
        outbox: OrderOutbox,
        version_client: VersionClient,
        clock: Clock,
        settings: RolloutSettings,
    ) -> None:
        self.weights = weights
        self.progress_by_target: dict[TargetId, EngineProgress] = {}
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._outbox = outbox
        self._version_client = version_client
        self._clock = clock
        self._settings = settings
        self._budget = RetryBudget(share=0.1, reserve=50.0)
        self._targets_changed = asyncio.Event()
        self._orders_changed = asyncio.Event()
        self._next_due_at = 0.0

    def on_applied(self, entry: AppliedEntry) -> None:
        """Wake the rollout when a target changes or an order is settled."""
        match entry.envelope.command:
            case AnnounceTarget() | DrainTarget() | RemoveTarget():
                self._targets_changed.set()
            case SettleOrders():
                self._orders_changed.set()

    async def run(self) -> None:
        """Update the engines of the model line until cancelled."""
        while True:
            self._targets_changed.clear()
            due = self._collect_due()
            if due:
                await self._run_round(due)
            remaining = self._next_due_at - self._clock.monotonic()
            await wait_at_most(
                max(POLL_INTERVAL_SECONDS, remaining), self._targets_changed.wait()
            )

    def _collect_due(self) -> list[Target]:
        """Return the engines that are due for a query.

        Also drops the progress of removed engines and sets the time at which
        the next engine is due.
        """
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
        """Return the progress of an engine since its last start."""
        known = self.progress_by_target.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            known = EngineProgress(target.incarnation)
            self.progress_by_target[target.id] = known
        return known

    async def _run_round(self, due: Sequence[Target]) -> None:
        """Stage the version on all engines that lack it, then activate it."""
        answers = await self._query_versions(due)
        await self._order_and_query(Stage(), due, answers)
        await self._order_and_query(Activate(), due, answers)
        for target in due:
            match policy.next_rollout_step(answers[target.id], self.weights.version):
                case UpToDate():
                    self._set_serving(target)
                case _:
                    self._schedule_retry(target, answers[target.id])
        self._next_due_at = 0.0
        logger.info(
            "rollout round finished",
            model=self.weights.model,
            version=self.weights.version,
            asked=len(due),
            engines=policy.count_by_state(self.progress_by_target),
        )

    async def _query_versions(
        self, targets: Sequence[Target]
    ) -> dict[TargetId, VersionsReported | VersionsUnknown]:
        answers = await asyncio.gather(
            *(self._version_client.query(t) for t in targets)
        )
        return {
            target.id: answer for target, answer in zip(targets, answers, strict=True)
        }

    async def _order_and_query(
        self,
        step: Stage | Activate,
        due: Sequence[Target],
        answers: dict[TargetId, VersionsReported | VersionsUnknown],
    ) -> None:
        """Order a step from the engines that need it, and query them again."""
        version = self.weights.version
        pending = [
            target
            for target in due
            if isinstance(
                policy.next_rollout_step(answers[target.id], version), type(step)
            )
        ]
        if not pending:
            return
        orders_by_target = {}
        for target in pending:
            self._set_state(target, STATE_WHILE_ORDERED[type(step)])
            self._budget.deposit()
            progress = self._progress(target)
            order = order_for_step(step, target, self.weights, progress.attempt)
            self.progress_by_target[target.id] = replace(progress, order=order.id)
            orders_by_target[target.id] = order
        match step:
            case Stage():
                timeout_seconds = self._settings.stage_patience_seconds
            case Activate():
                timeout_seconds = self._settings.activate_patience_seconds
        await self._place_orders(list(orders_by_target.values()))
        outcomes = await self._wait_settled(
            [order.id for order in orders_by_target.values()], timeout_seconds
        )
        answers.update(await self._query_versions(pending))
        for target in pending:
            order = orders_by_target[target.id]
            detail = policy.describe_lag(
                order.kind, outcomes[order.id], answers[target.id]
            )
            self._set_state(target, self._progress(target).state, detail)

    async def _place_orders(self, orders: Sequence[Order]) -> None:
        for first in range(0, len(orders), MAX_ORDERS_PER_COMMAND):
            command = orders[first : first + MAX_ORDERS_PER_COMMAND]
            result = await self._outbox.place(*command)
            if isinstance(result, InDoubt):
                # Safe to repeat: an order id is accepted only once.
                result = await self._outbox.place(*command)
            if not was_committed(result):
                logger.warning("weight orders not committed", result=str(result))

    async def _wait_settled(
        self, order_ids: Sequence[OrderId], timeout_seconds: float
    ) -> dict[OrderId, str]:
        """Wait until the orders are settled; return the state of each.

        The wait ends earlier if only a few stragglers are left.
        """
        deadline = self._clock.monotonic() + timeout_seconds
        open_orders = set(order_ids)
        max_stragglers = policy.straggler_count(len(open_orders))
        only_stragglers_left = False
        while open_orders:
            self._orders_changed.clear()
            open_orders = {
                order_id for order_id in open_orders if self._is_open(order_id)
            }
            if not only_stragglers_left and len(open_orders) <= max_stragglers:
                only_stragglers_left = True
                straggler_seconds = self._settings.straggler_seconds
                deadline = min(deadline, self._clock.monotonic() + straggler_seconds)
            remaining = deadline - self._clock.monotonic()
            if not open_orders or remaining <= 0:
                break
            await wait_at_most(
                min(remaining, POLL_INTERVAL_SECONDS), self._orders_changed.wait()
            )
        return {order_id: self._outcome(order_id) for order_id in order_ids}

    def _is_open(self, order_id: OrderId | None) -> bool:
        record = self._outbox.find(order_id) if order_id is not None else None
        return record is not None and record.state is OrderState.OPEN

    def _outcome(self, order_id: OrderId) -> str:
        record = self._outbox.find(order_id)
        return record.state.value if record is not None else "not placed"

    def _set_state(self, target: Target, state: EngineState, detail: str = "") -> None:
        progress = replace(self._progress(target), state=state, detail=detail)
        self.progress_by_target[target.id] = progress

    def _set_serving(self, target: Target) -> None:
        # Random, so that the engines are not all queried at the same time.
        delay = policy.RECHECK_SECONDS * random.uniform(0.5, 1.0)
        self.progress_by_target[target.id] = EngineProgress(
            target.incarnation,
            EngineState.SERVING,
            due_at=self._clock.monotonic() + delay,
        )

    def _schedule_retry(
        self, target: Target, answer: VersionsReported | VersionsUnknown
    ) -> None:
        progress = self._progress(target)
        step = policy.next_rollout_step(answer, self.weights.version)
        detail = progress.detail or (
            step.detail if isinstance(step, RetryLater) else ""
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
            # With the same attempt number an open order is not placed again.
            progress.attempt + (not self._is_open(progress.order)),
            self._clock.monotonic() + delay,
            progress.order,
        )
        logger.warning(
            "engine does not serve the published version, will be retried",
            target=target.id,
            version=self.weights.version,
            detail=detail,
        )


class RolloutManager:
    """Runs a rollout task for each model line while this member leads."""

    def __init__(
        self,
        member: ControlMember,
        publications: Publications,
        outbox: OrderOutbox,
        version_client: VersionClient,
        clock: Clock,
        settings: RolloutSettings,
    ) -> None:
        self._member = member
        self._publications = publications
        self._outbox = outbox
        self._version_client = version_client
        self._clock = clock
        self._settings = settings
        self._rollouts_by_model: dict[ModelName, ModelRollout] = {}
        self._tasks_by_model: dict[ModelName, asyncio.Task[None]] = {}
        member.machine.listen(self._on_applied)

    @property
    def rollouts_by_model(self) -> Mapping[ModelName, ModelRollout]:
        """The running rollouts; empty if this member does not lead."""
        return self._rollouts_by_model

    async def run(self) -> None:
        """Keep a rollout of the latest version of each model line running."""
        try:
            while True:
                if self._member.holds_lease():
                    await self._update_rollouts()
                elif not self._member.is_leader:
                    await self._stop(list(self._tasks_by_model))
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            await self._stop(list(self._tasks_by_model))

    async def _update_rollouts(self) -> None:
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
            self._version_client,
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


def rollout_status(rollout: ModelRollout) -> dict[str, object]:
    """Return the progress of a rollout in the form shown to operators."""
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
