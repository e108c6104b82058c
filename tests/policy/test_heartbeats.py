"""Tests of the interpretation of heartbeats."""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, TargetId
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
    Case("leaves", replace(HEARTBEAT, state=TargetState.DRAINING), KNOWN, Leaving()),
    Case(
        "leaves_as_before",
        replace(HEARTBEAT, state=TargetState.DRAINING),
        KnownTarget(replace(TARGET, state=TargetState.DRAINING), 4),
        Renewed(),
    ),
    Case("moved", replace(HEARTBEAT, address="10.0.0.2:80"), KNOWN, Arrived(())),
]


class InterpretTests(unittest.TestCase):
    """Guards against work for targets that have ended or are draining."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_meaning(self, _: str, case: Case) -> None:
        at_address = (*case.at_address, TARGET) if case.known else case.at_address
        self.assertEqual(
            interpret(case.heartbeat, case.known, at_address), case.expected
        )
