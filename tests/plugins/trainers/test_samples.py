"""Tests of the generation of a sample from the streams of engines.

They guard against a sample whose spans differ from the versions in its
streams, against an incomplete sample, and against retries without end.
"""

from dataclasses import dataclass
from typing import Any, cast

from parameterized import parameterized

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.ids import (
    CorrelationId,
    GroupId,
    ModelName,
    OrganisationId,
    SampleId,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.trainers.questions import Prompt, Question, SampleTask
from goldcrestyard.plugins.trainers.samples import (
    MAX_DISCARDS,
    AvoidedEngines,
    GenerationContext,
    Sample,
    SampleRun,
    VersionChecks,
)
from goldcrestyard.policy.hand_out import barred_versions, too_old_versions
from tests.fakes.engines import Script, ScriptedDispatcher, Token, complete_stream
from tests.fakes.paused_clock import PausedClockTestCase

BEHIND = {WeightVersion(1): 1, WeightVersion(2): 0, WeightVersion(0): 2}
BROKEN = Broken("connection reset")
NOT_CONTINUED = Answered(400, "application/json", b"{}")
NO_ROOM = Refusal(RefusalReason.NO_TARGET, "no target has room")


@dataclass(frozen=True)
class Case:
    """Streams of the engines, and the spans and text expected of them."""

    name: str
    scripts: tuple[Script, ...]
    spans: list[tuple[int, int]]
    text: str = "abcd"
    penalty: float | None = None


CASES = [
    Case("whole", (complete_stream("abcd"),), [(1, 4)]),
    Case(
        "swap_in_mid_stream",
        ([Token("a"), Token("b", 2), *complete_stream("cd", 2)],),
        [(1, 1), (2, 3)],
    ),
    Case(
        "no_version", (complete_stream("xxxx", None), complete_stream("abcd")), [(1, 4)]
    ),
    Case(
        "one_piece_without_version",
        (
            [Token("x"), Token("x", None), *complete_stream("x")],
            complete_stream("abcd"),
        ),
        [(1, 4)],
    ),
    Case(
        "unpublished_version",
        (complete_stream("xxxx", 9), complete_stream("abcd")),
        [(1, 4)],
    ),
    Case(
        "too_old_version",
        (complete_stream("xxxx", 0), complete_stream("abcd")),
        [(1, 4)],
    ),
    Case(
        "swap_to_a_version_that_is_too_old",
        ([Token("x"), *complete_stream("xx", 0)], complete_stream("abcd")),
        [(1, 4)],
    ),
    Case(
        "engine_dies_and_another_continues",
        ([Token("a"), Token("b"), BROKEN], complete_stream("cd", 2)),
        [(1, 2), (2, 2)],
    ),
    Case(
        "two_engines_die",
        ([Token("a"), BROKEN], [Token("b"), BROKEN], complete_stream("cd")),
        [(1, 4)],
    ),
    Case(
        "rest_without_version_discards_the_whole_sample",
        ([Token("x"), BROKEN], complete_stream("xx", None), complete_stream("abcd")),
        [(1, 4)],
    ),
    Case(
        "engine_does_not_continue",
        ([Token("x"), BROKEN], NOT_CONTINUED, complete_stream("abcd")),
        [(1, 4)],
    ),
    Case(
        "not_continued_with_a_penalty",
        ([Token("x"), BROKEN], complete_stream("abcd")),
        [(1, 4)],
        penalty=0.5,
    ),
    Case(
        "cut_after_the_finish_reason",
        ([*complete_stream("xx")[:-1], BROKEN], complete_stream("abcd")),  # type: ignore[index]
        [(1, 4)],
    ),
    Case("no_engine_has_room_at_first", (NO_ROOM, complete_stream("abcd")), [(1, 4)]),
]


class SampleRunTests(PausedClockTestCase):
    """Runs of a sample on scripted engines."""

    def run_of(
        self,
        dispatcher: ScriptedDispatcher,
        penalty: float | None = None,
        engines: frozenset[str] = frozenset(["another"]),
    ) -> SampleRun:
        """Return a run that accepts versions up to one behind the newest."""
        prompt = Prompt(GroupId("g"), messages=[{"role": "user", "content": "q"}])
        question = Question(
            ModelName("m"), [prompt], 1, max_tokens=16, frequency_penalty=penalty
        )
        context = GenerationContext(
            question,
            OrganisationId("tejo"),
            cast(Dispatcher, dispatcher),
            lambda: {TargetId(engine) for engine in engines},
            VersionChecks(
                lambda versions: too_old_versions(versions, BEHIND.get, 1),
                lambda versions: barred_versions(versions, BEHIND.get, 1),
            ),
            AvoidedEngines(self.clock()),
            self.clock(),
            CorrelationId("c"),
        )
        return SampleRun(SampleTask(SampleId("s"), prompt, 0), context)

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_sample(self, _: str, case: Case) -> None:
        dispatcher = ScriptedDispatcher(case.scripts)
        sample = await self.run_of(dispatcher, case.penalty).run()
        assert isinstance(sample, Sample)
        self.assertEqual([(s.version, s.tokens) for s in sample.spans], case.spans)
        self.assertEqual(sample.text, case.text)
        self.assertEqual(len(dispatcher.bodies), len(case.scripts))

    async def test_rest_is_asked_for_from_the_text_so_far(self) -> None:
        scripts: list[Script] = [
            [Token("a"), Token("b"), BROKEN],
            complete_stream("cd"),
        ]
        dispatcher = ScriptedDispatcher(scripts)
        await self.run_of(dispatcher).run()
        first, second = cast(list[dict[str, Any]], dispatcher.bodies)
        self.assertEqual(
            second["messages"],
            [*first["messages"], {"role": "assistant", "content": "ab"}],
        )
        self.assertTrue(second["continue_final_message"])
        self.assertEqual((first["max_tokens"], second["max_tokens"]), (16, 14))
        self.assertIn("engine-1", dispatcher.tried[1])

    @parameterized.expand(
        [
            ("too_old_at_once", complete_stream("xxxxxxxx", 0), 1),
            ("too_old_after_a_swap", [Token("x"), *complete_stream("xxxxxxx", 0)], 2),
            ("no_version", complete_stream("xxxxxxxx", None), 1),
        ]
    )
    async def test_unusable_stream_is_left_early(
        self, _: str, script: Script, pieces: int
    ) -> None:
        dispatcher = ScriptedDispatcher([script, complete_stream("abcd")])
        await self.run_of(dispatcher).run()
        self.assertEqual(dispatcher.pieces_read, pieces + len("abcd"))

    async def test_only_engine_is_used_again_after_a_while(self) -> None:
        dispatcher = ScriptedDispatcher(
            [complete_stream("x", None), complete_stream("abcd")]
        )
        run = self.run_of(dispatcher, engines=frozenset(["engine-1"]))
        self.assertIsInstance(await run.run(), Sample)
        # No call is started while the only engine is avoided.
        self.assertEqual(dispatcher.tried, [set(), set()])

    @parameterized.expand(
        [
            ("no_version", complete_stream("xx", None), RefusalReason.TARGET_FAILED),
            ("too_old", complete_stream("xx", 0), RefusalReason.TARGET_FAILED),
            ("refused_question", NOT_CONTINUED, RefusalReason.BAD_REQUEST),
        ]
    )
    async def test_generation_ends(
        self, _: str, script: Script, reason: RefusalReason
    ) -> None:
        dispatcher = ScriptedDispatcher([script] * (MAX_DISCARDS + 1))
        result = await self.run_of(dispatcher).run()
        assert isinstance(result, Refusal)
        self.assertIs(result.reason, reason)
