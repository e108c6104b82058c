"""Tests of which item goes to which engine."""

import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    ModelName,
    ServiceName,
    TargetId,
    WeightVersion,
)
from goldcrestyard.policy.job_schedule import (
    EngineRoom,
    ItemKey,
    WaitingItem,
    assign,
)

MODEL = ModelName("m")
ITEM = WaitingItem(
    ItemKey(JobId("j"), ItemId("i")),
    ServiceName("engines"),
    MODEL,
    WeightVersion(3),
    GroupId("g"),
)


def room(
    name: str = "e", version: int = 3, in_use: int = 0, **rest: object
) -> EngineRoom:
    return EngineRoom(
        TargetId(name),
        ServiceName("engines"),
        4,
        in_use,
        0.0,
        {MODEL: WeightVersion(version)},
        **rest,  # type: ignore[arg-type]
    )


@dataclass(frozen=True)
class Case:
    """An item, engines, and the engine that gets it."""

    name: str
    rooms: tuple[EngineRoom, ...]
    expected: str | None
    item: WaitingItem = ITEM


CASES = [
    Case("only_one", (room(),), "e"),
    Case("newer_version_will_do", (room(version=4),), "e"),
    Case("older_version_will_not", (room(version=2),), None),
    Case("full", (room(in_use=4),), None),
    Case("loads_the_model", (room(loading=frozenset({MODEL})),), None),
    Case("loads_another_model", (room(loading=frozenset({ModelName("o")})),), "e"),
    Case("less_loaded", (room("a", in_use=3), room("b", in_use=1)), "b"),
    Case(
        "slow_one_is_passed_by",
        (room("a", event_seconds=0.14), room("b", in_use=2, event_seconds=0.035)),
        "b",
    ),
    Case(
        "engine_that_has_read_the_prompt",
        (room("a"), room("b", groups={GroupId("g")})),
        "b",
    ),
    Case(
        "avoided_one_only_if_no_other_can",
        (room("a"), room("b", in_use=3)),
        "b",
        replace(ITEM, avoided=frozenset({TargetId("a")})),
    ),
    Case(
        "avoided_one_where_no_other_can",
        (room("a"),),
        "a",
        replace(ITEM, avoided=frozenset({TargetId("a")})),
    ),
    Case(
        "text_of_one_version_goes_on_under_it_only",
        (room("a", version=4), room("b", in_use=3)),
        "b",
        replace(ITEM, needs_version=WeightVersion(3)),
    ),
    Case(
        "other_service",
        (room(),),
        None,
        replace(ITEM, service=ServiceName("others")),
    ),
]


class AssignTests(unittest.TestCase):
    """Guards against samples of too old weights and against idle engines."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_assign(self, _: str, case: Case) -> None:
        rooms = [replace(given, groups=set(given.groups)) for given in case.rooms]
        expected = [] if case.expected is None else [(case.item.key, case.expected)]
        self.assertEqual(assign([case.item], rooms), expected)

    def test_items_go_in_their_order_until_all_is_full(self) -> None:
        items = [
            replace(ITEM, key=ItemKey(JobId("j"), ItemId(str(number))))
            for number in range(10)
        ]
        assigned = assign(items, [room("a"), room("b", in_use=2)])
        self.assertEqual([key.item for key, _ in assigned], list("012345"))
        self.assertEqual(sum(target == "a" for _, target in assigned), 4)
