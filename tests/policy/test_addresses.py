"""Tests of the entries that callers get, and of the order of trying them.

They guard against callers that use the link between regions needlessly, that
all choose the same entry, or that are sent to a region without a leader; and
against small entries that get as many callers as large ones.
"""

import unittest
from collections import Counter
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.policy.addresses import (
    EntryLocation,
    entries_by_capacity,
    known_capacities,
    order_entries,
)

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


CALLERS = [f"10.0.{number // 250}.{number % 250}" for number in range(6000)]
SHARE_TOLERANCE = 0.25
"""Largest deviation from the share that the capacity asks for.  Equal shares
deviate by 0.5 and more in each case."""


@dataclass(frozen=True)
class ShareCase:
    """Capacities of the entries near a caller, and the length of its list."""

    name: str
    capacities: tuple[float, ...]
    listed: int = 5


SHARE_CASES = [
    ShareCase("three_sizes", (0.387,) * 4 + (0.645,) * 4 + (1.29,) * 4),
    ShareCase("few_large_ones", (0.387,) * 9 + (1.29,) * 3),
    ShareCase("few_small_ones", (0.387,) * 3 + (1.29,) * 9),
    ShareCase("short_list", (0.387,) * 3 + (1.29,) * 3, 3),
    ShareCase("many", (0.387, 0.645, 1.29) * 20),
]


def capacities_of(values: tuple[float, ...]) -> dict[InstanceId, float]:
    return {InstanceId(f"e{number}"): value for number, value in enumerate(values)}


class CapacityTests(unittest.TestCase):
    """Entries of callers that choose at random among those they get."""

    @parameterized.expand([(case.name, case) for case in SHARE_CASES])
    def test_shares_follow_the_capacities(self, _: str, case: ShareCase) -> None:
        capacities = capacities_of(case.capacities)
        count_by_entry: Counter[InstanceId] = Counter()
        for caller in CALLERS:
            listed = entries_by_capacity(capacities, caller, case.listed)
            self.assertEqual(len(set(listed)), case.listed)
            count_by_entry.update(listed)
        total = sum(case.capacities)
        shares: dict[float, float] = Counter()
        for entry, capacity in capacities.items():
            share = count_by_entry[entry] / (case.listed * len(CALLERS))
            shares[capacity] += share * total / capacity
        for capacity, share in shares.items():
            mean = share / case.capacities.count(capacity)
            self.assertAlmostEqual(mean, 1.0, delta=SHARE_TOLERANCE, msg=f"{capacity}")

    @parameterized.expand([(case.name, case) for case in SHARE_CASES])
    def test_removed_entry_moves_only_its_callers(
        self, _: str, case: ShareCase
    ) -> None:
        capacities = capacities_of(case.capacities)
        removed = InstanceId(f"e{len(capacities) - 1}")
        fewer = {e: value for e, value in capacities.items() if e != removed}
        moved = 0
        for caller in CALLERS[:1000]:
            before = entries_by_capacity(capacities, caller, case.listed)
            after = entries_by_capacity(fewer, caller, case.listed)
            kept = [entry for entry in before if entry != removed]
            self.assertEqual(after[: len(kept)], kept)
            moved += removed in before
        self.assertGreater(moved, 0)
        self.assertLess(moved, 1000)

    @parameterized.expand(
        [
            ("none_known", (None, None), (1.0, 1.0)),
            ("all_known", (0.4, 1.2), (0.4, 1.2)),
            ("median_of_the_others", (0.4, None, 1.2, 0.6), (0.4, 0.6, 1.2, 0.6)),
            ("between_two", (0.4, 1.2, None), (0.4, 1.2, 0.8)),
        ]
    )
    def test_unknown_capacity(
        self, _: str, given: tuple[float | None, ...], expected: tuple[float, ...]
    ) -> None:
        entries = {InstanceId(f"e{n}"): value for n, value in enumerate(given)}
        found = known_capacities(entries)
        self.assertEqual(list(found), list(entries))
        for capacity, wanted in zip(found.values(), expected, strict=True):
            self.assertAlmostEqual(capacity, wanted)
