"""Texts of items while engines of two software versions serve side by side."""

import unittest
from dataclasses import dataclass
from typing import Any

from parameterized import parameterized

from tests.fakes.platform_site import Site
from tests.fakes.platform_targets import StandInTarget, software_of, whole_text

ITEMS = 12
EVENTS = 24
"""Four times as many events as those after which progress is saved."""


@dataclass(frozen=True)
class Case:
    """What ends runs in mid-text.

    ``ending`` engines of the first version end once texts are half
    generated, and the leader is killed then if ``kills_leader``.
    """

    name: str
    breaks_after: int | None = None
    ending: int = 0
    kills_leader: bool = False


CASES = [
    Case("streams_break_off", breaks_after=9),
    Case("engine_ends", ending=1),
    Case("all_engines_of_a_version_end", breaks_after=15, ending=2),
    Case("leader_killed", breaks_after=15, kills_leader=True),
]


class SoftwareVersionsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against texts that two software versions have generated."""

    async def asyncSetUp(self) -> None:
        self.site = Site(fronts=1)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(engines=0)
        for number in range(4):
            engine = self.site.new_target(
                10 + number, engine=True, events=EVENTS, software=f"v{number % 2 + 1}"
            )
            engine.event_seconds = 0.1
            self.site.targets.append(engine)
            await engine.listen()
            engine.announce()

    def _of(self, software: str) -> list[StandInTarget]:
        return [e for e in self.site.engines if e.software == software]

    def _lines(self, event: str) -> list[dict[str, Any]]:
        lines = [line for process in self.site.controls for line in process.log_lines()]
        return [line for line in lines if line.get("event") == event]

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_text_is_of_one_version(self, _: str, case: Case) -> None:
        site = self.site

        async def known() -> bool:
            lines = self._lines("heartbeat registers target")
            return {e.id for e in site.engines} <= {line["target"] for line in lines}

        await site.wait(known, "engines that the leader knows")
        for engine in site.engines:
            engine.breaks_after = case.breaks_after
        await site.submit("job", ITEMS)

        async def half_generated() -> bool:
            sent = [max(e.events_sent.values(), default=0) for e in self._of("v1")]
            return min(sent) >= EVENTS // 2

        if case.ending or case.kills_leader:
            await site.wait(half_generated, "texts that are half generated")
        for engine in self._of("v1")[: case.ending]:
            await engine.stop()
        if case.kills_leader:
            await (await site.leader()).kill()
        results = await site.results("job", ITEMS)
        texts = [result["text"] for result in results]
        mixed = [text for text in texts if len(software_of(text)) > 1]
        self.assertEqual(mixed, [])
        self.assertLessEqual(set(texts), {whole_text(EVENTS, v) for v in ("v1", "v2")})
        resumed = [run for e in site.engines for run in e.runs if run.resumed_after]
        dropped = self._lines("item starts again: no engine can go on with its text")
        if case.ending == len(self._of("v1")):
            self.assertTrue(dropped)
        else:
            self.assertTrue(resumed)
            self.assertEqual(dropped, [])
