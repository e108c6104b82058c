"""Tests of the targets slice.

They guard against late messages that restore a removed target, remove one
that has moved or restarted, or end a drain.
"""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass
from unittest.mock import patch

from parameterized import parameterized

from goldcrestyard.core.ids import TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.plugins.targets import slices, software
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    LeaveTarget,
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


class SoftwareTests(unittest.TestCase):
    """Guards against a version forgotten while its streams may go on."""

    def _target(self, name: str, software: str, run: str = "i1") -> AnnounceTarget:
        announced = Target(
            name,
            TargetKind.SERVICE,
            "h:1",
            "a",
            "r",
            ("s",),
            incarnation=run,
            software=software,
        )
        return AnnounceTarget(announced, "e1")

    @parameterized.expand(
        [
            ("serves", (), {"v1"}),
            ("drains", (DrainTarget("a", "i1"),), {"v1"}),
            ("left", (RemoveTarget("a", "i1", LEFT),), {"v1"}),
            ("left_unannounced", (LeaveTarget("a"),), {"v1"}),
            ("started_again", ("v2",), {"v1", "v2"}),
            ("moved", ("v1",), {"v1"}),
        ]
    )
    def test_versions(self, _: str, changes, expected) -> None:
        machine = machine_of(TargetsSlice)
        apply(machine, self._target("a", "v1"), time=100.0)
        for change in changes:
            if isinstance(change, str):
                change = self._target("a", change, run="i2")
            apply(machine, change, time=200.0)
        targets = machine.get(TargetsSlice)
        codec = Codec()
        codec.register(TargetsSnapshot)
        snapshot = codec.decode(codec.encode(targets.to_snapshot()))
        again = TargetsSlice()
        again.load_snapshot(snapshot)
        for slice_ in (targets, again):
            self.assertEqual(slice_.software_since("s", 150.0), expected)
            present = {homed.target.software for homed in slice_.homed_by_id.values()}
            self.assertEqual(slice_.software_since("s", 250.0), present)

    def test_snapshot_of_a_former_release(self) -> None:
        """What left before is not known, so nothing may be concluded."""
        machine = machine_of(TargetsSlice)
        targets = machine.get(TargetsSlice)
        targets.load_snapshot(TargetsSnapshot(()))
        self.assertIsNone(targets.software_since("s", 50.0))
        apply(machine, self._target("a", "v1"), time=100.0)
        self.assertIsNone(targets.software_since("s", 99.0))
        self.assertEqual(targets.software_since("s", 100.0), {"v1"})

    def test_bound(self) -> None:
        """Beyond the bound the record counts as new."""
        machine = machine_of(TargetsSlice)
        self.enterContext(patch.object(software, "MAX_LEFT", 2))
        for number in range(3):
            apply(machine, self._target("a", f"v{number}", f"i{number}"), time=100.0)
        targets = machine.get(TargetsSlice)
        self.assertIsNotNone(targets.software_since("s", 50.0))
        apply(machine, self._target("a", "v3", "i3"), time=101.0)
        self.assertIsNone(targets.software_since("s", 100.5))
