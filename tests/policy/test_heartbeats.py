"""Tests of what a heartbeat means, however late it comes."""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Rental, TargetKind, TargetState
from goldcrestyard.policy.heartbeats import (
    Arrived,
    Heartbeat,
    Known,
    Leaving,
    Meaning,
    Renewed,
    Stale,
    interpret,
)

BEAT = Heartbeat(
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
KNOWN = Known(TARGET, 4)


def other(started_at_ms: int) -> Target:
    return replace(TARGET, id=TargetId("o"), incarnation=str(started_at_ms))


@dataclass(frozen=True)
class Case:
    """A heartbeat with what is known, and what it means."""

    name: str
    beat: Heartbeat
    known: Known | None
    expected: Meaning
    at_address: tuple[Target, ...] = ()


CASES = [
    Case("first", BEAT, None, Arrived(())),
    Case("next", BEAT, KNOWN, Renewed()),
    Case(
        "late",
        replace(BEAT, sequence=4),
        KNOWN,
        Stale("a later heartbeat has come before"),
    ),
    Case(
        "earlier_run",
        replace(BEAT, started_at_ms=999, sequence=9),
        KNOWN,
        Stale("an earlier run of this target"),
    ),
    Case(
        "started_again_with_numbers_from_the_start",
        replace(BEAT, started_at_ms=2000, sequence=1),
        KNOWN,
        Arrived(()),
    ),
    Case(
        "address_of_a_target_that_is_gone",
        BEAT,
        None,
        Arrived((other(900),)),
        (other(900),),
    ),
    Case(
        "address_has_gone_to_a_later_target",
        BEAT,
        None,
        Stale("a target that started later has this address"),
        (other(1100),),
    ),
    Case("leaves", replace(BEAT, state=TargetState.DRAINING), KNOWN, Leaving()),
    Case(
        "leaves_as_before",
        replace(BEAT, state=TargetState.DRAINING),
        Known(replace(TARGET, state=TargetState.DRAINING), 4),
        Renewed(),
    ),
    Case("moved", replace(BEAT, address="10.0.0.2:80"), KNOWN, Arrived(())),
]


class InterpretTests(unittest.TestCase):
    """Guards against work for targets that are gone or leaving."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_meaning(self, _: str, case: Case) -> None:
        at_address = (*case.at_address, TARGET) if case.known else case.at_address
        self.assertEqual(interpret(case.beat, case.known, at_address), case.expected)
