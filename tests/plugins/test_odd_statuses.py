"""Tests of goldcrestd's own clients against targets with odd statuses."""

import asyncio
import unittest
from dataclasses import replace

import aiohttp
from parameterized import parameterized

from goldcrestyard.core.attempts import Broken
from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import AttemptId, CorrelationId, ModelName, ServiceName
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.plugins.engines.requests import InferenceFields, InferenceRequest
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient
from goldcrestyard.plugins.services.requests import ServiceRequest
from goldcrestyard.plugins.services.settings import ServiceSettings
from goldcrestyard.plugins.services.upstream import ServiceClient
from tests.fakes.odd_statuses import STATUS_LINES, StatusLine
from tests.fakes.targets import target

ATTEMPT, CORRELATION = AttemptId("a1"), CorrelationId("c")
SERVICE_REQUEST = ServiceRequest(ServiceName("s"), "POST", "/x", (), b"body")
ANSWER = b'{"id": "a1", "choices": [{"index": 0, "finish_reason": "stop"}]}'
EVENTS = b"data: " + ANSWER + b"\n\ndata: [DONE]\n\n"


class OddStatusTests(unittest.IsolatedAsyncioTestCase):
    """Guards against a malformed answer that is passed on as an answer."""

    async def asyncSetUp(self) -> None:
        self.sent = b""
        self.requests = 0
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.target = replace(target("t"), address=f"127.0.0.1:{port}")
        self.session = aiohttp.ClientSession(connector=BoundedConnector())
        self.addAsyncCleanup(self.session.close)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.sent)
        await writer.drain()
        writer.close()

    def _answer(self, line: bytes, kind: bytes, body: bytes) -> bytes:
        return line + (
            b"\r\n%s: a1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            % (REQUEST_ID_HEADER.encode(), kind, len(body))
            + body
        )

    @parameterized.expand([(odd.name, odd) for odd in STATUS_LINES])
    async def test_answers_of_engines(self, _: str, odd: StatusLine) -> None:
        client = EngineClient(self.session, EngineSettings())
        request = InferenceRequest(
            "/v1/completions", InferenceFields(ModelName("m"), False), {}
        )
        self.sent = self._answer(odd.line, b"application/json", ANSWER)
        outcome = await client.call(self.target, request, ATTEMPT, CORRELATION)
        self.assertIsInstance(outcome, Broken)
        self.sent = self._answer(odd.line, b"text/event-stream", EVENTS)
        async with client.stream(self.target, request, ATTEMPT, CORRELATION) as steps:
            self.assertIsInstance(steps, Broken)
        self.assertEqual(self.requests, 2)

    @parameterized.expand([(odd.name, odd) for odd in STATUS_LINES])
    async def test_answers_of_services(self, _: str, odd: StatusLine) -> None:
        client = ServiceClient(self.session, ServiceSettings())
        self.sent = self._answer(odd.line, b"text/plain", b"bytes of the target")
        outcome = await client.send(
            self.target,
            SERVICE_REQUEST,
            None,
            ATTEMPT,
            CORRELATION,
            5.0,
            ByteRoom(1_000_000).lease(),
        )
        self.assertIsInstance(outcome, Broken)
        self.assertEqual(self.requests, 1)
