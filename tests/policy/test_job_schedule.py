"""Tests of the scheduling of job items on engines."""

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
    EngineSlots,
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


def engine(
    name: str = "e", version: int = 3, in_use: int = 0, **rest: object
) -> EngineSlots:
    return EngineSlots(
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
    """An item, the engines, and the engine that the item is assigned to."""

    name: str
    engines: tuple[EngineSlots, ...]
    expected: str | None
    item: WaitingItem = ITEM


CASES = [
    Case("only_one", (engine(),), "e"),
    Case("newer_version_will_do", (engine(version=4),), "e"),
    Case("older_version_will_not", (engine(version=2),), None),
    Case("full", (engine(in_use=4),), None),
    Case("loads_the_model", (engine(loading=frozenset({MODEL})),), None),
    Case("loads_another_model", (engine(loading=frozenset({ModelName("o")})),), "e"),
    Case("less_loaded", (engine("a", in_use=3), engine("b", in_use=1)), "b"),
    Case(
        "slow_one_is_passed_by",
        (
            engine("a", seconds_per_event=0.14),
            engine("b", in_use=2, seconds_per_event=0.035),
        ),
        "b",
    ),
    Case(
        "engine_that_has_read_the_prompt",
        (engine("a"), engine("b", groups={GroupId("g")})),
        "b",
    ),
    Case(
        "avoided_one_only_if_no_other_can",
        (engine("a"), engine("b", in_use=3)),
        "b",
        replace(ITEM, avoided_engines=frozenset({TargetId("a")})),
    ),
    Case(
        "avoided_one_where_no_other_can",
        (engine("a"),),
        "a",
        replace(ITEM, avoided_engines=frozenset({TargetId("a")})),
    ),
    Case(
        "text_of_one_version_goes_on_under_it_only",
        (engine("a", version=4), engine("b", in_use=3)),
        "b",
        replace(ITEM, required_version=WeightVersion(3)),
    ),
    Case(
        "other_service",
        (engine(),),
        None,
        replace(ITEM, service=ServiceName("others")),
    ),
]


class AssignTests(unittest.TestCase):
    """Guards against samples of outdated weights and against idle engines."""

    @parameterized.expand([(case.name, case) for case in CASES])
    def test_assign(self, _: str, case: Case) -> None:
        # ``assign`` changes the engines, which the table shares.
        engines = [replace(given, groups=set(given.groups)) for given in case.engines]
        expected = [] if case.expected is None else [(case.item.key, case.expected)]
        self.assertEqual(assign([case.item], engines), expected)

    def test_items_go_in_their_order_until_all_is_full(self) -> None:
        items = [
            replace(ITEM, key=ItemKey(JobId("j"), ItemId(str(number))))
            for number in range(10)
        ]
        assigned = assign(items, [engine("a"), engine("b", in_use=2)])
        self.assertEqual([key.item for key, _ in assigned], list("012345"))
        self.assertEqual(sum(target == "a" for _, target in assigned), 4)
