"""Tests of the regions by which load reports are distributed.

They guard against reports that reach no entry: a report on a target with an
unknown region is dropped without an error.
"""

import unittest

from goldcrestyard.core.ids import DataCentre, InstanceId, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.plugins.addresses.commands import EntriesSnapshot, Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.scheduling.apps import region_of_entry, region_of_target
from goldcrestyard.plugins.targets.slices import TargetsSlice
from tests.fakes.announcements import announce

LISBOA = Region("lisboa")


class RegionTests(unittest.TestCase):
    """Regions of entries and targets in the replicated state."""

    def test_region_of_an_entry(self) -> None:
        entries = EntriesSlice()
        entry = Entry(
            InstanceId("a"), "1.1.1.1:1", "1.1.1.1:2", DataCentre("x"), LISBOA
        )
        entries.load_snapshot(EntriesSnapshot((entry,)))
        self.assertEqual(region_of_entry(entries, InstanceId("a")), LISBOA)
        self.assertIsNone(region_of_entry(entries, InstanceId("b")))

    def test_region_of_a_target(self) -> None:
        targets = TargetsSlice()
        announce(
            targets,
            Target(
                TargetId("t"),
                TargetKind.ENGINE,
                "1.1.1.1:3",
                DataCentre("x"),
                LISBOA,
                ("inspect-lm",),
            ),
        )
        self.assertEqual(region_of_target(targets, TargetId("t")), LISBOA)
        self.assertIsNone(region_of_target(targets, TargetId("u")))
