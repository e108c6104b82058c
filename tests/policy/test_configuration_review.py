"""Tests of the review of a configuration, without a network.

They guard against a document that is sent although it would be refused or
would have no effect, against entries that silently never serve, against false
alarms, and against keys in the output.
"""

import unittest
from dataclasses import replace
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import (
    ConfigVersion,
    DataCentre,
    ModelName,
    OrganisationId,
    Region,
    RouteName,
    ServiceName,
)
from goldcrestyard.core.serving import (
    CallerLimits,
    EngineShape,
    RentalBounds,
    RouteKind,
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
    WeightedService,
)
from goldcrestyard.policy.configuration_review import (
    Level,
    differences,
    review,
)

S, Z, P, R2 = ServiceName("s"), ServiceName("z"), OrganisationId("p"), RouteName("r2")
NORTH, SOUTH, EAST = (Region("north"),), (Region("south"),), (Region("east"),)
SPLIT = (WeightedService(S, 1.0),)
# Each limit is at its bound: attempts x objective = timeout, due = item.
KIND = RouteKind.IDEMPOTENT
ROUTE = ServingRoute(RouteName("r"), "h.example", "/q/", KIND, SPLIT, 1.0, 2, 0.5)
ROUTE = replace(ROUTE, due_seconds=7.5, item_seconds=7.5)
RENTAL = RentalBounds(1, 1, 4.0, None, {DataCentre("a"): 1.0})
SERVICE = ServedService(S, EngineShape(6, (ModelName("m"),)), RENTAL)
ORG = ServedOrganisation(OrganisationId("o"), ("secret-1", "secret-2"))
LIMITS = CallerLimits()
CONFIG = ServingConfig(ConfigVersion(7), (ROUTE,), (SERVICE,), LIMITS, (ORG,))


def edited(**fields: Any) -> ServingConfig:
    return replace(CONFIG, routes=(replace(ROUTE, **fields),))


def with_route(**fields: Any) -> ServingConfig:
    return replace(CONFIG, routes=(ROUTE, replace(ROUTE, **fields)))


def rental(least: int, most: int) -> ServingConfig:
    bounds = replace(RENTAL, least=least, most=most)
    return replace(CONFIG, services=(replace(SERVICE, rental=bounds),))


def organisations(*given: ServedOrganisation) -> ServingConfig:
    return replace(CONFIG, organisations=given)


def faulty(count: int) -> ServingConfig:
    bad = replace(ROUTE, timeout_seconds=-1, objective_seconds=None, prefix="/q")
    names = (RouteName(f"r{number}") for number in range(count))
    routes = tuple(replace(bad, name=name, host=name) for name in names)
    return replace(CONFIG, routes=routes)


MORE_SERVICES = replace(CONFIG, services=(SERVICE, ServedService(Z)))
WEIGHT_0 = edited(services=(*SPLIT, WeightedService(S, 0)))
SAME_KEY = organisations(ORG, replace(ORG, id=P))
KEYLESS = organisations(replace(ORG, keys=()))
HOMELY = organisations(replace(ORG, residency=SOUTH))
APART = replace(edited(residency=NORTH), organisations=HOMELY.organisations)
BAD_NAME = organisations(replace(ORG, id=OrganisationId("a\nb")))

FINDINGS: list[tuple[str, ServingConfig, list[str]]] = [
    ("valid_at_all_bounds", CONFIG, []),
    ("unknown_service", replace(CONFIG, services=()), ["E001 route r"]),
    ("all_errors", faulty(4), [f"E00{n} route r{r}" for r in range(4) for n in (4, 5)]),
    ("same_host", with_route(name=R2, host="H.example:80"), ["E006 routes r, r2"]),
    ("shared_key", SAME_KEY, ["E007 organisations o, p"]),
    ("unknown_home", edited(residency=EAST), ["E008 route r"]),
    ("name_that_no_header_can_carry", BAD_NAME, ["E010 organisation 'a\\nb'"]),
    ("service_without_a_route", MORE_SERVICES, ["W001 service z"]),
    ("weight_0", WEIGHT_0, ["W002 route r"]),
    ("no_host", edited(host=""), ["W003 route r"]),
    ("query_in_a_prefix", edited(prefix="/q?a=/"), ["W003 route r"]),
    ("repeated_name", with_route(prefix="/p/"), ["W004 route r"]),
    ("no_key_at_all", KEYLESS, ["W005 route r", "W006 organisation o"]),
    ("no_organisations", organisations(), []),
    ("keys_but_open_routes", edited(open=True), ["W007 organisation o"]),
    ("homes_apart", APART, ["W008 route r"]),
    ("homes_of_one_only", HOMELY, []),
    ("objective_over_timeout", edited(objective_seconds=1.1), ["W011 route r"]),
    ("attempts_over_timeout", edited(max_attempts=3), ["W012 route r"]),
    ("due_after_the_end", edited(due_seconds=7.6), ["W013 route r"]),
    ("least_over_most", rental(2, 1), ["W014 service s"]),
]

RENAMED = edited(name=R2)
TWO_FIELDS = edited(max_attempts=1, kind=RouteKind.STREAMING)
ROLLED = organisations(replace(ORG, keys=("secret-2", "secret-3", "secret-4")))
SMALL = replace(CONFIG, limits=CallerLimits(body_bytes=1))
NO_RENTAL = replace(CONFIG, services=(replace(SERVICE, rental=None),))

CHANGES: list[tuple[str, ServingConfig, list[str]]] = [
    ("none", CONFIG, []),
    ("renamed", RENAMED, ["C002 route r: removed", "C001 route r2: added"]),
    ("repeated", with_route(), ["C001 route r (2): added"]),
    ("inner_field", rental(1, 3), ["C003 service s: rental.most: 1 -> 3"]),
    (
        "two_fields",
        TWO_FIELDS,
        ["C003 route r: kind: idempotent -> streaming; max_attempts: 2 -> 1"],
    ),
    (
        "inner_record_removed",
        NO_RENTAL,
        [
            "C003 service s: rental.least: 1 -> null; rental.most: 1 -> null; "
            "rental.prices_by_data_centre.a: 1.0 -> null; "
            "rental.start_seconds: 4.0 -> null"
        ],
    ),
    (
        "keys_are_counted",
        ROLLED,
        ["C003 organisation o: keys: 2 -> 3 (2 added, 1 removed)"],
    ),
    ("limits", SMALL, ["C003 limits: body_bytes: 33554432 -> 1"]),
]


class ReviewTests(unittest.TestCase):
    """Findings in one document and between two."""

    @parameterized.expand(FINDINGS)
    def test_finding(self, _: str, config: ServingConfig, expected: list[str]) -> None:
        found = review(config, regions={*NORTH, *SOUTH})
        given = [f"{item.id} {item.about}".removeprefix("config.") for item in found]
        self.assertEqual(given, expected)
        self.assertTrue(all(item.hint for item in found))

    @parameterized.expand(CHANGES)
    def test_change(self, _: str, config: ServingConfig, expected: list[str]) -> None:
        found = list(differences(CONFIG, config))
        lines = [f"{item.id} {item.about}: {item.message}" for item in found]
        self.assertEqual(lines, [f"config.{line}" for line in expected])
        self.assertNotIn("secret", repr(found))

    @parameterized.expand([(6, ["config.E011"]), (7, ["config.E011"]), (8, [])])
    def test_version_must_be_higher(self, version: int, expected: list[str]) -> None:
        found = review(replace(CONFIG, version=ConfigVersion(version)), CONFIG)
        errors = [item.id for item in found if item.level is Level.ERROR]
        self.assertEqual(errors, expected)
