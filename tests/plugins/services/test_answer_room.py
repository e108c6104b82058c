"""Tests of the room in memory for the answers of plain services.

They guard against a call that is refused as not run although a target may have
run it, against answers that count too little or too long, against a call that
runs again for an answer that finds no room, and against a target that counts
as failed because this process lacks room.
"""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
from parameterized import parameterized

from goldcrestyard.core.attempts import Answered, Broken
from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import CorrelationId, ServiceName
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.http_client import (
    MAX_UNCOUNTED_ANSWER_BYTES,
    BoundedConnector,
)
from goldcrestyard.plugins.listeners.errors import status_of
from goldcrestyard.plugins.scheduling.scheduler import Grant
from goldcrestyard.plugins.services.dispatch import ServiceCall, ServiceDispatcher
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import ServiceAnswer, ServiceClient
from tests.fakes.targets import target

ANSWER_BYTES = 300_000
ROOM_BYTES = 1_000_000
SERVICE_REQUEST = ServiceRequest(ServiceName("s"), "POST", "/x", (), b"body")


@dataclass(frozen=True)
class RefusedCase:
    """A lack of room, and the outcome for the caller.

    ``held`` are the bytes that others hold before the call, and ``held_later``
    those that they take in addition after an answer that was cut off.
    """

    name: str
    held: int
    held_later: int
    status: int
    reason: RefusalReason
    verdict: Verdict
    requests: int
    outcome: type | None


REFUSED_CASES = [
    RefusedCase(
        "before_sending",
        ROOM_BYTES,
        0,
        503,
        RefusalReason.NO_ROOM,
        Verdict.NOT_RUN,
        0,
        None,
    ),
    RefusedCase(
        "while_it_is_read",
        ROOM_BYTES - ANSWER_BYTES,
        0,
        502,
        RefusalReason.INCOMPLETE_ANSWER,
        Verdict.MAY_HAVE_RUN,
        1,
        Answered,
    ),
    RefusedCase(
        "before_sending_again",
        0,
        ROOM_BYTES,
        502,
        RefusalReason.INCOMPLETE_ANSWER,
        Verdict.MAY_HAVE_RUN,
        1,
        Broken,
    ),
]


class OneTarget:
    """Scheduler that grants each attempt the same target."""

    def __init__(self, address: str, room: ByteRoom) -> None:
        self._target = replace(target("t"), address=address)
        self._room = room
        self.held_later = 0
        """Bytes that others take in the room after each attempt."""
        self.grants: list[Grant] = []

    @contextlib.asynccontextmanager
    async def acquire(self, work: Any) -> AsyncIterator[Grant]:
        grant = Grant(self._target, None, work, 0.0)  # type: ignore[arg-type]
        self.grants.append(grant)
        yield grant
        self._room.lease().add(self.held_later)

    def report_retry(self) -> None:
        """Accept the report of a retry."""


class AnswerRoomTests(unittest.IsolatedAsyncioTestCase):
    """Idempotent calls, which may be sent again."""

    async def asyncSetUp(self) -> None:
        self.room = ByteRoom(ROOM_BYTES)
        self.requests = 0
        self.cut_off = 0
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        session = aiohttp.ClientSession(connector=BoundedConnector(force_close=True))
        self.addAsyncCleanup(session.close)
        settings = ServiceSettings()
        port = server.sockets[0].getsockname()[1]
        self.scheduler = OneTarget(f"127.0.0.1:{port}", self.room)
        self.dispatcher = ServiceDispatcher(
            ServiceClient(session, settings),
            self.scheduler,  # type: ignore[arg-type]
            lambda _: self.fail("an open route has no organisation"),
            Clock(),
            settings,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        self.requests += 1
        name = REQUEST_ID_HEADER.lower()
        (attempt,) = [line for line in head if line.startswith(f"{name}:")]
        size = ANSWER_BYTES
        if self.requests <= self.cut_off:
            size //= 2
        writer.write(
            b"HTTP/1.1 200 OK\r\n%b\r\ncontent-length: %d\r\n\r\n"
            % (attempt.encode(), ANSWER_BYTES)
            + b"a" * size
        )
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writer.close()

    def _call(self) -> ServiceCall:
        return ServiceCall(
            SERVICE_REQUEST, None, True, CorrelationId("c"), self.room.lease()
        )

    @parameterized.expand([(case.name, case) for case in REFUSED_CASES])
    async def test_call_without_room(self, _: str, case: RefusedCase) -> None:
        self.room.lease().add(case.held)
        self.scheduler.held_later = case.held_later
        self.cut_off = 1 if case.held_later else 0
        refusal = await self.dispatcher.answer(self._call())
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (status_of(refusal.reason), refusal.reason, refusal.verdict),
            (case.status, case.reason, case.verdict),
        )
        self.assertEqual(self.requests, case.requests)
        outcome = self.scheduler.grants[0].outcome
        self.assertIs(None if outcome is None else type(outcome), case.outcome)

    @parameterized.expand([("at_once", 0), ("after_an_answer_that_is_cut_off", 1)])
    async def test_answer_counts_once(self, _: str, cut_off: int) -> None:
        self.cut_off = cut_off
        call = self._call()
        answer = await self.dispatcher.answer(call)
        assert isinstance(answer, ServiceAnswer)
        self.assertEqual(len(answer.body), ANSWER_BYTES)
        self.assertEqual(call.lease.held, ANSWER_BYTES + MAX_UNCOUNTED_ANSWER_BYTES)
        self.assertEqual(self.requests, 1 + cut_off)
        call.lease.release()
        self.assertEqual(self.room.held, 0)
