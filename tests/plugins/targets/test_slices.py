"""Tests of the targets slice.

They guard against late messages that restore a removed target, remove one
that has moved or restarted, or end a drain.
"""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.plugins.targets import slices
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    RemoveTarget,
    TargetsSnapshot,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Command
from goldcrestyard.wire.codec import Codec
from tests.fakes.member import apply, machine_of

TARGET_ID = TargetId("t")
LEFT, LOST = TargetState.LEFT, TargetState.LOST


def announce(
    home: str = "e1", run: str = "i1", target: str = TARGET_ID
) -> AnnounceTarget:
    announced = Target(
        target, TargetKind.ENGINE, "h:1", "a", "r", ("lm",), incarnation=run
    )
    return AnnounceTarget(announced, home)


def drain(run: str = "i1") -> DrainTarget:
    return DrainTarget(TARGET_ID, run)


def remove(state: TargetState, run: str = "i1", home: str | None = None):
    return RemoveTarget(TARGET_ID, run, state, home)


@dataclass(frozen=True)
class Case:
    """Commands, and the target's state (None: removed) and home after them."""

    name: str
    commands: Sequence[Command]
    state: TargetState | None
    home: str = "e1"


READY, DRAINING = TargetState.READY, TargetState.DRAINING

CASES = [
    Case("announced", [announce()], READY),
    Case("moved", [announce(), announce("e2")], READY, "e2"),
    Case("drained", [announce(), drain()], DRAINING),
    Case("moved_drained", [announce(), drain(), announce("e2")], DRAINING, "e2"),
    Case("started_again", [announce(), drain(), announce(run="i2")], READY),
    Case("late_drain", [announce(), announce(run="i2"), drain()], READY),
    Case("left", [announce(), remove(LEFT)], None),
    Case("left_for_good", [announce(), remove(LEFT), announce()], None),
    Case("late_drain_of_a_left_one", [announce(), remove(LEFT), drain()], None),
    Case("late_leave", [announce(), announce(run="i2"), remove(LEFT)], READY),
    Case(
        "late_announcement_of_an_earlier_run",
        [announce(), announce("e2", "i2"), announce()],
        READY,
        "e2",
    ),
    Case("lost", [announce(), remove(LOST)], None),
    Case("back_after_loss", [announce(), remove(LOST), announce("e2")], READY, "e2"),
    Case(
        "back_after_loss_still_drains",
        [announce(), drain(), remove(LOST), announce()],
        DRAINING,
    ),
    Case(
        "left_after_loss",
        [announce(), remove(LOST), remove(LEFT), announce()],
        None,
    ),
    Case(
        "report_of_an_earlier_home",
        [announce(), announce("e2"), remove(LOST, home="e1")],
        READY,
        "e2",
    ),
    Case("report_of_its_home", [announce(), remove(LOST, home="e1")], None),
]


class TargetsSliceTests(unittest.TestCase):
    """State of the slice after commands and snapshots."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_commands(self, _: str, case: Case) -> None:
        machine = machine_of(TargetsSlice)
        for command in case.commands:
            apply(machine, command)
        kept = machine.get(TargetsSlice)
        homed = kept.homed_by_id.get(TARGET_ID)
        self.assertEqual(homed.target.state if homed else None, case.state)
        homes = {case.home: {TARGET_ID}} if case.state else {}
        self.assertEqual(kept.ids_by_home, homes)
        codec = Codec()
        codec.register(TargetsSnapshot)
        restored = TargetsSlice()
        restored.load_snapshot(codec.decode(codec.encode(kept.to_snapshot())))
        self.assertEqual(restored.to_snapshot(), kept.to_snapshot())
        self.assertEqual(restored.ids_by_home, kept.ids_by_home)

    def test_removed_runs_are_bounded(self) -> None:
        """Guards against memory that grows with every restart."""
        machine = machine_of(TargetsSlice)
        for number in range(slices.MAX_REMOVED_RUNS + 20):
            apply(machine, announce(run=f"i{number}"))
        snapshot = machine.get(TargetsSlice).to_snapshot()
        self.assertEqual(len(snapshot.removed), slices.MAX_REMOVED_RUNS)
