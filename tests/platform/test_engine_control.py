"""Tests of what engines say in answers to their reports and orders."""

import asyncio
import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, ModelName, Term, WeightVersion
from goldcrestyard.fleet.duties import permit_of
from goldcrestyard.fleet.evacuations.commands import RequestEvacuation
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.fleet.versions.orders import LoadOrder, OrderOutcome
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl
from goldcrestyard.plugins.targets.slices import TargetsSlice
from tests.fakes.member import apply, machine_of
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.targets import target
from tests.platform.test_permits import FakeLeader


@dataclass(frozen=True)
class Case:
    """An engine's answer that says that it leaves, and whether it counts."""

    name: str
    status: int
    body: str = ""
    leaves: bool = True
    incarnation: str = ""
    """The run that the report names."""


CASES = [
    Case("report", 200, '{"seq":1}'),
    Case("report_of_this_run", 200, '{"seq":1,"born":1000}', incarnation="1000"),
    Case("report_of_another_run", 200, '{"seq":1,"born":1001}', False, "1001"),
    Case("accepted", 202),
    Case("conflict", 409),
    Case("failed", 500),
    Case("of_another_target", 421, leaves=False),
]


class LeavingEngineTests(unittest.IsolatedAsyncioTestCase):
    """Guards against orders to engines that have said that they leave."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.target = replace(target("t"), address=f"127.0.0.1:{port}")
        self.leaving = LeavingTargets(TargetsSlice(), Clock())
        self.machine = machine_of(EvacuationsSlice)
        exclusions = TargetExclusions(
            self.machine.get(EvacuationsSlice), self.leaving.includes
        )
        client = HttpTargetClient(leaving=self.leaving, exclusions=exclusions)
        await client.start()
        self.addAsyncCleanup(client.stop)
        self.control = HttpEngineControl(client, InstanceId("store-a"))
        self.answer = b""
        self.paths: list[str] = []

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.paths.append(head.split()[1].decode())
        writer.write(self.answer)
        writer.close()

    async def _load(self) -> OrderOutcome:
        order = LoadOrder(ModelName("m"), WeightVersion(2), Term(4), 0)
        return await self.control.load(self.target, order, permit_of(FakeLeader()))

    async def test_engine_of_an_evacuated_data_centre_is_not_asked(self) -> None:
        apply(self.machine, RequestEvacuation(self.target.data_centre, "one"))
        self.assertIs(OrderOutcome.NOT_SENT, await self._load())
        self.assertIsNone(await self.control.report(self.target))
        self.assertEqual([], self.paths)

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_answer(self, _: str, case: Case) -> None:
        self.answer = (
            f"HTTP/1.1 {case.status} Some\r\nServer-Leaving: 1\r\n"
            f"Content-Length: {len(case.body)}\r\n\r\n{case.body}"
        ).encode()
        if case.status == 200:
            report = await self.control.report(self.target)
            assert report is not None
            self.assertEqual(report.incarnation, case.incarnation)
        else:
            await self._load()
        self.assertEqual(case.leaves, self.leaving.includes(self.target))
        asked = len(self.paths)
        outcome = await self._load()
        self.assertEqual(case.leaves, outcome is OrderOutcome.NOT_SENT)
        self.assertEqual(case.leaves, asked == len(self.paths))
