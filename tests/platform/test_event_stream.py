"""Tests of parsing complete and incomplete event streams of targets."""

import unittest
from collections.abc import AsyncIterator

import aiohttp
from parameterized import parameterized

from goldcrestyard.core.attempts import Broken
from goldcrestyard.kernel.http_client import UnboundedAnswerError
from goldcrestyard.platform.event_stream import (
    MAX_BYTES_BETWEEN_EVENTS,
    MAX_EVENT_BYTES,
    read_events,
)

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b:c\n\n"
CHANGED = b"x-goldcrestyard-weight-versions: 9\nid: 3\ndata:  d\n\n"

Cut = type("Cut", (), {})
Endless = type("Endless", (), {})

CASES = [
    ("whole", [ONE + TWO], [(1, b"a"), (2, b"b:c")], False),
    (
        "split_anywhere",
        [ONE[:5], ONE[5:] + TWO[:1], TWO[1:]],
        [(1, b"a"), (2, b"b:c")],
        False,
    ),
    ("comment_between", [ONE, b": ping\n\n", TWO], [(1, b"a"), (2, b"b:c")], False),
    ("two_lines_of_data", [b"id: 1\ndata: a\ndata: b\n\n"], [(1, b"a\nb")], False),
    ("cut_within_an_event", [ONE, TWO[:6]], [(1, b"a")], True),
    ("connection_breaks", [ONE, Cut], [(1, b"a")], True),
    ("no_number", [ONE, b"data: b\n\n"], [(1, b"a")], True),
    ("number_is_no_number", [ONE, b"id: x\ndata: b\n\n"], [(1, b"a")], True),
    ("other_bytes", [ONE, b"HTTP/1.1 200 OK\nServer: x\n\n"], [(1, b"a")], True),
]


async def collect(
    chunks: list[object],
) -> tuple[list[tuple[int, bytes]], Broken | None]:
    """Return the events, and the failure of a stream that was cut off."""

    async def read() -> AsyncIterator[bytes]:
        for chunk in chunks:
            if chunk is Cut:
                raise aiohttp.ClientPayloadError("reset")
            if chunk is Endless:
                raise UnboundedAnswerError("no answer")
            assert isinstance(chunk, bytes)
            yield chunk

    events: list[tuple[int, bytes]] = []
    async for event in read_events(read):
        if isinstance(event, Broken):
            return events, event
        events.append((event.number, event.data))
    return events, None


MALFORMED_CASES = [
    ("cut_within_an_event", [ONE, TWO[:6]], False),
    ("connection_breaks", [ONE, Cut], False),
    ("answer_without_end", [ONE, Endless], True),
    ("no_number", [ONE, b"data: b\n\n"], True),
    ("number_is_no_number", [ONE, b"id: x\ndata: b\n\n"], True),
    ("other_bytes", [ONE, b"HTTP/1.1 200 OK\nServer: x\n\n"], True),
    ("event_without_end", [ONE, b"id: 2\ndata: " + b"x" * MAX_EVENT_BYTES], True),
    ("no_event", [ONE, b": ping\n\n" * MAX_BYTES_BETWEEN_EVENTS], True),
]


class ReadEventsTests(unittest.IsolatedAsyncioTestCase):
    """Guards against accepting an incomplete text as complete."""

    @parameterized.expand(CASES)
    async def test_events(
        self,
        _: str,
        chunks: list[object],
        expected: list[tuple[int, bytes]],
        broken: bool,
    ) -> None:
        events, failure = await collect(chunks)
        self.assertEqual((events, failure is not None), (expected, broken))

    @parameterized.expand(MALFORMED_CASES)
    async def test_bytes_that_are_no_answer(
        self, _: str, chunks: list[object], malformed: bool
    ) -> None:
        """Guards against a target in trouble that counts as one cut off."""
        _events, failure = await collect(chunks)
        assert failure is not None
        self.assertIs(failure.malformed, malformed)

    async def test_version_that_an_event_names(self) -> None:
        async def read() -> AsyncIterator[bytes]:
            yield ONE + CHANGED

        events = [event async for event in read_events(read)]
        assert not any(isinstance(event, Broken) for event in events)
        self.assertEqual([e.version for e in events], [None, 9])  # type: ignore[union-attr]
        self.assertEqual(events[1].data, b" d")  # type: ignore[union-attr]
        self.assertEqual(events[1].raw, CHANGED)  # type: ignore[union-attr]
