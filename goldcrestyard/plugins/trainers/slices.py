"""Replicated state of training steps, their batches and acknowledgements."""

from dataclasses import replace

from goldcrestyard.core.ids import (
    BatchId,
    ModelName,
    OrganisationId,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.trainers.commands import (
    AcknowledgeBatch,
    Batch,
    BatchReady,
    BatchState,
    FixBatch,
    OpenStep,
    Step,
    StepFloor,
    StepKey,
    StepOpen,
    StepsSnapshot,
    VersionsBarred,
)
from goldcrestyard.plugins.trainers.identifiers import batch_id_of
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.policy.hand_out import barred_versions
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice, SliceLookup

MAX_REMEMBERED_STEPS = 256
"""Steps remembered for each organisation and model: about 38 hours if a step
takes 9 minutes.  Older steps are refused, since their batches are no longer
known."""


class StepsSlice(Slice):
    """Steps by key, each with its latest attempt and the batch of this.

    At most one batch is fixed for an attempt.  A batch is closed when one of
    its weight versions becomes too old before the batch is acknowledged.
    """

    name = "steps"
    commands = (OpenStep, FixBatch, AcknowledgeBatch)

    def __init__(self) -> None:
        self.steps_by_key: dict[StepKey, Step] = {}
        self._keys_by_batch: dict[BatchId, StepKey] = {}
        self._numbers_by_trainer: dict[
            tuple[OrganisationId, ModelName], set[StepNumber]
        ] = {}
        self._floors_by_trainer: dict[tuple[OrganisationId, ModelName], StepNumber] = {}
        self._weights = WeightsSlice()

    def attach(self, slices: SliceLookup) -> None:
        """Look up the weights slice, which knows the published versions."""
        self._weights = slices.get(WeightsSlice)

    def open_batches(self) -> list[Batch]:
        """Return the batches that are neither acknowledged nor closed."""
        return [
            step.batch
            for step in self.steps_by_key.values()
            if step.batch is not None and step.batch.state is BatchState.FIXED
        ]

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case OpenStep():
                return self._open(command)
            case FixBatch():
                return self._fix(command)
            case AcknowledgeBatch(batch=batch_id, organisation=organisation):
                return self._acknowledge(batch_id, organisation)
        raise TypeError(f"unexpected command {command!r}")

    def _open(self, command: OpenStep) -> Outcome:
        rejection = self._check_trainer(command.key)
        if rejection is not None:
            return rejection
        step = self.steps_by_key.get(command.key)
        if step is None:
            return self._open_first(command)
        if command.attempt < step.attempt:
            return Rejected(
                RefusalReason.CONFLICT,
                f"attempt {step.attempt} of this step was already asked for",
            )
        if command.attempt > step.attempt:
            self._replace(step, _new_step(command))
            return StepOpen(command.entry)
        if command.question != step.question:
            return Rejected(
                RefusalReason.CONFLICT,
                "another question was asked under the same step and attempt",
            )
        if step.batch is None and command.instead_of == step.entry:
            step = replace(step, entry=command.entry)
            self._replace(step, step)
        return self._hand_out(step)

    def _open_first(self, command: OpenStep) -> Outcome:
        key = command.key
        trainer = (key.organisation, key.model)
        floor = self._floors_by_trainer.get(trainer)
        numbers = self._numbers_by_trainer.setdefault(trainer, set())
        if len(numbers) == MAX_REMEMBERED_STEPS and key.number < min(numbers):
            floor = key.number
        if floor is not None and key.number <= floor:
            return Rejected(
                RefusalReason.CONFLICT,
                f"steps up to {floor} are no longer remembered",
            )
        numbers.add(key.number)
        self.steps_by_key[key] = _new_step(command)
        if len(numbers) > MAX_REMEMBERED_STEPS:
            self._forget(StepKey(key.organisation, key.model, min(numbers)))
        return StepOpen(command.entry)

    def _fix(self, command: FixBatch) -> Outcome:
        rejection = self._check_trainer(command.key)
        if rejection is not None:
            return rejection
        step = self.steps_by_key.get(command.key)
        if (
            step is None
            or step.attempt != command.attempt
            or step.question != command.question
        ):
            return Rejected(
                RefusalReason.CONFLICT, "the step was asked again in another attempt"
            )
        if step.batch is not None:
            return self._hand_out(step)
        barred = self._barred(command.key.model, command.versions)
        if barred or not command.versions:
            return VersionsBarred(barred)
        batch = Batch(
            batch_id_of(command.key, command.attempt),
            command.manifest,
            command.count,
            command.versions,
        )
        self._replace(step, replace(step, batch=batch))
        return BatchReady(batch)

    def _hand_out(self, step: Step) -> Outcome:
        """Return the step's batch, or why it is not handed out.

        Closes a batch with a weight version that has become too old.
        """
        batch = step.batch
        if batch is None:
            return StepOpen(step.entry)
        if batch.state is BatchState.ACKNOWLEDGED:
            return Rejected(
                RefusalReason.CONFLICT,
                f"{batch.id} was acknowledged; ask for attempt {step.attempt + 1} "
                "to get other samples for this step",
            )
        if batch.state is BatchState.FIXED and self._barred(
            step.key.model, batch.versions
        ):
            batch = replace(batch, state=BatchState.CLOSED)
            self._replace(step, replace(step, batch=batch))
        if batch.state is BatchState.CLOSED:
            return _reject_too_old(batch, step)
        return BatchReady(batch)

    def _acknowledge(self, batch_id: BatchId, organisation: OrganisationId) -> Outcome:
        key = self._keys_by_batch.get(batch_id)
        if key is None or key.organisation != organisation:
            return Rejected(RefusalReason.NOT_FOUND, f"no batch {batch_id}")
        step = self.steps_by_key[key]
        batch = step.batch
        assert batch is not None
        if batch.state is BatchState.CLOSED:
            return _reject_too_old(batch, step)
        batch = replace(batch, state=BatchState.ACKNOWLEDGED)
        self._replace(step, replace(step, batch=batch))
        return Accepted()

    def _check_trainer(self, key: StepKey) -> Rejected | None:
        line = self._weights.lines_by_name.get(key.model)
        if line is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no model line {key.model}")
        if line.trainer != key.organisation:
            return Rejected(
                RefusalReason.FORBIDDEN, f"another organisation trains {key.model}"
            )
        return None

    def _barred(
        self, model: ModelName, versions: tuple[WeightVersion, ...]
    ) -> tuple[WeightVersion, ...]:
        return barred_versions(
            versions,
            lambda version: self._weights.versions_behind(model, version),
            self._weights.lines_by_name[model].max_versions_behind,
        )

    def _replace(self, old: Step, new: Step) -> None:
        if old.batch is not None:
            self._keys_by_batch.pop(old.batch.id, None)
        if new.batch is not None:
            self._keys_by_batch[new.batch.id] = new.key
        self.steps_by_key[new.key] = new

    def _forget(self, key: StepKey) -> None:
        step = self.steps_by_key.pop(key)
        if step.batch is not None:
            self._keys_by_batch.pop(step.batch.id, None)
        trainer = (key.organisation, key.model)
        self._numbers_by_trainer[trainer].discard(key.number)
        self._floors_by_trainer[trainer] = key.number

    def to_snapshot(self) -> StepsSnapshot:
        """Return the state of the slice."""
        return StepsSnapshot(
            tuple(self.steps_by_key.values()),
            tuple(
                StepFloor(organisation, model, number)
                for (organisation, model), number in self._floors_by_trainer.items()
            ),
        )

    def load_snapshot(self, snapshot: StepsSnapshot) -> None:
        """Replace the state of the slice."""
        self.steps_by_key = {step.key: step for step in snapshot.steps}
        self._keys_by_batch = {
            step.batch.id: step.key for step in snapshot.steps if step.batch is not None
        }
        self._numbers_by_trainer = {}
        for key in self.steps_by_key:
            trainer = (key.organisation, key.model)
            self._numbers_by_trainer.setdefault(trainer, set()).add(key.number)
        self._floors_by_trainer = {
            (floor.organisation, floor.model): floor.number for floor in snapshot.floors
        }


def _new_step(command: OpenStep) -> Step:
    return Step(command.key, command.attempt, command.question, entry=command.entry)


def _reject_too_old(batch: Batch, step: Step) -> Rejected:
    return Rejected(
        RefusalReason.SAMPLES_TOO_OLD,
        f"{batch.id} was not acknowledged within the age bound and is closed; "
        f"ask again with attempt {step.attempt + 1}",
    )
