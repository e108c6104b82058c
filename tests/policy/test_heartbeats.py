"""Tests of the interpretation of heartbeats."""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, SoftwareVersion, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Rental, TargetKind, TargetState
from goldcrestyard.policy.heartbeats import (
    Arrived,
    Heartbeat,
    KnownTarget,
    Leaving,
    Meaning,
    Renewed,
    Stale,
    interpret,
)

HEARTBEAT = Heartbeat(
    TargetId("t"),
    1000,
    5,
    "quotes",
    "10.0.0.1:80",
    DataCentre("dc"),
    6,
    TargetState.READY,
    Rental.ON_DEMAND,
    {},
)
TARGET = Target(
    TargetId("t"),
    TargetKind.SERVICE,
    "10.0.0.1:80",
    DataCentre("dc"),
    Region("r"),
    ("quotes",),
    incarnation="1000",
)
KNOWN = KnownTarget(TARGET, 4)


def other(started_at_ms: int) -> Target:
    return replace(TARGET, id=TargetId("o"), incarnation=str(started_at_ms))


@dataclass(frozen=True)
class Case:
    """A heartbeat, the recorded targets, and the effect."""

    name: str
    heartbeat: Heartbeat
    known: KnownTarget | None
    expected: Meaning
    at_address: tuple[Target, ...] = ()
    services: tuple[str, ...] | None = None
    now: float | None = None


UNCONFIGURED = replace(other(1100), serves=("billing",))
ODD = replace(HEARTBEAT, service="billing")

CASES = [
    Case("first", HEARTBEAT, None, Arrived(())),
    Case("next", HEARTBEAT, KNOWN, Renewed()),
    Case(
        "late",
        replace(HEARTBEAT, sequence=4),
        KNOWN,
        Stale("a later heartbeat was received before"),
    ),
    Case(
        "earlier_run",
        replace(HEARTBEAT, started_at_ms=999, sequence=9),
        KNOWN,
        Stale("an earlier run of this target"),
    ),
    Case(
        "started_again_with_numbers_from_the_start",
        replace(HEARTBEAT, started_at_ms=2000, sequence=1),
        KNOWN,
        Arrived(()),
    ),
    Case(
        "address_of_a_target_that_is_gone",
        HEARTBEAT,
        None,
        Arrived((other(900),)),
        (other(900),),
    ),
    Case(
        "address_has_gone_to_a_later_target",
        HEARTBEAT,
        None,
        Stale("a target that started later has this address"),
        (other(1100),),
    ),
    Case(
        "names_another_software_in_the_same_run",
        replace(HEARTBEAT, software=SoftwareVersion("v2")),
        KnownTarget(replace(TARGET, software=SoftwareVersion("v1")), 4),
        Renewed(),
    ),
    Case("leaves", replace(HEARTBEAT, state=TargetState.DRAINING), KNOWN, Leaving()),
    Case(
        "leaves_as_before",
        replace(HEARTBEAT, state=TargetState.DRAINING),
        KnownTarget(replace(TARGET, state=TargetState.DRAINING), 4),
        Renewed(),
    ),
    Case(
        "recorded_without_its_software",
        replace(HEARTBEAT, software=SoftwareVersion("v1")),
        KNOWN,
        Arrived(()),
    ),
    Case("moved", replace(HEARTBEAT, address="10.0.0.2:80"), KNOWN, Arrived(())),
    Case(
        "unknown_service",
        ODD,
        None,
        Stale("its service is not configured"),
        services=("quotes",),
    ),
    Case(
        "unknown_service_at_the_address_of_a_target",
        replace(ODD, started_at_ms=2000),
        None,
        Stale("its service is not configured"),
        (other(1100),),
        services=("quotes",),
    ),
    Case(
        "unknown_service_under_the_id_of_a_target",
        replace(ODD, started_at_ms=2000, state=TargetState.DRAINING),
        KNOWN,
        Stale("its service is not configured"),
        services=("quotes",),
    ),
    Case(
        "unknown_service_as_the_run_of_a_target",
        replace(ODD, state=TargetState.DRAINING),
        KNOWN,
        Stale("another service than that of this run"),
        services=("quotes",),
    ),
    Case(
        "other_service_as_the_run_of_a_target",
        replace(HEARTBEAT, service="engines", state=TargetState.DRAINING),
        KNOWN,
        Stale("another service than that of this run"),
        services=("quotes", "engines"),
    ),
    Case(
        "beside_a_target_of_an_unknown_service",
        HEARTBEAT,
        None,
        Arrived(()),
        (UNCONFIGURED,),
        services=("quotes",),
    ),
    Case(
        "known_run_beside_a_target_of_an_unknown_service",
        HEARTBEAT,
        KNOWN,
        Renewed(),
        (UNCONFIGURED,),
        services=("quotes",),
    ),
    Case(
        "run_of_a_service_that_is_no_longer_configured",
        replace(HEARTBEAT, state=TargetState.DRAINING),
        KNOWN,
        Leaving(),
        services=(),
    ),
    Case(
        "start_in_the_future",
        replace(HEARTBEAT, started_at_ms=10**15),
        KNOWN,
        Stale("its start lies in the future"),
        services=("quotes",),
        now=2.0,
    ),
    Case(
        "clock_ahead_by_seconds",
        replace(HEARTBEAT, started_at_ms=12_000),
        None,
        Arrived(()),
        services=("quotes",),
        now=2.0,
    ),
]


class InterpretTests(unittest.TestCase):
    """Guards against work for targets that have ended or are draining."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_meaning(self, _: str, case: Case) -> None:
        at_address = (*case.at_address, TARGET) if case.known else case.at_address
        meaning = interpret(
            case.heartbeat, case.known, at_address, case.services, case.now
        )
        self.assertEqual(meaning, case.expected)
