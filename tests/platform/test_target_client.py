"""Tests of the client for targets against a server that misbehaves."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.attempts import Broken, TurnedAway, Unreached, Withheld
from goldcrestyard.core.calls import StreamEvent, TargetCall, TargetReply
from goldcrestyard.core.ids import (
    DataCentre,
    EventNumber,
    InstanceId,
    ModelName,
    OrganisationId,
    RequestId,
    ServiceName,
    Term,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.duties import permit_of
from goldcrestyard.fleet.evacuations.commands import EndEvacuation, RequestEvacuation
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.leaving.known import LeavingTargets
from goldcrestyard.fleet.metering.commands import WindowCounts
from goldcrestyard.fleet.metering.reporting import ReportOutcome
from goldcrestyard.fleet.rentals.autoscaler import RentalOrder, RentalOutcome
from goldcrestyard.fleet.versions.orders import LoadOrder, OrderOutcome
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.platform.duties.client import DutiesClient
from goldcrestyard.platform.names import VERSION_HEADER
from goldcrestyard.platform.targets.client import HttpTargetClient
from goldcrestyard.platform.targets.engine_control import HttpEngineControl
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.usage_numbers import WindowNumber
from tests.fakes.member import apply, machine_of
from tests.fakes.odd_statuses import ODD_INTERIM, STATUS_LINES, StatusLine, answer
from tests.fakes.targets import target

ID = "9c41d07be2a35f68"
STAMP = f"X-Goldcrestyard-Attempt-Id: {ID}\r\nX-Goldcrestyard-Server-Stamp: s\r\n"
WHOLE = f"HTTP/1.1 200 OK\r\n{STAMP}Content-Length: 5\r\n\r\nhello".encode()
HEAD = f"HTTP/1.1 200 OK\r\n{STAMP}".encode()
FULL = (
    f"HTTP/1.1 503 Busy\r\nX-Goldcrestyard-Attempt-Id: {ID}\r\n"
    "X-Goldcrestyard-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
).encode()
ID_LINE = f"X-Goldcrestyard-Attempt-Id: {ID}\r\n".encode()
FAILED = FULL.replace(b"503 Busy", b"500 No")
MISDIRECTED = FULL.replace(b"503 Busy", b"421 No")
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

Writer = asyncio.StreamWriter


async def reset(writer: Writer) -> None:
    """Reset a connection after the data sent on it has arrived."""
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def close(writer: Writer) -> None:
    writer.close()


async def stay(_: Writer) -> None:
    """Leave the connection open."""


@dataclass(frozen=True)
class Case:
    """Bytes that a target sends, how the connection ends, and the result."""

    name: str
    sent: bytes
    end: Callable[[Writer], Awaitable[None]]
    expected: bytes | type


CASES = [
    Case("whole", WHOLE, stay, b"hello"),
    Case("bytes_after_it", WHOLE + WHOLE, stay, b"hello"),
    Case(
        "chunked",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        stay,
        b"hello",
    ),
    Case("no_length_and_closed", HEAD + b"\r\nhello", close, b"hello"),
    Case("no_length_and_reset", HEAD + b"\r\nhel", reset, Broken),
    Case("shorter_than_its_length", WHOLE[:-2], close, Broken),
    Case(
        "chunks_without_end",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        close,
        Broken,
    ),
    Case("closed_before_an_answer", b"", close, Broken),
    # The end of a head may lie anywhere, also where it looks whole.
    Case("closed_after_status_line", b"HTTP/1.1 200 OK\r\n", close, Broken),
    Case("closed_within_head", HEAD, close, Broken),
    Case("closed_within_head_line", HEAD + b"Content-Le", close, Broken),
    Case("closed_after_length", HEAD + b"Content-Length: 0\r\n", close, Broken),
    Case("closed_within_end_of_head", HEAD + b"\r", close, Broken),
    Case("reset_within_head", HEAD + b"Content-Length: 0\r\n", reset, Broken),
    Case(
        "closed_within_head_of_chunks",
        HEAD + b"Transfer-Encoding: chunked\r\n",
        close,
        Broken,
    ),
    Case("no_answer_in_the_protocol", b"\x00\x01garbage\r\n\r\n", close, Broken),
    Case(
        "answer_of_another_request", WHOLE.replace(ID.encode(), b"0" * 16), stay, Broken
    ),
    Case("no_signature", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", stay, Broken),
    Case(
        "signature_that_is_not_text",
        WHOLE.replace(b"Stamp: s", b"Stamp: \xff"),
        stay,
        Broken,
    ),
    Case("full", FULL, stay, TurnedAway),
    Case("another_target", MISDIRECTED, stay, TurnedAway),
    *(
        Case(f"status_{odd.name}", answer(odd.line, ID.encode()), stay, Broken)
        for odd in STATUS_LINES
    ),
    Case("interim_answer_first", b"HTTP/1.1 103 Hint\r\n\r\n" + WHOLE, stay, b"hello"),
    Case("odd_interim_answer_first", ODD_INTERIM + WHOLE, stay, Broken),
]


@dataclass
class Leader:
    """A leader that holds its lease."""

    term: Term = Term(4)

    def holds_lease(self) -> bool:
        return True


ODD_VERSIONS = [
    ("superscript", "\u00b2".encode()),
    ("thousands_of_digits", b"9" * 5000),
    ("too_large", b"9" * 400),
    ("negative", b"-1"),
    ("not_text", b"\xff"),
]

LIMIT_LINE = b"Server-Limit: 1.5\r\n"


@dataclass(frozen=True)
class LimitCase:
    """A header of an answer, and the limits that are reported."""

    name: str
    header: bytes
    answer: bytes
    expected: list[float | None]


LEAVING_LINE = b"Server-Leaving: 1\r\n"
OTHER_ANSWER = WHOLE.replace(ID.encode(), b"0" * 16)


@dataclass(frozen=True)
class LeavingCase:
    """Header lines of an answer, and whether its target is left out."""

    name: str
    header: bytes
    answer: bytes
    leaves: bool


LEAVING_CASES = [
    LeavingCase("success", LEAVING_LINE, WHOLE, True),
    LeavingCase("failure", LEAVING_LINE, FAILED, True),
    LeavingCase("full", LEAVING_LINE, FULL, True),
    LeavingCase("limited", LEAVING_LINE, FULL.replace(b"503 Busy", b"429 No"), True),
    LeavingCase("not_named", b"", WHOLE, False),
    LeavingCase("zero", b"Server-Leaving: 0\r\n", WHOLE, False),
    LeavingCase("empty", b"Server-Leaving:\r\n", WHOLE, False),
    LeavingCase("word", b"Server-Leaving: yes\r\n", WHOLE, False),
    LeavingCase("two_values", b"Server-Leaving: 1, 0\r\n", WHOLE, False),
    LeavingCase("twice", LEAVING_LINE * 2, WHOLE, False),
    LeavingCase("of_another_target", LEAVING_LINE, MISDIRECTED, False),
    LeavingCase(
        "of_a_target_that_names_itself",
        LEAVING_LINE + b"X-Goldcrestyard-Instance-Id: other\r\n",
        WHOLE,
        False,
    ),
    LeavingCase(
        "misdirected_by_the_target_itself",
        LEAVING_LINE + b"X-Goldcrestyard-Instance-Id: t\r\n",
        MISDIRECTED,
        True,
    ),
    LeavingCase("of_another_request", LEAVING_LINE, OTHER_ANSWER, False),
]


class TargetClientTests(unittest.IsolatedAsyncioTestCase):
    """Guards against accepting incomplete answers and those of other calls."""

    async def asyncSetUp(self) -> None:
        self.requests: list[bytes] = []
        self.script: list[tuple[bytes, Callable[[Writer], Awaitable[None]]]] = []
        self.connections = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target: Target = replace(target("t"), address=f"127.0.0.1:{port}")
        self.limits: list[float | None] = []
        self.leaving = LeavingTargets(TargetsSlice(), Clock())
        self.machine = machine_of(EvacuationsSlice)
        self.client = HttpTargetClient(
            lambda _, limit: self.limits.append(limit),
            self.leaving,
            exclusions=TargetExclusions(
                self.machine.get(EvacuationsSlice), self.leaving.includes
            ),
            may_send_again=lambda _: self.may_send_again,
        )
        self.may_send_again = True
        await self.client.start()
        self.addAsyncCleanup(self._stop)

    async def _stop(self) -> None:
        await self.client.stop()
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                body = await reader.readexactly(length)
                self.requests.append(head + body)
                sent, end = self.script.pop(0)
                writer.write(sent)
                await writer.drain()
                await end(writer)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _call(self, **rest: object) -> TargetCall:
        headers = (("X-Goldcrestyard-Tenant", "forged"), ("X-Kept", "yes"))
        call = TargetCall(
            RequestId(ID), "POST", "h.example", "/a/b?c=%2F", headers, b"body"
        )
        return replace(call, **rest)  # type: ignore[arg-type]

    async def _send(self, **rest: object) -> object:
        """Send a call; return the body of the answer, or the failure."""
        async with self.client.open(self.target, self._call(**rest), 1.5) as reply:
            return await reply.read() if isinstance(reply, TargetReply) else reply

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_answer(self, _: str, case: Case) -> None:
        for repeatable in (False, True):
            with self.subTest(repeatable=repeatable):
                # A repeatable call that is cut off at once is sent again.
                self.script = [(case.sent, case.end)] * 2
                outcome = await self._send(repeatable=repeatable)
                if isinstance(case.expected, bytes):
                    self.assertEqual(outcome, case.expected)
                else:
                    self.assertIsInstance(outcome, case.expected)

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                LimitCase("named", LIMIT_LINE, WHOLE, [1.5]),
                LimitCase("not_named", b"", WHOLE, [None]),
                LimitCase("no_number", b"Server-Limit: some\r\n", WHOLE, [None]),
                LimitCase("not_finite", b"Server-Limit: nan\r\n", WHOLE, [None]),
                LimitCase("negative", b"Server-Limit: -1\r\n", WHOLE, [None]),
                LimitCase("not_run", LIMIT_LINE, FULL, [1.5]),
                LimitCase("of_another_target", LIMIT_LINE, MISDIRECTED, []),
                LimitCase(
                    "of_another_request",
                    LIMIT_LINE,
                    WHOLE.replace(ID.encode(), b"0" * 16),
                    [],
                ),
            )
        ]
    )
    async def test_request_limit(self, _: str, case: LimitCase) -> None:
        """Guards against limits that are not read, or taken from elsewhere."""
        line, end, rest = case.answer.partition(b"\r\n")
        self.script = [(line + end + case.header + rest, stay)] * 2
        await self._send(repeatable=False)
        self.assertEqual(self.limits, case.expected)

    @parameterized.expand(
        [
            ("whole", "t", b'{"seq":2}', True),
            ("nested_deeply", "t", b'{"x":' + b"[" * 9999 + b"]" * 9999 + b"}", False),
            ("number_too_large", "t", b'{"seq":' + b"9" * 400 + b"}", False),
            ("id_with_line_break", "t\n1", b"{}", False),
            ("port_out_of_range", "127.0.0.1:70000", b"{}", False),
        ]
    )
    async def test_report(self, _: str, odd: str, body: bytes, read: bool) -> None:
        """Guards against an odd engine that ends the loading of versions."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.script.append((head + body, stay))
        change = {"address": odd} if ":" in odd else {"id": odd}
        control = HttpEngineControl(self.client, InstanceId("m"))
        to = replace(self.target, **change)  # type: ignore[arg-type]
        self.assertEqual(await control.report(to) is not None, read)
        load = LoadOrder(ModelName("m"), WeightVersion(2), 1, 0)
        self.script = [(b"", close)]
        outcome = await control.load(to, load, permit_of(Leader()))
        self.assertIs(outcome, OrderOutcome.UNKNOWN)

    @parameterized.expand([(odd.name, odd) for odd in STATUS_LINES])
    async def test_odd_status_of_an_answer(self, _: str, odd: StatusLine) -> None:
        self.script = [(answer(odd.line, ID.encode()), stay)]
        outcome = await self._send(repeatable=False)
        assert isinstance(outcome, Broken)
        self.assertTrue(outcome.malformed)
        self.assertEqual(self.connections, 1)

    @parameterized.expand([(odd.name, odd) for odd in STATUS_LINES])
    async def test_odd_status_after_an_order(self, _: str, odd: StatusLine) -> None:
        """Guards against an order that counts as refused in vain."""
        self.script = [(answer(odd.line, ID.encode()), stay)]
        control = HttpEngineControl(self.client, InstanceId("m"))
        load = LoadOrder(ModelName("m"), WeightVersion(2), 1, 0)
        outcome = await control.load(self.target, load, permit_of(Leader()))
        self.assertIs(outcome, OrderOutcome.UNKNOWN)
        self.assertEqual(self.connections, 1)

    @parameterized.expand([(odd.name, odd) for odd in STATUS_LINES])
    async def test_odd_status_after_a_duty(self, _: str, odd: StatusLine) -> None:
        """Guards against a report or a rental settled by no answer."""
        self.script = [(answer(odd.line, ID.encode()), stay)] * 2
        permit = permit_of(Leader())
        duties = DutiesClient(self.client, self.target.address, InstanceId("m"))
        counts = WindowCounts(WindowNumber(1), {})
        rental = RentalOrder(ServiceName("s"), DataCentre("a"), 1)
        reported = await duties.report(counts, permit)
        rented = await duties.rent(rental, permit)
        self.assertIs(reported, ReportOutcome.UNKNOWN)
        self.assertIs(rented, RentalOutcome.UNKNOWN)

    @parameterized.expand(ODD_VERSIONS)
    async def test_odd_version(self, _: str, version: bytes) -> None:
        """Guards against a version that ends the task which reads it."""
        line = VERSION_HEADER.encode() + b": " + version + b"\r\n"
        event = b"id: 1\ndata: a\n" + line.replace(b"\r", b"") + b"\n"
        head = HEAD + line + b"Content-Length: %d\r\n\r\n" % len(event)
        self.script.append((head + event, stay))
        async with self.client.open(self.target, self._call(), 1.5) as reply:
            assert isinstance(reply, TargetReply)
            self.assertIsNone(reply.version)
            (read,) = [event async for event in reply.events()]
        self.assertIsInstance(read, Broken)

    @parameterized.expand([(case.name, case) for case in LEAVING_CASES])
    async def test_leaving(self, _: str, case: LeavingCase) -> None:
        """Guards against a notice that is missed, or taken from elsewhere."""
        line, end, rest = case.answer.partition(b"\r\n")
        self.script = [(line + end + case.header + rest, stay)] * 2
        call = self._call(repeatable=True)
        async with self.client.open(self.target, call, 1.5) as reply:
            if isinstance(reply, TargetReply):
                names = {name.lower() for name, _ in reply.headers}
                self.assertNotIn("server-leaving", names)
        self.assertEqual(case.leaves, self.leaving.includes(self.target))
        sent = len(self.requests)
        self.script = [(WHOLE, stay)] * 2
        for repeatable in (False, True):
            outcome = await self._send(repeatable=repeatable)
            self.assertEqual(case.leaves, isinstance(outcome, Withheld))
        self.assertEqual(case.leaves, sent == len(self.requests))

    async def test_dropped_request_is_not_sent_again_to_a_target_that_leaves(
        self,
    ) -> None:
        """Guards against a second sending, and an unproved "not run"."""

        async def leave_and_reset(writer: Writer) -> None:
            self.leaving.observe(self.target, 0.0)
            await reset(writer)

        self.script += [(b"", leave_and_reset), (WHOLE, stay)]
        self.assertIsInstance(await self._send(repeatable=True), Broken)
        self.assertEqual(len(self.requests), 1)

    async def test_nothing_is_sent_to_an_evacuated_data_centre(self) -> None:
        """Guards against requests whose target was chosen before."""
        for repeatable in (False, True):
            apply(self.machine, RequestEvacuation(self.target.data_centre, "one"))
            self.assertIsInstance(await self._send(repeatable=repeatable), Withheld)
            self.assertEqual([], self.requests)
            apply(self.machine, EndEvacuation(self.target.data_centre))
        self.script.append((WHOLE, stay))
        self.assertEqual(b"hello", await self._send())

    async def test_dropped_request_is_not_sent_again_to_an_evacuated_data_centre(
        self,
    ) -> None:
        """Guards against a second sending, and an unproved "not run"."""

        async def evacuate_and_reset(writer: Writer) -> None:
            apply(self.machine, RequestEvacuation(self.target.data_centre, "one"))
            await reset(writer)

        self.script += [(b"", evacuate_and_reset), (WHOLE, stay)]
        self.assertIsInstance(await self._send(repeatable=True), Broken)
        self.assertEqual(len(self.requests), 1)

    async def test_dropped_request_is_not_sent_again_without_a_permit(self) -> None:
        """Guards against two requests to a cold target with one permit."""
        self.may_send_again = False
        self.script += [(b"", reset), (WHOLE, stay)]
        self.assertIsInstance(await self._send(repeatable=True), Broken)
        self.assertEqual(len(self.requests), 1)

    async def test_bytes_left_over_are_not_the_next_answer(self) -> None:
        other = WHOLE.replace(b"hello", b"wrong")
        self.script += [(WHOLE + other, stay), (WHOLE, stay), (WHOLE, stay)]
        for _ in range(2):
            outcome = await self._send(repeatable=True)
            if isinstance(outcome, bytes):
                self.assertEqual(outcome, b"hello")

    async def test_late_answer_on_a_kept_connection_is_told_by_its_id(self) -> None:
        async def send_late(writer: Writer) -> None:
            await asyncio.sleep(0.1)
            writer.write(WHOLE.replace(b"hello", b"wrong"))
            await writer.drain()

        self.script += [(WHOLE, send_late), (WHOLE, stay)]
        self.assertEqual(await self._send(repeatable=True), b"hello")
        await asyncio.sleep(0.3)
        next_id = "1" * 16
        self.script[0] = (WHOLE.replace(ID.encode(), next_id.encode()), stay)
        outcome = await self._send(repeatable=True, request=RequestId(next_id))
        self.assertNotEqual(outcome, b"wrong")

    @parameterized.expand(
        [
            ("success", WHOLE),
            ("full", FULL),
            ("full_without_id", FULL.replace(ID_LINE, b"")),
            ("failed_without_id", FAILED.replace(ID_LINE, b"")),
            ("misdirected_without_id", MISDIRECTED.replace(ID_LINE, b"")),
        ]
    )
    async def test_second_copy_of_an_answer_is_not_the_next_answer(
        self, _: str, copy: bytes
    ) -> None:
        """A copy arrives when the next request on the connection was sent.

        Guards against an answer, or a "not run", that belongs to the caller
        before.
        """
        self.script += [(WHOLE, stay), (copy, stay), (copy, stay)]
        self.assertEqual(await self._send(repeatable=True), b"hello")
        outcome = await self._send(repeatable=True, request=RequestId("1" * 16))
        self.assertIsInstance(outcome, Broken)

    @parameterized.expand([("full", 503, True), ("another_target", 421, False)])
    async def test_single_connections_need_no_id(
        self, _: str, status: int, not_run: bool
    ) -> None:
        header = "X-Goldcrestyard-Not-Run: 1\r\n" if not_run else ""
        answer = f"HTTP/1.1 {status} No\r\n{header}Content-Length: 0\r\n\r\n"
        for repeatable, expected in ((False, TurnedAway), (True, Broken)):
            self.script = [(answer.encode(), stay)] * 2
            outcome = await self._send(repeatable=repeatable)
            self.assertIsInstance(outcome, expected)

    async def test_request_sent_to_the_target(self) -> None:
        self.script.append((WHOLE, stay))
        await self._send(
            organisation=OrganisationId("tejo"), resume_after=EventNumber(4)
        )
        (request,) = self.requests
        head, _, body = request.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.assertEqual(lines[0], "POST /a/b?c=%2F HTTP/1.1")
        self.assertEqual(body, b"body")
        for expected in (
            "Host: h.example",
            f"X-Goldcrestyard-Attempt-Id: {ID}",
            "X-Goldcrestyard-Expect-Instance: t",
            "X-Goldcrestyard-Tenant: tejo",
            "Last-Event-Id: 4",
            "X-Kept: yes",
        ):
            self.assertIn(expected, lines)
        (deadline,) = [line for line in lines if "Deadline" in line]
        self.assertLessEqual(int(deadline.rpartition(" ")[2]), 1500)
        self.assertFalse(any("forged" in line for line in lines))

    @parameterized.expand(
        [("none", None, []), ("highest", 0, ["0"]), ("low", 12, ["9"])]
    )
    async def test_urgency_sent_to_the_target(
        self, _: str, urgency: int | None, expected: list[str]
    ) -> None:
        """Guards against an urgency that engines do not know."""
        self.script.append((WHOLE, stay))
        await self._send(urgency=urgency)
        (request,) = self.requests
        lines = request.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        name = "X-Goldcrestyard-Sched-Priority: "
        found = [line.removeprefix(name) for line in lines if line.startswith(name)]
        self.assertEqual(found, expected)

    @parameterized.expand([("kept", True, 1), ("one_each", False, 3)])
    async def test_connections(self, _: str, repeatable: bool, expected: int) -> None:
        for _number in range(3):
            self.script.append((WHOLE, stay))
            self.assertEqual(await self._send(repeatable=repeatable), b"hello")
        self.assertEqual(self.connections, expected)

    async def test_closed_port_proves_that_nothing_was_sent(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        self.assertIsInstance(await self._send(), Unreached)

    async def test_target_that_ended_is_told_from_one_that_runs(self) -> None:
        self.assertFalse(await self.client.refuses_connections(self.target))
        self.server.close()
        await self.server.wait_closed()
        self.assertTrue(await self.client.refuses_connections(self.target))

    async def test_get_that_may_run_once_is_never_sent_twice(self) -> None:
        self.script += [(b"", close), (WHOLE, stay)]
        outcome = await self._send(method="GET", body=b"")
        self.assertIsInstance(outcome, Broken)
        self.assertEqual(len(self.requests), 1)

    async def test_connection_dropped_while_idle_is_retried(self) -> None:
        self.script += [(WHOLE, stay), (b"", reset), (WHOLE, stay)]
        for _number in range(2):
            outcome = await self._send(repeatable=True)
            self.assertEqual(outcome, b"hello")
        self.assertEqual(len(self.requests), 3)

    async def test_request_may_have_run_at_a_target_that_is_gone(self) -> None:
        """Guards against a refused second try that hides the first."""

        async def crash(writer: Writer) -> None:
            self.server.close()
            await reset(writer)

        self.script += [(WHOLE, stay), (b"", crash)]
        await self._send(repeatable=True)
        self.assertIsInstance(await self._send(repeatable=True), Broken)

    async def test_silent_connections_are_not_used_again(self) -> None:
        """Guards against waiting for a time-out on every silent connection."""
        self.script += [(WHOLE, stay)] * 4
        await asyncio.gather(*(self._send(repeatable=True) for _ in range(4)))
        kept = self.connections
        self.script.append((b"", stay))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.7):
                await self._send(repeatable=True)
        self.script.append((WHOLE, stay))
        self.assertEqual(await self._send(repeatable=True), b"hello")
        self.assertEqual(self.connections, kept + 1)

    async def test_second_try_is_the_last(self) -> None:
        self.script += [(b"", close), (b"", close), (WHOLE, stay)]
        self.assertIsInstance(await self._send(repeatable=True), Broken)
        self.assertEqual(len(self.requests), 2)

    @parameterized.expand(
        [
            ("whole", b"Connection: close\r\n", EVENTS, close, 2, False),
            ("reset", b"Connection: close\r\n", EVENTS[:20], reset, 1, True),
            ("within_an_event", b"Connection: close\r\n", EVENTS[:20], close, 1, True),
            ("length_not_reached", b"Content-Length: 90\r\n", EVENTS, close, 2, True),
        ]
    )
    async def test_stream(
        self,
        _: str,
        framing: bytes,
        sent: bytes,
        end: Callable[[Writer], Awaitable[None]],
        events: int,
        broken: bool,
    ) -> None:
        self.script.append((HEAD + framing + b"\r\n" + sent, end))
        async with self.client.open(self.target, self._call(), 1.5) as reply:
            assert isinstance(reply, TargetReply)
            received = [event async for event in reply.events()]
        whole = [event for event in received if isinstance(event, StreamEvent)]
        self.assertEqual(len(whole), events)
        self.assertEqual(any(isinstance(event, Broken) for event in received), broken)
