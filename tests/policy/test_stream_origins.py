"""Tests of the decision where a stream that a caller takes up goes on.

They guard against a stream that goes on at another software version than the
one that began it.
"""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import (
    EventNumber,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from goldcrestyard.policy.stream_origins import (
    KnownOrigin,
    OnlyVersion,
    OriginDecision,
    StreamOrigin,
    TakeUp,
    UnknownOrigin,
    decide_origin,
    merge_origins,
    only_origin,
)
from tests.fakes.targets import target


def origin(software: str, service: str = "s") -> StreamOrigin:
    return StreamOrigin(ServiceName(service), SoftwareVersion(software))


TAKE_UP = TakeUp(RequestId("a"), EventNumber(5))


@dataclass(frozen=True)
class Case:
    """What is known of a stream, and the decision."""

    name: str
    only: StreamOrigin | None
    recorded: StreamOrigin | None
    expected: OriginDecision
    take_up: TakeUp = TAKE_UP


CASES = [
    Case("known", None, origin("v1"), KnownOrigin(origin("v1"))),
    Case("only_version", origin("v1"), None, OnlyVersion(origin("v1"))),
    Case("unknown", None, None, UnknownOrigin()),
    Case(
        "known_beside_another_one",
        origin("v2"),
        origin("v1"),
        KnownOrigin(origin("v1")),
    ),
    Case(
        "service_no_longer_routed", origin("v1"), origin("v1", "old"), UnknownOrigin()
    ),
    Case("recorded_with_two_versions", origin("v1"), origin(""), UnknownOrigin()),
    Case(
        "no_event_number",
        origin("v1"),
        origin("v1"),
        UnknownOrigin(),
        TakeUp(RequestId("a"), None),
    ),
]


class DecisionTests(unittest.TestCase):
    """Guards against a decision by anything but the recorded version."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_decision(self, _: str, case: Case) -> None:
        decision = decide_origin(case.take_up, case.only, case.recorded, {"s", "t"})
        self.assertEqual(decision, case.expected)

    @parameterized.expand(
        [
            ("one", ["s"], {"v1"}, origin("v1")),
            ("two_versions", ["s"], {"v1", "v2"}, None),
            ("none", ["s"], set(), None),
            ("not_named", ["s"], {""}, None),
            ("not_known_since_when", ["s"], None, None),
            ("two_services", ["s", "t"], {"v1"}, None),
        ]
    )
    def test_only_origin(self, _: str, services, software, expected) -> None:
        self.assertEqual(only_origin(services, software), expected)

    @parameterized.expand(
        [
            ("first", None, "v1", "v1"),
            ("again", "v1", "v1", "v1"),
            ("id_used_twice", "v1", "v2", ""),
            ("id_used_twice_before", "", "v1", ""),
        ]
    )
    def test_merged(self, _: str, known: str | None, noted: str, expected: str) -> None:
        merged = merge_origins(None if known is None else origin(known), origin(noted))
        self.assertEqual(merged, origin(expected))

    @parameterized.expand(
        [
            ("same", "v1", "s", "v1", True),
            ("other_version", "v1", "s", "v2", False),
            ("other_service", "v1", "t", "v1", False),
            ("unknown_version", "", "s", "", False),
        ]
    )
    def test_fits(
        self, _: str, software: str, service: str, announced: str, expected: bool
    ) -> None:
        known = target("a", "s", software=announced)
        self.assertEqual(origin(software, service).fits(known), expected)
