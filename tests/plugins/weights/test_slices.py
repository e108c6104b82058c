"""Tests of the weights slice.

They guard against two different contents under one version number, against
version numbers that decrease, and against a wrong version age.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import ModelName, OrganisationId, WeightVersion
from goldcrestyard.core.records import ModelLine
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.weights.apps import WeightsConfig
from goldcrestyard.plugins.weights.commands import (
    PublishWeights,
    PutModelLine,
    RemoveModelLine,
)
from goldcrestyard.plugins.weights.slices import MAX_VERSIONS_PER_MODEL, WeightsSlice
from goldcrestyard.state.commands import Command, Rejected
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from tests.fakes.state import apply

MODEL = ModelName("inspect-lm")
LINE = PutModelLine(ModelLine(MODEL, OrganisationId("tejo")))


def publish(version: int, digest: str = "d") -> PublishWeights:
    """Return the command that publishes a version of the model."""
    return PublishWeights(MODEL, WeightVersion(version), "http://store", digest)


@dataclass(frozen=True)
class Case:
    """Commands, of which the last has the expected outcome."""

    name: str
    commands: tuple[Command, ...]
    rejected: RefusalReason | None = None


CASES = [
    Case("first_version", (LINE, publish(5))),
    Case("newer_version", (LINE, publish(5), publish(6))),
    Case("same_again", (LINE, publish(5), publish(6), publish(5))),
    Case(
        "other_content",
        (LINE, publish(5), publish(5, "other")),
        RefusalReason.CONFLICT,
    ),
    Case("older_version", (LINE, publish(5), publish(4)), RefusalReason.CONFLICT),
    Case("no_line", (publish(5),), RefusalReason.NOT_FOUND),
    Case(
        "line_made_anew_does_not_reuse_versions",
        (LINE, publish(5), RemoveModelLine(MODEL), LINE, publish(5, "other")),
        RefusalReason.CONFLICT,
    ),
    Case("no_line_to_remove", (RemoveModelLine(MODEL),), RefusalReason.NOT_FOUND),
    Case(
        "bound_beyond_remembered_versions",
        (PutModelLine(ModelLine(MODEL, max_versions_behind=MAX_VERSIONS_PER_MODEL)),),
        RefusalReason.BAD_REQUEST,
    ),
]


class WeightsSliceTests(unittest.TestCase):
    """Commands of the weights slice."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_outcome(self, _: str, case: Case) -> None:
        machine = StateMachine([WeightsSlice()])
        outcomes = [apply(machine, command) for command in case.commands]
        last = outcomes[-1]
        reason = last.reason if isinstance(last, Rejected) else None
        self.assertIs(reason, case.rejected)

    @parameterized.expand(
        [
            ("newest", 90, 0),
            ("previous", 89, 1),
            (
                "oldest_remembered",
                91 - MAX_VERSIONS_PER_MODEL,
                MAX_VERSIONS_PER_MODEL - 1,
            ),
            ("forgotten", 90 - MAX_VERSIONS_PER_MODEL, None),
            ("never_published", 91, None),
        ]
    )
    def test_versions_behind(self, _: str, version: int, expected: int | None) -> None:
        machine = StateMachine([WeightsSlice()])
        for command in (LINE, *(publish(number) for number in range(1, 91))):
            apply(machine, command)
        restored = StateMachine([WeightsSlice()])
        codec = Codec()
        codec.register(*WeightsConfig.messages)
        snapshots = {
            name: codec.decode(codec.encode(snapshot))
            for name, snapshot in machine.to_snapshots().items()
        }
        restored.load_snapshots(snapshots, machine.applied_index, machine.revision)
        for either in (machine, restored):
            behind = either.get(WeightsSlice).versions_behind(
                MODEL, WeightVersion(version)
            )
            self.assertEqual(behind, expected)
