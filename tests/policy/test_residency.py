"""Tests of where requests may be served, stored and directed.

They guard against a request that leaves its home regions, and against refusing
or hiding what has no homes.
"""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, OrganisationId, Region, ServiceName
from goldcrestyard.core.serving import ServedOrganisation, ServedService, ServingConfig
from goldcrestyard.policy.addresses import EntryLocation
from goldcrestyard.policy.residency import (
    allowed_regions,
    may_be_stored,
    nameable_entries,
)
from goldcrestyard.policy.serving import ServingTable, faults
from tests.policy.test_addresses import LOCATIONS
from tests.policy.test_serving import route

L, P, X = Region("lisboa"), Region("porto"), Region("elsewhere")
HOST = "h.example"
HOLDER, OTHER = OrganisationId("holder"), OrganisationId("other")


@dataclass(frozen=True)
class Case:
    """Homes of the route and of the organisation, and what they allow."""

    name: str
    route: tuple[Region, ...] = ()
    organisation: tuple[Region, ...] = ()
    allowed: frozenset[Region] | None = None
    stored: bool = False
    """Whether control members in both regions may store a body."""


CASES = [
    Case("neither_has_homes", stored=True),
    Case("route_only", (L,), (), frozenset({L})),
    Case("organisation_only", (), (P,), frozenset({P})),
    Case("both_the_same", (L,), (L,), frozenset({L})),
    Case("intersection", (L, P), (P, X), frozenset({P})),
    Case("nothing_in_common", (L,), (P,), frozenset()),
    Case("all_regions", (L, P), (), frozenset({L, P}), stored=True),
    Case("more_than_all", (L, P, X), (P, L), frozenset({L, P}), stored=True),
]


def table(routes: tuple[tuple[str, str, tuple[Region, ...]], ...]) -> ServingTable:
    """Return the table of routes with their host, prefix and homes."""
    return ServingTable(
        ServingConfig(
            ConfigVersion(1),
            tuple(
                replace(route(prefix, prefix, host), residency=homes)
                for host, prefix, homes in routes
            ),
        )
    )


class AllowedTests(unittest.TestCase):
    """Regions in which a request may be served and stored."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_allowed(self, _: str, case: Case) -> None:
        allowed = allowed_regions(case.route, case.organisation)
        self.assertEqual(allowed, case.allowed)
        self.assertEqual(may_be_stored(allowed, (L, P)), case.stored)

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_configuration_allows_the_same(self, _: str, case: Case) -> None:
        served = replace(route("r", "/r/"), residency=case.route)
        config = ServingConfig(
            ConfigVersion(1),
            (served, route("free", "/free/")),
            (ServedService(ServiceName("s")),),
            organisations=(
                ServedOrganisation(HOLDER, ("k",), None, case.organisation),
                ServedOrganisation(OTHER, ("o",)),
            ),
        )
        found = ServingTable(config)
        self.assertEqual(found.has_homes, bool(case.route or case.organisation))
        self.assertEqual(found.allowed_regions(served, HOLDER), case.allowed)
        self.assertEqual(
            found.allowed_regions(served, OTHER), allowed_regions(case.route)
        )
        self.assertIsNone(found.allowed_regions(config.routes[1], OTHER))
        self.assertIsNone(found.allowed_regions(config.routes[1], None))
        homes = {*case.route, *case.organisation}
        self.assertEqual(bool(list(faults(config, {L, P}))), not homes <= {L, P})


@dataclass(frozen=True)
class DirectoryCase:
    """Routes of a host, the caller's region, and the entries named to it."""

    name: str
    routes: tuple[tuple[str, str, tuple[Region, ...]], ...]
    caller: str
    named: str
    entries: str = "a1 b1 p1"


BOTH = ((HOST, "/l/", (L,)), (HOST, "/p/", (P,)))
DIRECTORY_CASES = [
    DirectoryCase("no_homes", ((HOST, "/", ()),), "porto", "a1 b1 p1"),
    DirectoryCase("homes_of_another_host", (("o", "/", (L,)),), "porto", "a1 b1 p1"),
    DirectoryCase("caller_at_home", ((HOST, "/", (L,)),), "lisboa", "a1 b1"),
    DirectoryCase("caller_elsewhere", ((HOST, "/", (L,)),), "porto", "a1 b1 p1"),
    DirectoryCase("caller_unknown", ((HOST, "/", (P,)),), "", "p1"),
    DirectoryCase("no_entry_at_home", ((HOST, "/", (X,)),), "", "a1 b1 p1"),
    DirectoryCase(
        "no_entry_left_there", ((HOST, "/", (P,)),), "porto", "a1 b1", "a1 b1"
    ),
    DirectoryCase("common_to_all_routes", (*BOTH, (HOST, "/", ())), "porto", "p1"),
    DirectoryCase("of_any_route_if_none_is_common", BOTH, "", "a1 b1 p1"),
    DirectoryCase(
        "host_with_a_port", ((f"{HOST}:80", "/", (P,)),), "", "p1", "a1 b1 p1"
    ),
]


class DirectoryTests(unittest.TestCase):
    """Entries that the directory names to a caller of a host."""

    @parameterized.expand([(case.name, case) for case in DIRECTORY_CASES])
    def test_named(self, _: str, case: DirectoryCase) -> None:
        entries: list[EntryLocation] = [
            location for location in LOCATIONS if location.id in case.entries.split()
        ]
        homes = table(case.routes).homes_of_host(HOST)
        named = nameable_entries(entries, homes, case.caller)
        self.assertEqual([entry.id for entry in named], case.named.split())
