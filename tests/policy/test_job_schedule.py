"""Tests of the scheduling of job items on engines."""

import unittest
from collections import Counter
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    ModelName,
    Region,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.policy.item_lengths import DEFAULT_EVENTS
from goldcrestyard.policy.job_schedule import (
    TEXT_WAIT_SECONDS,
    EngineSlots,
    EngineTrust,
    ItemKey,
    TextLoss,
    WaitingItem,
    assign,
    longest_first,
    text_loss,
)

MODEL = ModelName("m")
ITEM = WaitingItem(
    ItemKey(JobId("j"), ItemId("i")),
    ServiceName("engines"),
    MODEL,
    WeightVersion(3),
    GroupId("g"),
)


NORTH, SOUTH = Region("north"), Region("south")
V1, V2, UNKNOWN = SoftwareVersion("v1"), SoftwareVersion("v2"), SoftwareVersion("")
TEXT = replace(ITEM, required_software=V1)

LONG = replace(ITEM, prompt_tokens=100.0, text_tokens=400.0)


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
        "text_goes_on_at_its_software_only",
        (engine("a", software=V2), engine("b", in_use=3, software=V1)),
        "b",
        TEXT,
    ),
    Case("text_waits_for_its_software", (engine(software=V2),), None, TEXT),
    Case(
        "text_of_unknown_software_goes_on_nowhere",
        (engine(software=UNKNOWN),),
        None,
        replace(ITEM, required_software=UNKNOWN),
    ),
    Case(
        "one_that_has_ended_is_the_last",
        (engine("a", refuses=True), engine("b", in_use=3)),
        "b",
    ),
    Case(
        "none_outside_the_home_regions",
        (engine("a", region=NORTH), engine("b", in_use=3, region=SOUTH)),
        "b",
        replace(ITEM, regions=frozenset({SOUTH})),
    ),
    Case(
        "waits_for_an_engine_at_home",
        (engine("a", region=NORTH), engine("b", region=SOUTH)),
        None,
        replace(ITEM, regions=frozenset()),
    ),
    Case("one_that_has_ended_if_no_other_can", (engine(refuses=True),), "e"),
    Case(
        "avoided_by_all_though_the_others_are_full",
        (engine("a", trust=EngineTrust.AVOIDED), engine("b", in_use=4)),
        None,
    ),
    Case(
        "avoided_by_all_where_no_other_serves",
        (engine("a", trust=EngineTrust.AVOIDED), engine("b", version=2)),
        "a",
    ),
    Case(
        "all_avoided_get_one_item_each",
        (
            engine("a", in_use=1, trust=EngineTrust.AVOIDED),
            engine("b", in_use=1, trust=EngineTrust.AVOIDED),
        ),
        None,
    ),
    Case("on_trial", (engine(trust=EngineTrust.ON_TRIAL),), "e"),
    Case(
        "on_trial_with_an_item",
        (engine("a", in_use=1, trust=EngineTrust.ON_TRIAL), engine("b", in_use=3)),
        "b",
    ),
    Case(
        "fits_into_the_memory_of_another",
        (
            engine("a", in_use=1, memory_tokens=900, tokens_in_use=500),
            engine("b", in_use=3, memory_tokens=900, tokens_in_use=400),
        ),
        "b",
        LONG,
    ),
    Case(
        "fits_into_no_memory",
        (engine(in_use=1, memory_tokens=900, tokens_in_use=500),),
        None,
        LONG,
    ),
    Case(
        "group_shares_its_prompt",
        (
            engine(
                in_use=1,
                memory_tokens=900,
                tokens_in_use=500,
                running_groups={GroupId("g")},
            ),
        ),
        "e",
        LONG,
    ),
    Case(
        "engine_that_runs_nothing_takes_any",
        (engine(memory_tokens=100),),
        "e",
        LONG,
    ),
    Case(
        "overdue_at_an_engine_under_half_full",
        (engine(in_use=1, memory_tokens=900, tokens_in_use=1000),),
        "e",
        replace(LONG, overdue=True),
    ),
    Case(
        "overdue_at_an_engine_that_is_half_full",
        (engine(in_use=2, memory_tokens=900, tokens_in_use=500),),
        None,
        replace(LONG, overdue=True),
    ),
    Case("memory_is_not_known", (engine(in_use=3, tokens_in_use=9e9),), "e", LONG),
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
        engines = [
            replace(
                given,
                groups=set(given.groups),
                running_groups=set(given.running_groups),
            )
            for given in case.engines
        ]
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

    @parameterized.expand([("one_group", "g", 4), ("several_groups", "", 3)])
    def test_items_that_start_at_once_fill_the_memory(
        self, _: str, group: str, expected: int
    ) -> None:
        """Guards against a memory that is counted only before a pass.

        An item without a group shares its prompt with none.
        """
        items = [
            replace(LONG, key=ItemKey(JobId("j"), ItemId(str(number))))
            for number in range(9)
        ]
        items = [replace(item, group=GroupId(group)) for item in items]
        assigned = assign(items, [engine("a", memory_tokens=1700)])
        self.assertEqual(len(assigned), expected)

    def test_large_item_keeps_an_engine_from_the_smaller_ones_behind_it(self) -> None:
        """Guards against a large item that never starts, though it is first.

        Smaller items would take each part of the memory that becomes free.
        """
        small = replace(
            ITEM, key=ItemKey(JobId("j"), ItemId("small")), text_tokens=100.0
        )
        engines = [
            engine("a", in_use=1, memory_tokens=900, tokens_in_use=500),
            engine("b", in_use=1, memory_tokens=900, tokens_in_use=700),
        ]
        assigned = assign([LONG, small], engines)
        self.assertEqual(assigned, [(small.key, "b")])
        self.assertEqual(assign([LONG, small], engines[:1]), [])

    @parameterized.expand([("none", 0), ("one", 1), ("more_than_slots", 9)])
    def test_engine_with_a_request_limit_starts_no_more_than_it_accepts(
        self, _: str, permitted_runs: int
    ) -> None:
        items = [
            replace(ITEM, key=ItemKey(JobId("j"), ItemId(str(number))))
            for number in range(10)
        ]
        limited = engine("a", permitted_runs=permitted_runs)
        assigned = assign(items, [limited, engine("b")])
        started = Counter(target for _, target in assigned)
        self.assertEqual(started["a"], min(permitted_runs, 4))
        self.assertEqual(started["b"], 4)


@dataclass(frozen=True)
class Loss:
    """Engines, the seconds since the last run, and why the text is lost.

    ``unheard`` is the software of ready engines whose weights are not known.
    """

    name: str
    engines: tuple[EngineSlots, ...]
    seconds: float
    expected: TextLoss | None
    unheard: tuple[SoftwareVersion, ...] = ()
    item: WaitingItem = TEXT


FREE_V1, FULL_V1 = engine("a", software=V1), engine("a", in_use=4, software=V1)
OLD_V1, ENDED_V1 = engine(version=2, software=V1), engine(software=V1, refuses=True)
FREE_V2, FULL_V2 = engine("b", software=V2), engine("b", in_use=4, software=V2)
LATE = TEXT_WAIT_SECONDS
AVOIDS_A = replace(TEXT, avoided_engines=frozenset({TargetId("a")}))
LOSSES = [
    Loss("no_text", (FREE_V2,), LATE, None, item=ITEM),
    Loss("free", (FREE_V1, FREE_V2), LATE, None),
    Loss("none_is_left", (FREE_V2,), 0.0, TextLoss.NO_ENGINE),
    Loss(
        "none_is_left_and_no_slot_is_free",
        (FULL_V2,),
        LATE,
        TextLoss.NO_ENGINE,
    ),
    Loss("all_are_full", (FULL_V1, FULL_V2), LATE, TextLoss.NO_FREE_ENGINE),
    Loss(
        "avoided_but_the_only_one",
        (FREE_V1,),
        LATE,
        TextLoss.NO_FREE_ENGINE,
        item=AVOIDS_A,
    ),
    Loss("weights_not_known_yet", (FREE_V2,), 0.5, None, (V1,)),
    Loss("weights_too_old", (OLD_V1, FREE_V2), 0.0, TextLoss.NO_ENGINE),
    Loss("has_ended", (ENDED_V1, FREE_V2), 0.0, TextLoss.NO_FREE_ENGINE),
    Loss("one_of_two_has_ended", (ENDED_V1, FULL_V1, FREE_V2), 0.5, None),
    Loss("full_for_a_moment", (FULL_V1, FREE_V2), 0.5, None),
    Loss("full_for_long", (FULL_V1, FREE_V2), LATE, TextLoss.NO_FREE_ENGINE),
    Loss("avoided_for_a_moment", (FREE_V1, FREE_V2), 0.5, None, item=AVOIDS_A),
    Loss(
        "avoided_for_long",
        (FREE_V1, FREE_V2),
        LATE,
        TextLoss.NO_FREE_ENGINE,
        item=AVOIDS_A,
    ),
    Loss(
        "unknown",
        (FREE_V1,),
        0.0,
        TextLoss.UNKNOWN_SOFTWARE,
        item=replace(ITEM, required_software=UNKNOWN),
    ),
]


class TextLossTests(unittest.TestCase):
    """Guards against items without an engine and texts given up early."""

    @parameterized.expand([(case.name, case) for case in LOSSES])
    def test_text_loss(self, _: str, case: Loss) -> None:
        loss = text_loss(case.item, case.engines, case.unheard, case.seconds)
        self.assertIs(loss, case.expected)


@dataclass(frozen=True)
class Wave:
    """Lengths of a step's texts, the trainer's estimates, and the engines.

    The time to the last text's end is ``within``: a step is due after 7.5 s
    and may be read for 0.7 s longer.
    """

    name: str
    lengths: tuple[int, ...]
    estimate_error: float
    paces: tuple[float, ...]
    within: float = 8.2


SHORT = (5, 9, 13, 17, 25, 31, 12, 8, 14, 22, 19, 27, 6, 10, 16)
WAVES = [
    Wave("one_long_text_comes_last", (*SHORT, 181), 1.0, (0.0465, 0.036)),
    Wave("estimates_are_half", (*SHORT, 181), 0.5, (0.0465, 0.036)),
    Wave(
        "more_texts_than_slots", (*SHORT, *SHORT, 181, 150), 1.0, (0.036, 0.047, 0.04)
    ),
    Wave("as_many_long_texts_as_slots", (*SHORT, *(181,) * 4), 1.0, (0.0465, 0.036)),
    Wave("slow_engine_comes_first", (181, *SHORT), 1.0, (0.1, 0.036, 0.036)),
]


class LongTextTests(unittest.TestCase):
    """Pattern: the items of a step arrive at once, one with a long text.

    Guards against steps that end late because the longest text waits for a
    slot, or is generated by an engine that is slower than others.
    """

    def duration(self, wave: Wave, *, estimated: bool) -> float:
        """Play a wave; return the time at which its last text ends."""
        waiting = {
            ItemKey(JobId("j"), ItemId(str(number))): length
            for number, length in enumerate(wave.lengths)
        }
        engines = [
            engine(f"e{number}", seconds_per_event=pace)
            for number, pace in enumerate(wave.paces)
        ]
        running: list[tuple[float, TargetId]] = []
        now = 0.0
        while waiting or running:
            items = [
                replace(
                    ITEM,
                    key=key,
                    remaining_events=(
                        length * wave.estimate_error if estimated else DEFAULT_EVENTS
                    ),
                )
                for key, length in waiting.items()
            ]
            for key, target in assign(longest_first(items), engines):
                (chosen,) = [e for e in engines if e.id == target]
                seconds = waiting.pop(key) * chosen.seconds_per_event
                running.append((now + seconds, target))
            now, ended = min(running)
            running.remove((now, ended))
            (freed,) = [e for e in engines if e.id == ended]
            freed.in_use -= 1
        return now

    @parameterized.expand([(wave.name, wave) for wave in WAVES])
    def test_step_ends_in_time(self, _: str, wave: Wave) -> None:
        self.assertLessEqual(self.duration(wave, estimated=True), wave.within)

    def test_without_estimates_the_step_is_late(self) -> None:
        late = [
            wave.name
            for wave in WAVES
            if self.duration(wave, estimated=False) > wave.within
        ]
        self.assertIn("one_long_text_comes_last", late)
