"""End-to-end tests of targets whose answers have odd statuses."""

import unittest

from tests.fakes.odd_statuses import BODY, STATUS_LINES, OddStatusTarget
from tests.fakes.platform_site import Site

HONEST_FAILURES = {502, 504}


class TargetStatusTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a target's malformed answer that reaches a caller."""

    async def asyncSetUp(self) -> None:
        self.site = Site(fronts=1)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(engines=0, services=1)
        (self.sound,) = self.site.services

    def _odd_target(self, number: int, line: bytes) -> OddStatusTarget:
        # Each in the data centre of the front, which prefers it.
        target = self.site.new_target(9 + 3 * number, engine=False)
        odd = OddStatusTarget(target, line)
        self.addAsyncCleanup(odd.stop)
        return odd

    async def test_no_byte_reaches_a_caller(self) -> None:
        await self.sound.stop()
        odd = self._odd_target(0, STATUS_LINES[0].line)
        await odd.start()

        async def reached() -> bool:
            await self.site.ask("/once/start")
            return bool(odd.requests)

        await self.site.wait(reached, "a request at the odd target")
        for status_line in STATUS_LINES:
            odd.line = status_line.line
            # A repeatable request may go out again on a new connection.
            for path, sendings in (("/once/", {1}), ("/quotes/", {1, 2})):
                with self.subTest(status_line.name, path=path):
                    request = self.site.marker()
                    status, body, _ = await self.site.ask(
                        path + request, request_id=request
                    )
                    self.assertIn(status, HONEST_FAILURES)
                    self.assertNotIn(BODY, body)
                    self.assertIn(odd.requests.count(request.encode()), sendings)

    async def test_another_target_answers_a_repeatable_request(self) -> None:
        # A slow target is not preferred to those that are not known yet.
        self.sound.answer_seconds = 0.1
        for number, status_line in enumerate(STATUS_LINES):
            odd = self._odd_target(number, status_line.line)
            await odd.start()

            async def reached(odd: OddStatusTarget = odd) -> bool:
                status, body, _ = await self.site.ask(f"/quotes/{self.site.marker()}")
                self.assertEqual(status, 200)
                self.assertNotIn(BODY, body)
                return bool(odd.requests)

            with self.subTest(status_line.name):
                await self.site.wait(reached, "a request at the odd target")
            await odd.stop()
