"""Tests of the steps slice.

They guard against two batches for one attempt at a step, against handing out
samples past the age bound or of an unknown version, and against handing out
a batch after it was acknowledged.
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


def line(trainer: OrganisationId = TEJO, bound: int = 1) -> PutModelLine:
    """Return the creation of the model line."""
    return PutModelLine(ModelLine(MODEL, trainer, max_versions_behind=bound))


def publish(version: int) -> PublishWeights:
    """Return a publication."""
    return PublishWeights(MODEL, WeightVersion(version), "http://store", "d")


def key(number: int = 1) -> StepKey:
    """Return the key of a step."""
    return StepKey(TEJO, MODEL, StepNumber(number))


def opening(
    attempt: int = 0,
    question: str = "q",
    number: int = 1,
    entry: str = "one",
    instead_of: str | None = None,
) -> OpenStep:
    """Return a question for samples."""
    return OpenStep(
        key(number),
        attempt,
        BodyDigest(question),
        InstanceId(entry),
        InstanceId(instead_of) if instead_of is not None else None,
    )


def fixing(
    manifest: str = "m",
    versions: tuple[int, ...] = (1,),
    attempt: int = 0,
    question: str = "q",
) -> FixBatch:
    """Return the end of a generation."""
    return FixBatch(
        key(),
        attempt,
        BodyDigest(question),
        BodyDigest(manifest),
        4,
        tuple(WeightVersion(version) for version in versions),
    )


def acknowledgement(
    attempt: int = 0, organisation: OrganisationId = TEJO
) -> AcknowledgeBatch:
    """Return an acknowledgement of the step's batch."""
    return AcknowledgeBatch(batch_id_of(key(), attempt), organisation)


@dataclass(frozen=True)
class Case:
    """Commands after the first version, and what the last one yields.

    ``expected`` is an outcome class, the outcome that names the generating
    entry, the manifest of the batch that is ready, the barred versions, or
    the reason of the rejection.
    """

    name: str
    commands: tuple[Command, ...]
    expected: type | str | tuple[int, ...] | RefusalReason | StepOpen


ONE, TWO = InstanceId("one"), InstanceId("two")

CONFLICT = RefusalReason.CONFLICT
TOO_OLD = RefusalReason.SAMPLES_TOO_OLD

CASES = [
    Case("first_question", (opening(),), StepOpen(ONE)),
    Case("same_question_while_generating", (opening(), opening()), StepOpen(ONE)),
    Case("question_elsewhere", (opening(), opening(entry="two")), StepOpen(ONE)),
    Case(
        "entry_takes_over",
        (opening(), opening(entry="two", instead_of="one")),
        StepOpen(TWO),
    ),
    Case(
        "only_one_entry_takes_over",
        (
            opening(),
            opening(entry="two", instead_of="one"),
            opening(entry="three", instead_of="one"),
        ),
        StepOpen(TWO),
    ),
    Case(
        "take_over_after_fix_gets_the_batch",
        (opening(), fixing(), opening(entry="two", instead_of="one")),
        "m",
    ),
    Case("other_question", (opening(), opening(question="r")), CONFLICT),
    Case("same_question_after_fix", (opening(), fixing(), opening()), "m"),
    Case(
        "other_question_after_fix",
        (opening(), fixing(), opening(question="r")),
        CONFLICT,
    ),
    Case("fix_again", (opening(), fixing(), fixing()), "m"),
    Case("late_fix_gets_the_first_batch", (opening(), fixing(), fixing("n")), "m"),
    Case("fix_of_other_question", (opening(), fixing(question="r")), CONFLICT),
    Case("fix_without_question", (fixing(),), CONFLICT),
    Case("fix_after_next_attempt", (opening(), opening(1), fixing()), CONFLICT),
    Case("earlier_attempt", (opening(1), opening(0)), CONFLICT),
    Case("within_bound", (opening(), publish(2), fixing()), "m"),
    Case("over_age", (opening(), publish(2), publish(3), fixing()), (1,)),
    Case(
        "one_span_over_age",
        (opening(), publish(2), publish(3), fixing(versions=(1, 3))),
        (1,),
    ),
    Case("unpublished_version", (opening(), fixing(versions=(1, 9))), (9,)),
    Case("no_version", (opening(), fixing(versions=())), ()),
    Case(
        "fix_after_over_age_samples_were_made_again",
        (opening(), publish(2), publish(3), fixing(), fixing("n", (3,))),
        "n",
    ),
    Case(
        "repeated_hand_out_within_bound",
        (opening(), fixing(), publish(2), opening()),
        "m",
    ),
    Case(
        "repeated_hand_out_past_bound",
        (opening(), fixing(), publish(2), publish(3), opening()),
        TOO_OLD,
    ),
    Case(
        "late_fix_past_bound",
        (opening(), fixing(), publish(2), publish(3), fixing("n", (3,))),
        TOO_OLD,
    ),
    Case(
        "closed_for_good_even_under_a_wider_bound",
        (
            *(opening(), fixing(), publish(2), publish(3), opening()),
            *(line(bound=5), opening()),
        ),
        TOO_OLD,
    ),
    Case(
        "acknowledgement_of_closed_batch",
        (opening(), fixing(), publish(2), publish(3), opening(), acknowledgement()),
        TOO_OLD,
    ),
    Case(
        "next_attempt_after_closing",
        (opening(), fixing(), publish(2), publish(3), opening(), opening(1)),
        StepOpen(ONE),
    ),
    Case("acknowledged", (opening(), fixing(), acknowledgement()), Accepted),
    Case(
        "acknowledged_twice",
        (opening(), fixing(), acknowledgement(), acknowledgement()),
        Accepted,
    ),
    Case(
        "acknowledged_past_bound",
        (opening(), fixing(), publish(2), publish(3), acknowledgement()),
        Accepted,
    ),
    Case(
        "question_after_acknowledgement",
        (opening(), fixing(), acknowledgement(), opening()),
        CONFLICT,
    ),
    Case(
        "fix_after_acknowledgement",
        (opening(), fixing(), acknowledgement(), fixing("n")),
        CONFLICT,
    ),
    Case("unknown_batch", (opening(), acknowledgement()), RefusalReason.NOT_FOUND),
    Case(
        "acknowledgement_of_superseded_attempt",
        (opening(), fixing(), opening(1), acknowledgement()),
        RefusalReason.NOT_FOUND,
    ),
    Case(
        "acknowledgement_by_another",
        (opening(), fixing(), acknowledgement(organisation=OTHER)),
        RefusalReason.NOT_FOUND,
    ),
    Case("other_trainer", (line(OTHER), opening()), RefusalReason.FORBIDDEN),
    Case(
        "trainer_replaced_in_mid_step",
        (opening(), line(OTHER), fixing()),
        RefusalReason.FORBIDDEN,
    ),
    Case(
        "line_removed_in_mid_step",
        (opening(), RemoveModelLine(MODEL), fixing()),
        RefusalReason.NOT_FOUND,
    ),
    Case(
        "forgotten_step_is_not_generated_again",
        (*(opening(number=n) for n in range(1, MAX_REMEMBERED_STEPS + 2)), opening()),
        CONFLICT,
    ),
    Case(
        "older_than_all_remembered_steps",
        (*(opening(number=n) for n in range(2, MAX_REMEMBERED_STEPS + 2)), opening()),
        CONFLICT,
    ),
]


def new_machine() -> StateMachine:
    """Return a machine; the steps slice comes first on purpose."""
    return StateMachine([StepsSlice(), WeightsSlice()])


def reload(machine: StateMachine) -> StateMachine:
    """Return a machine with the state of another, through its snapshots."""
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
    """Commands of the steps slice."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_outcome(self, _: str, case: Case) -> None:
        machine = new_machine()
        for command in (line(), publish(1), *case.commands[:-1]):
            apply(machine, command)
        for either in (reload(machine), machine):
            outcome = apply(either, case.commands[-1])
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
