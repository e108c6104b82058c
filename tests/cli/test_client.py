"""Tests of the requests of the ``goldcrest`` tool to stand-in instances.

They guard against a change that is made twice because the answer to the first
request was lost: the tool must send the same request id to each instance.
"""

import unittest
from dataclasses import dataclass

from aiohttp import web
from aiohttp.test_utils import TestServer
from parameterized import parameterized

from goldcrestyard.cli.client import (
    Answer,
    OperatorClient,
    Refused,
    Reply,
    Unanswered,
)
from goldcrestyard.cli.profile import Profile


@dataclass(frozen=True)
class Instance:
    """The answer of a stand-in instance; ``drops`` closes the connection."""

    status: int = 200
    code: str = ""
    drops: bool = False


GOOD = Instance()
DROPS = Instance(drops=True)
WITHOUT_LEADER = Instance(503, "no_leader")
UNKNOWN_OUTCOME = Instance(502, "unknown_outcome")
REFUSES = Instance(409, "stale_plan")

CASES = [
    ("first_answers", (GOOD, REFUSES), Answer, 1),
    ("answer_is_lost", (DROPS, GOOD), Answer, 2),
    ("leader_is_unknown", (WITHOUT_LEADER, GOOD), Answer, 2),
    ("outcome_is_in_doubt", (UNKNOWN_OUTCOME, GOOD), Answer, 2),
    ("refusal_is_final", (REFUSES, GOOD), Refused, 1),
    ("none_answers", (DROPS, WITHOUT_LEADER), Unanswered, 6),
]


class OperatorClientTests(unittest.IsolatedAsyncioTestCase):
    """How many requests are sent, and under which request id."""

    async def start(self, instance: Instance) -> str:
        """Start a stand-in instance and return its address."""

        async def handle(request: web.Request) -> web.StreamResponse:
            self.request_ids.append(request.headers["x-request-id"])
            if instance.drops:
                assert request.transport is not None
                request.transport.close()
            body = {"error": {"code": instance.code}} if instance.code else {}
            return web.json_response(body, status=instance.status)

        app = web.Application()
        app.router.add_route("*", "/operator/v1/plans", handle)
        server = TestServer(app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        return f"{server.host}:{server.port}"

    @parameterized.expand(CASES)
    async def test_instances_are_asked_in_turn(
        self,
        _: str,
        instances: tuple[Instance, ...],
        expected: type[Reply],
        asked: int,
    ) -> None:
        self.request_ids: list[str] = []
        servers = tuple([await self.start(instance) for instance in instances])
        client = OperatorClient(Profile(servers, "key"), pause_seconds=0.0)
        reply = await client.send("POST", "/plans", {})
        self.assertIsInstance(reply, expected)
        self.assertEqual(len(self.request_ids), asked)
        self.assertEqual(len(set(self.request_ids)), 1)
