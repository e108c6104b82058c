"""Tests of calls whose permission ends before they leave the process.

Pattern: the leader decides to call an outside system, is paused or waits for
a connection, and loses the lead meanwhile.  The calls run over sockets, and
the pause lies where the client waits for the connection.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    DataCentre,
    InstanceId,
    ModelName,
    ServiceName,
    Term,
    WeightVersion,
)
from goldcrestyard.fleet.duties import Permit, permit_of
from goldcrestyard.fleet.metering.commands import WindowCounts
from goldcrestyard.fleet.rentals.autoscaler import RentalOrder
from goldcrestyard.fleet.versions.orders import LoadOrder, OrderOutcome
from goldcrestyard.platform.duties.client import DutiesClient
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.targets import target

HOLDER = InstanceId("store-a")
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"


@dataclass
class FakeLeader:
    """A leader whose lease ends ``after`` that many checks."""

    term: Term = Term(4)
    after: int = 1000
    checks: int = 0

    def holds_lease(self) -> bool:
        self.checks += 1
        return self.checks <= self.after


Call = Callable[[HttpTargetClient, str, Permit], Awaitable[object]]


async def load(client: HttpTargetClient, address: str, permit: Permit) -> object:
    order = LoadOrder(ModelName("m"), WeightVersion(2), permit.fence, 0)
    to = replace(target("t"), address=address)
    return await HttpEngineControl(client, HOLDER).load(to, order, permit)


async def rent(client: HttpTargetClient, address: str, permit: Permit) -> object:
    order = RentalOrder(ServiceName("s"), DataCentre("z"), 2)
    return await DutiesClient(client, address, HOLDER).rent(order, permit)


async def report(client: HttpTargetClient, address: str, permit: Permit) -> object:
    return await DutiesClient(client, address, HOLDER).report(
        WindowCounts(7, {}), permit
    )


CALLS: list[tuple[str, Call]] = [("load", load), ("rent", rent), ("report", report)]


class PermitTests(unittest.IsolatedAsyncioTestCase):
    """Guards against orders of a process that no longer leads."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.received: list[bytes] = []
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.client = HttpTargetClient()
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            (line,) = [
                entry
                for entry in head.lower().split(b"\r\n")
                if entry.startswith(b"content-length:")
            ]
            body = await reader.readexactly(int(line.partition(b":")[2]))
            self.received.append(head + body)
            writer.write(ACCEPTED)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    @parameterized.expand(CALLS)
    async def test_call_of_a_leader_arrives_whole(self, _: str, call: Call) -> None:
        outcome = await call(self.client, self.address, permit_of(FakeLeader()))
        self.assertIsNot(outcome, OrderOutcome.NOT_SENT)
        (request,) = self.received
        self.assertTrue(request.endswith(b"}"))

    @parameterized.expand(CALLS)
    async def test_call_of_a_former_leader_is_not_sent(
        self, _: str, call: Call
    ) -> None:
        leader = FakeLeader()
        permit = permit_of(leader)
        # The lead ends while the client opens the connection.
        opening = asyncio.ensure_future(call(self.client, self.address, permit))
        await asyncio.sleep(0)
        leader.after = 0
        outcome = await opening
        await asyncio.sleep(0.05)
        self.assertEqual(self.received, [])
        if call is load:
            self.assertIs(outcome, OrderOutcome.NOT_SENT)

    @parameterized.expand(CALLS)
    async def test_call_of_an_earlier_term_is_not_sent(
        self, _: str, call: Call
    ) -> None:
        """A member that leads again has another fence for its calls."""
        leader = FakeLeader()
        permit = permit_of(leader)
        leader.term = Term(6)
        await call(self.client, self.address, permit)
        await asyncio.sleep(0.05)
        self.assertEqual(self.received, [])
