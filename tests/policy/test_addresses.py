"""Tests of the order in which callers try the entries.

They guard against callers that use the link between regions needlessly, that
all choose the same entry, or that are sent to a region without a leader.
"""

import unittest
from collections import Counter
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.policy.addresses import EntryLocation, order_entries

LISBOA, PORTO = Region("lisboa"), Region("porto")
LOCATIONS = [
    EntryLocation(InstanceId("a1"), DataCentre("lisboa-a"), LISBOA),
    EntryLocation(InstanceId("b1"), DataCentre("lisboa-b"), LISBOA),
    EntryLocation(InstanceId("p1"), DataCentre("porto-a"), PORTO),
]


@dataclass(frozen=True)
class Case:
    """The caller's location, and the entries that come first and last."""

    name: str
    data_centre: str
    region: str
    first: str
    last: str
    cut_off: Region | None = None


CASES = [
    Case("same_data_centre", "lisboa-b", "lisboa", "b1", "p1"),
    Case("other_region", "porto-a", "porto", "p1", ""),
    Case("only_the_region_is_known", "", "porto", "p1", ""),
    Case("own_region_is_cut_off", "porto-a", "porto", "", "p1", PORTO),
    Case("other_region_is_cut_off", "porto-a", "porto", "p1", "", LISBOA),
]


class OrderTests(unittest.TestCase):
    """Orders of the entries for callers in several locations."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_order(self, _: str, case: Case) -> None:
        order = order_entries(
            LOCATIONS, "caller", case.data_centre, case.region, case.cut_off
        )
        self.assertEqual(len(order), len(LOCATIONS))
        if case.first:
            self.assertEqual(order[0], case.first)
        if case.last:
            self.assertEqual(order[-1], case.last)

    def test_askers_spread_over_entries(self) -> None:
        first = Counter(
            order_entries(LOCATIONS, f"caller-{number}", "", "")[0]
            for number in range(300)
        )
        self.assertEqual(len(first), 3)
        self.assertGreater(min(first.values()), 50)

    def test_asker_keeps_its_choice_when_another_entry_goes(self) -> None:
        for number in range(50):
            caller = f"caller-{number}"
            order = order_entries(LOCATIONS, caller, "", "")
            without = [location for location in LOCATIONS if location.id != order[-1]]
            self.assertEqual(order_entries(without, caller, "", ""), order[:-1])
