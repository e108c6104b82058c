"""Tests of the checks on engines' answers.

They guard against an incomplete answer that is taken for complete, and
against a time-out while the engine still generates a long answer.
"""

import asyncio
import unittest
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
from parameterized import parameterized

from goldcrestyard.core.attempts import Broken
from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import AttemptId, CorrelationId, ModelName
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.plugins.engines.completeness import ChoiceTracker
from goldcrestyard.plugins.engines.event_stream import Piece
from goldcrestyard.plugins.engines.requests import InferenceFields, InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import (
    EngineClient,
    Finished,
    silence_timeout_seconds,
)
from tests.fakes.targets import target

SETTINGS = EngineSettings(
    stall_seconds=30.0, seconds_per_token=0.1, request_seconds=600.0
)


def choice(index: int = 0, finish: str | None = None) -> dict[str, Any]:
    """Return the data of an event with one choice."""
    return {"choices": [{"index": index, "finish_reason": finish}]}


USAGE: dict[str, Any] = {"choices": [], "usage": {}}


class ChoiceTests(unittest.TestCase):
    """Which sequences of events are complete."""

    @parameterized.expand(
        [
            ("one", [choice(), choice(finish="stop")], 1, True),
            ("with_usage", [choice(finish="stop"), USAGE], 1, True),
            ("two", [choice(0, "stop"), choice(1, "length")], 2, True),
            ("nothing", [], 1, False),
            ("no_finish", [choice()], 1, False),
            ("second_missing", [choice(0, "stop")], 2, False),
            ("second_open", [choice(0), choice(1), choice(0, "stop")], 1, False),
            ("after_finish", [choice(finish="stop"), choice()], 1, False),
            ("twice_finished", [choice(finish="stop")] * 2, 1, False),
            ("malformed_choice", [{"choices": ["x"]}], 1, False),
            ("malformed_choices", [{"choices": 7}], 1, False),
        ]
    )
    def test_whole(
        self, _: str, events: list[dict[str, Any]], expected: int, complete: bool
    ) -> None:
        tracker = ChoiceTracker(expected)
        faults = [tracker.add(event) for event in events]
        self.assertEqual(not any(faults) and tracker.missing() is None, complete)

    def test_repeated_event_id(self) -> None:
        tracker = ChoiceTracker()
        self.assertIsNone(tracker.add(choice(), "7"))
        self.assertIsNotNone(tracker.add(choice(), "7"))


class SilenceTests(unittest.TestCase):
    """How long a connection may be without data."""

    @parameterized.expand(
        [
            ("streamed", True, 4096, 30.0),
            ("plain", False, 1000, 130.0),
            ("plain_long", False, 100_000, 600.0),
            ("plain_without_limit", False, None, 600.0),
        ]
    )
    def test_silence(
        self, _: str, stream: bool, max_tokens: int | None, expected: float
    ) -> None:
        fields = InferenceFields(ModelName("m"), stream, max_tokens=max_tokens)
        request = InferenceRequest("/v1/completions", fields, {})
        self.assertEqual(silence_timeout_seconds(request, SETTINGS), expected)


PIECE = 'data: {"id": "x-a1", "choices": [{"index": 0, "finish_reason": %s}]}\n\n'
SOUND = (PIECE % "null").encode()
LAST = (PIECE % '"stop"').encode() + b"data: [DONE]\n\n"


@dataclass(frozen=True)
class StallCase:
    """What an engine sends, at which interval, and how the stream ends."""

    name: str
    sent: tuple[bytes, ...]
    interval_seconds: float
    expected: type


STALL_CASES = [
    StallCase("slow_but_sound", (SOUND, SOUND, SOUND, LAST), 0.2, Finished),
    StallCase("a_byte_now_and_then", (SOUND, *((b":\n\n",) * 400)), 0.1, Broken),
    StallCase("part_of_an_event", (SOUND, b"data", *((b" ",) * 400)), 0.1, Broken),
]


class StallTests(unittest.IsolatedAsyncioTestCase):
    """Pattern: engines that are slow, and engines that only seem to work.

    Guards against ending a stream whose events come slowly, and against one
    that never ends since some byte comes now and then.
    """

    @parameterized.expand([(case.name, case) for case in STALL_CASES])
    async def test_stream(self, _: str, case: StallCase) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                writer.close()
                return
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + f"{REQUEST_ID_HEADER}: a1\r\n\r\n".encode()
            )
            with suppress(ConnectionError):
                for part in case.sent:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(case.interval_seconds)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        settings = replace(SETTINGS, stall_seconds=1.0)
        fields = InferenceFields(ModelName("m"), True)
        request = InferenceRequest("/v1/completions", fields, {})
        to = replace(target("t"), address=f"127.0.0.1:{port}")
        async with aiohttp.ClientSession(connector=BoundedConnector()) as session:
            client = EngineClient(session, settings)
            async with client.stream(
                to, request, AttemptId("a1"), CorrelationId("c")
            ) as steps:
                assert isinstance(steps, AsyncIterator)
                async with asyncio.timeout(20.0):
                    outcomes = [step async for step in steps]
        self.assertIsInstance(outcomes[-1], case.expected)
        self.assertIsInstance(outcomes[0], Piece)
