"""Tests of the entries that the directory names to each caller."""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass, replace
from types import SimpleNamespace
from unittest import mock

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.fleet.directory import directory
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.directory.listing import DirectorySlice
from goldcrestyard.fleet.directory.settings import LISTED_ENTRIES
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry, RemoveEntry
from tests.fakes.member import machine_of
from tests.fakes.serving import CONFIG, HOST
from tests.fakes.state import apply

CALLERS = [f"10.0.0.{number}" for number in range(200)]
SIZES = (0.387, 0.645, 1.29)
ALL = 64


def entries(
    capacities: Sequence[float | None], zone: str = "a", region: str = "north"
) -> list[Entry]:
    return [
        Entry(
            InstanceId(f"{zone}{number}"),
            f"{zone}{number}:80",
            "",
            DataCentre(zone),
            Region(region),
            capacity=capacity,
        )
        for number, capacity in enumerate(capacities)
    ]


@dataclass(frozen=True)
class Case:
    """Entries near a caller of data centre ``a``, and how many it gets."""

    name: str
    capacities: tuple[float | None, ...]
    named: int
    caller: str = CALLERS[0]
    listed_entries: int = LISTED_ENTRIES


CASES = [
    Case("equal", (0.5,) * 12, 12),
    Case("none_known", (None,) * 12, 12),
    Case("unknown_ones_among_equal_ones", (0.5, None) * 6, 12),
    Case("caller_is_not_known", SIZES * 4, 12, ""),
    Case("no_more_than_the_list_has", (*SIZES, *SIZES[:2]), 5),
    Case("switched_off", SIZES * 4, 12, listed_entries=0),
    Case("different", SIZES * 4, 5),
    Case("one_differs", (0.5,) * 11 + (0.6,), 5),
    Case("unknown_ones_among_different_ones", (*SIZES, None) * 3, 5),
    Case("shorter_list", SIZES * 4, 3, listed_entries=3),
    Case("list_that_is_too_short", SIZES * 4, 3, listed_entries=1),
    Case("many", SIZES * 100, 5),
    Case("many_that_are_equal", (0.5,) * 300, 64),
]


class DirectoryTests(unittest.TestCase):
    """Guards against lists that change, and that leave out what is needed."""

    def _directory(self, known: list[Entry], listed: int = LISTED_ENTRIES) -> Directory:
        self.machine = machine_of(DirectorySlice, ServingSlice)
        for entry in known:
            apply(self.machine, PutEntry(entry))
        member = SimpleNamespace(machine=self.machine, leader="m1")
        return Directory(member, listed)  # type: ignore[arg-type]

    def _named(
        self, found: Directory, caller: str = CALLERS[0], region: str = "north"
    ) -> tuple[str, ...]:
        answer = found.look_up("a", region, ALL, HOST, caller)
        assert answer is not None
        return answer.addresses

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_named(self, _: str, case: Case) -> None:
        known = entries(case.capacities)
        found = self._directory(
            [*known, *entries(SIZES, "b")], listed=case.listed_entries
        )
        named = self._named(found, case.caller)
        self.assertEqual(len(named), case.named)
        if case.named == min(ALL, len(known)):
            # Today's answer, in its order.
            wanted = tuple(entry.public_address for entry in known)[:ALL]
            self.assertEqual(named, wanted)
        else:
            self.assertLess(set(named), {entry.public_address for entry in known})
        for other in CALLERS:
            self._named(found, other)
        self.assertEqual(self._named(found, case.caller), named)

    def test_callers_keep_their_lists_when_others_come_and_go(self) -> None:
        known = entries(SIZES * 4)
        found = self._directory(known)
        before = {caller: self._named(found, caller) for caller in CALLERS}
        gone, draining = known[2], known[3]
        apply(self.machine, RemoveEntry(gone.id))
        apply(self.machine, PutEntry(replace(draining, draining=True)))
        lost = {gone.public_address, draining.public_address}
        for caller, named in before.items():
            now = self._named(found, caller)
            kept = [address for address in named if address not in lost]
            self.assertEqual(list(now[: len(kept)]), kept)
            self.assertEqual(len(now), LISTED_ENTRIES)
            self.assertFalse(lost & set(now))
        apply(self.machine, PutEntry(gone))
        apply(self.machine, PutEntry(draining))
        after = {caller: self._named(found, caller) for caller in CALLERS}
        self.assertEqual(after, before)

    def test_homes_are_respected(self) -> None:
        north, south = entries((0.5,)), entries(SIZES * 4, "c", "south")
        found = self._directory([*north, *south])
        self.assertEqual(len(self._named(found, region="")), LISTED_ENTRIES)
        routes = tuple(
            replace(route, residency=(Region("north"),)) for route in CONFIG.routes
        )
        apply(self.machine, PutServing(replace(CONFIG, routes=routes), b""))
        self.assertEqual(self._named(found, region=""), ("a0:80",))
        answer = found.look_up("c", "south", ALL, HOST, CALLERS[0])
        assert answer is not None
        self.assertEqual(len(answer.addresses), LISTED_ENTRIES)

    def test_entries_are_hashed_once_for_each_caller(self) -> None:
        found = self._directory(entries(SIZES * 100))
        with mock.patch.object(
            directory, "entries_by_capacity", wraps=directory.entries_by_capacity
        ) as hashing:
            for _ in range(3):
                for number, caller in enumerate(CALLERS):
                    # Regions that callers make up are one and the same.
                    found.look_up("a", f"region-{number}", ALL, HOST, caller)
            self.assertEqual(hashing.call_count, len(CALLERS))
            apply(self.machine, RemoveEntry(InstanceId("a1")))
            self._named(found)
            self.assertEqual(hashing.call_count, len(CALLERS) + 1)

    def test_kept_lists_are_bounded(self) -> None:
        found = self._directory(entries(SIZES * 2))
        with mock.patch.object(directory, "MAX_KEPT_LISTS", 10):
            for caller in CALLERS:
                self._named(found, caller)
                self.assertLessEqual(len(found._lists_by_caller), 10)

    def test_no_entry_or_no_leader(self) -> None:
        found = self._directory([])
        self.assertIsNone(found.look_up("a", "north", ALL))
        apply(self.machine, PutEntry(replace(entries(SIZES)[0], draining=True)))
        self.assertIsNone(found.look_up("a", "north", ALL))
