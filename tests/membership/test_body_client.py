"""Tests of the client of the body store, over real peer connections.

They guard against reporting a body as stored before a quorum has synced it,
and against losing a body because one member's copy is damaged or missing.
"""

import asyncio
import tempfile
import unittest
import unittest.mock
from dataclasses import dataclass, field
from pathlib import Path

from parameterized import parameterized

from demo.deployment import free_port
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership import body_client
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.membership.body_messages import BODY_MESSAGES
from goldcrestyard.plugins.bodies.serving import BodyServer
from goldcrestyard.storage.bodies import BodyStore, compute_digest
from goldcrestyard.wire.client import PeerAddress, PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import MESSAGES
from goldcrestyard.wire.server import PeerServer

BODY = b"sample"


@dataclass
class Member:
    """One control member's body store."""

    address: PeerAddress
    folder: Path
    server: PeerServer
    files: BodyStore


@dataclass(frozen=True)
class Case:
    """Number of members, their faults, and whether a write succeeds."""

    name: str
    members: int
    down: frozenset[int] = field(default_factory=frozenset)
    disk_fails: frozenset[int] = field(default_factory=frozenset)
    stored: bool = True


CASES = [
    Case("single", 1),
    Case("all_of_three", 3),
    Case("one_of_three_down", 3, frozenset([0])),
    Case("two_of_three_down", 3, frozenset([0, 1]), stored=False),
    Case("one_disk_of_three_fails", 3, disk_fails=frozenset([0])),
    Case("two_disks_of_three_fail", 3, disk_fails=frozenset([0, 1]), stored=False),
    Case("one_down_and_one_disk", 3, frozenset([0]), frozenset([1]), stored=False),
    Case("two_of_five_down", 5, frozenset([0, 1])),
    Case("three_of_five_down", 5, frozenset([0, 1, 2]), stored=False),
]


class BodyClientTests(unittest.IsolatedAsyncioTestCase):
    """Writes to a quorum and reads from any member."""

    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    async def start(self, case: Case) -> tuple[list[Member], BodyClient]:
        """Start the members that are not down, and a client."""
        members = []
        for number in range(case.members):
            member = self.member(number)
            members.append(member)
            if number in case.disk_fails:
                (member.folder / "bodies").write_text("not a folder")
            if number not in case.down:
                await member.server.start(member.address.host, member.address.port)
                self.addAsyncCleanup(member.server.stop)
        client = self.client(members)
        return members, client

    def member(self, number: int) -> Member:
        """Return a member that has not been started."""
        codec, handlers = self.codec(), Handlers()
        folder = self.folder / str(number)
        folder.mkdir()
        files = BodyStore(folder / "bodies")
        BodyServer(files, self.client([]), Clock()).register(handlers)
        identity = Identity("test", InstanceId(f"member-{number}"), b"s" * 16)
        server = PeerServer(identity, codec, handlers)
        return Member(PeerAddress("127.0.0.1", free_port()), folder, server, files)

    def client(self, members: list[Member]) -> BodyClient:
        """Return a client with its connections running."""
        identity = Identity("test", InstanceId("entry"), b"s" * 16)
        dialer = PeerDialer(identity, self.codec(), Handlers())
        addresses = {
            InstanceId(f"member-{number}"): member.address
            for number, member in enumerate(members)
        }
        client = BodyClient(dialer, addresses, lambda member: member == "member-0")
        for link in client.links:
            task = asyncio.create_task(link.run())
            self.addCleanup(task.cancel)
        self.addAsyncCleanup(client.close)
        return client

    @staticmethod
    def codec() -> Codec:
        """Return a codec with all the messages that the test sends."""
        codec = Codec()
        codec.register(*MESSAGES, *BODY_MESSAGES)
        return codec

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_put_needs_a_quorum(self, _: str, case: Case) -> None:
        members, client = await self.start(case)
        if not case.stored:
            # Only failing writes wait for members that are down; a shorter
            # time-out keeps the test fast.
            shorter = unittest.mock.patch.object(
                body_client, "PUT_TIMEOUT_SECONDS", 1.5
            )
            self.enterContext(shorter)
        result = await client.put(BODY)
        copies = sum(
            member.files.get(compute_digest(BODY)) == BODY
            for number, member in enumerate(members)
            if number not in case.disk_fails
        )
        if case.stored:
            self.assertEqual(result, compute_digest(BODY))
            self.assertGreaterEqual(copies, client.quorum)
            self.assertEqual(await client.get(compute_digest(BODY)), BODY)
        else:
            assert isinstance(result, Refusal)
            self.assertIs(result.verdict, Verdict.MAY_HAVE_RUN)

    async def test_get_passes_over_missing_and_damaged_copies(self) -> None:
        members, client = await self.start(Case("three", 3))
        members[0].files.put(BODY, 2e9)
        path = next(members[0].folder.rglob(compute_digest(BODY)))
        path.write_bytes(b"damaged")
        members[2].files.put(BODY, 2e9)
        self.assertEqual(await client.get(compute_digest(BODY)), BODY)

    async def test_get_of_an_unknown_body_ends(self) -> None:
        _, client = await self.start(Case("three", 3))
        self.assertIsNone(await client.get(compute_digest(b"unknown")))

    async def test_member_that_comes_back_is_used_again(self) -> None:
        members, client = await self.start(Case("single", 1))
        self.assertEqual(await client.put(BODY), compute_digest(BODY))
        await members[0].server.stop()
        await members[0].server.start(members[0].address.host, members[0].address.port)
        self.assertEqual(await client.put(b"next"), compute_digest(b"next"))
