"""Tests of the steps slice.

They guard against two batches for one attempt at a step, against handing out
samples that are too old or of an unknown version, and against handing out a
batch that was acknowledged.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import (
    BodyDigest,
    InstanceId,
    ModelName,
    OrganisationId,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.records import ModelLine
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.trainers.apps import TrainersConfig
from goldcrestyard.plugins.trainers.commands import (
    AcknowledgeBatch,
    BatchReady,
    FixBatch,
    OpenStep,
    StepKey,
    StepOpen,
    VersionsBarred,
)
from goldcrestyard.plugins.trainers.identifiers import batch_id_of
from goldcrestyard.plugins.trainers.slices import MAX_REMEMBERED_STEPS, StepsSlice
from goldcrestyard.plugins.weights.apps import WeightsConfig
from goldcrestyard.plugins.weights.commands import (
    PublishWeights,
    PutModelLine,
    RemoveModelLine,
)
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.state.commands import Accepted, Command, Outcome, Rejected
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from tests.fakes.state import apply

MODEL = ModelName("inspect-lm")
TEJO = OrganisationId("tejo")
OTHER = OrganisationId("other")


def put_line(trainer: OrganisationId = TEJO, bound: int = 1) -> PutModelLine:
    """Return the command that creates or changes the model line."""
    return PutModelLine(ModelLine(MODEL, trainer, max_versions_behind=bound))


def publish(version: int) -> PublishWeights:
    """Return the command that publishes a weight version."""
    return PublishWeights(MODEL, WeightVersion(version), "http://store", "d")


def key(number: int = 1) -> StepKey:
    """Return the key of a step."""
    return StepKey(TEJO, MODEL, StepNumber(number))


def open_step(
    attempt: int = 0,
    question: str = "q",
    number: int = 1,
    entry: str = "one",
    instead_of: str | None = None,
) -> OpenStep:
    """Return the command that opens an attempt at a step."""
    return OpenStep(
        key(number),
        attempt,
        BodyDigest(question),
        InstanceId(entry),
        InstanceId(instead_of) if instead_of is not None else None,
    )


def fix_batch(
    manifest: str = "m",
    versions: tuple[int, ...] = (1,),
    attempt: int = 0,
    question: str = "q",
) -> FixBatch:
    """Return the command that fixes a batch."""
    return FixBatch(
        key(),
        attempt,
        BodyDigest(question),
        BodyDigest(manifest),
        4,
        tuple(WeightVersion(version) for version in versions),
    )


def acknowledge(
    attempt: int = 0, organisation: OrganisationId = TEJO
) -> AcknowledgeBatch:
    """Return the command that acknowledges the step's batch."""
    return AcknowledgeBatch(batch_id_of(key(), attempt), organisation)


@dataclass(frozen=True)
class Case:
    """Commands applied after version 1, and the outcome of the last one.

    ``expected`` is the class of the outcome, the outcome that names the
    generating entry, the manifest of the batch that is ready, the barred
    versions, or the reason of the rejection.
    """

    name: str
    commands: tuple[Command, ...]
    expected: type | str | tuple[int, ...] | RefusalReason | StepOpen


ONE, TWO = InstanceId("one"), InstanceId("two")

CONFLICT = RefusalReason.CONFLICT
TOO_OLD = RefusalReason.SAMPLES_TOO_OLD

CASES = [
    Case("first_question", (open_step(),), StepOpen(ONE)),
    Case("same_question_while_generating", (open_step(), open_step()), StepOpen(ONE)),
    Case("question_elsewhere", (open_step(), open_step(entry="two")), StepOpen(ONE)),
    Case(
        "entry_takes_over",
        (open_step(), open_step(entry="two", instead_of="one")),
        StepOpen(TWO),
    ),
    Case(
        "only_one_entry_takes_over",
        (
            open_step(),
            open_step(entry="two", instead_of="one"),
            open_step(entry="three", instead_of="one"),
        ),
        StepOpen(TWO),
    ),
    Case(
        "take_over_after_fix_gets_the_batch",
        (open_step(), fix_batch(), open_step(entry="two", instead_of="one")),
        "m",
    ),
    Case("other_question", (open_step(), open_step(question="r")), CONFLICT),
    Case("same_question_after_fix", (open_step(), fix_batch(), open_step()), "m"),
    Case(
        "other_question_after_fix",
        (open_step(), fix_batch(), open_step(question="r")),
        CONFLICT,
    ),
    Case("fix_again", (open_step(), fix_batch(), fix_batch()), "m"),
    Case(
        "late_fix_gets_the_first_batch", (open_step(), fix_batch(), fix_batch("n")), "m"
    ),
    Case("fix_of_other_question", (open_step(), fix_batch(question="r")), CONFLICT),
    Case("fix_without_question", (fix_batch(),), CONFLICT),
    Case("fix_after_next_attempt", (open_step(), open_step(1), fix_batch()), CONFLICT),
    Case("earlier_attempt", (open_step(1), open_step(0)), CONFLICT),
    Case("within_bound", (open_step(), publish(2), fix_batch()), "m"),
    Case("over_age", (open_step(), publish(2), publish(3), fix_batch()), (1,)),
    Case(
        "one_span_over_age",
        (open_step(), publish(2), publish(3), fix_batch(versions=(1, 3))),
        (1,),
    ),
    Case("unpublished_version", (open_step(), fix_batch(versions=(1, 9))), (9,)),
    Case("no_version", (open_step(), fix_batch(versions=())), ()),
    Case(
        "fix_after_over_age_samples_were_made_again",
        (open_step(), publish(2), publish(3), fix_batch(), fix_batch("n", (3,))),
        "n",
    ),
    Case(
        "repeated_hand_out_within_bound",
        (open_step(), fix_batch(), publish(2), open_step()),
        "m",
    ),
    Case(
        "repeated_hand_out_past_bound",
        (open_step(), fix_batch(), publish(2), publish(3), open_step()),
        TOO_OLD,
    ),
    Case(
        "late_fix_past_bound",
        (open_step(), fix_batch(), publish(2), publish(3), fix_batch("n", (3,))),
        TOO_OLD,
    ),
    Case(
        "closed_for_good_even_under_a_wider_bound",
        (
            *(open_step(), fix_batch(), publish(2), publish(3), open_step()),
            *(put_line(bound=5), open_step()),
        ),
        TOO_OLD,
    ),
    Case(
        "acknowledgement_of_closed_batch",
        (open_step(), fix_batch(), publish(2), publish(3), open_step(), acknowledge()),
        TOO_OLD,
    ),
    Case(
        "next_attempt_after_closing",
        (open_step(), fix_batch(), publish(2), publish(3), open_step(), open_step(1)),
        StepOpen(ONE),
    ),
    Case("acknowledged", (open_step(), fix_batch(), acknowledge()), Accepted),
    Case(
        "acknowledged_twice",
        (open_step(), fix_batch(), acknowledge(), acknowledge()),
        Accepted,
    ),
    Case(
        "acknowledged_past_bound",
        (open_step(), fix_batch(), publish(2), publish(3), acknowledge()),
        Accepted,
    ),
    Case(
        "question_after_acknowledgement",
        (open_step(), fix_batch(), acknowledge(), open_step()),
        CONFLICT,
    ),
    Case(
        "fix_after_acknowledgement",
        (open_step(), fix_batch(), acknowledge(), fix_batch("n")),
        CONFLICT,
    ),
    Case("unknown_batch", (open_step(), acknowledge()), RefusalReason.NOT_FOUND),
    Case(
        "acknowledgement_of_superseded_attempt",
        (open_step(), fix_batch(), open_step(1), acknowledge()),
        RefusalReason.NOT_FOUND,
    ),
    Case(
        "acknowledgement_by_another",
        (open_step(), fix_batch(), acknowledge(organisation=OTHER)),
        RefusalReason.NOT_FOUND,
    ),
    Case("other_trainer", (put_line(OTHER), open_step()), RefusalReason.FORBIDDEN),
    Case(
        "trainer_replaced_in_mid_step",
        (open_step(), put_line(OTHER), fix_batch()),
        RefusalReason.FORBIDDEN,
    ),
    Case(
        "line_removed_in_mid_step",
        (open_step(), RemoveModelLine(MODEL), fix_batch()),
        RefusalReason.NOT_FOUND,
    ),
    Case(
        "forgotten_step_is_not_generated_again",
        (
            *(open_step(number=n) for n in range(1, MAX_REMEMBERED_STEPS + 2)),
            open_step(),
        ),
        CONFLICT,
    ),
    Case(
        "older_than_all_remembered_steps",
        (
            *(open_step(number=n) for n in range(2, MAX_REMEMBERED_STEPS + 2)),
            open_step(),
        ),
        CONFLICT,
    ),
]


def new_machine() -> StateMachine:
    """Return a state machine.

    The steps slice comes before the weights slice that it looks up, so the
    order of the slices must not matter.
    """
    return StateMachine([StepsSlice(), WeightsSlice()])


def reload(machine: StateMachine) -> StateMachine:
    """Return a state machine restored from another's encoded snapshots."""
    codec = Codec()
    codec.register(*WeightsConfig.messages, *TrainersConfig.messages)
    restored = new_machine()
    snapshots = {
        name: codec.decode(codec.encode(snapshot))
        for name, snapshot in machine.to_snapshots().items()
    }
    restored.load_snapshots(snapshots, machine.applied_index, machine.revision)
    return restored


class StepsSliceTests(unittest.TestCase):
    """Outcomes of the slice's commands, before and after a restore."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_outcome(self, _: str, case: Case) -> None:
        machine = new_machine()
        for command in (put_line(), publish(1), *case.commands[:-1]):
            apply(machine, command)
        for candidate in (reload(machine), machine):
            outcome = apply(candidate, case.commands[-1])
            self.assertEqual(_summary(outcome), case.expected)


def _summary(outcome: Outcome) -> object:
    match outcome:
        case BatchReady(batch=batch):
            return batch.manifest
        case VersionsBarred(versions=versions):
            return versions
        case Rejected(reason=reason):
            return reason
        case StepOpen():
            return outcome
        case _:
            return type(outcome)
