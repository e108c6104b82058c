"""Tests of an entry's subscription to the leader."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import structlog
from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.subscription import Subscription
from goldcrestyard.membership.view import EntryView
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.client import PeerAddress, PeerUnavailableError
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import NoAnswer
from goldcrestyard.wire.messages import (
    NotLeader,
    Renew,
    RenewReply,
    Subscribe,
    SubscribeReply,
)
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

CONNECT_SECONDS = 0.5
RENEW_SECONDS = 0.5
RENEW_TIMEOUT_SECONDS = 0.6
LEASE_SECONDS = 3.0


class Members:
    """Fake control members; one leads, the others name it as the leader.

    Those in ``silent`` do not answer.
    """

    def __init__(self, *names: str) -> None:
        self.names = names
        self.leader: str | None = names[0]
        self.silent: set[str] = set()

    @asynccontextmanager
    async def connect(self, address: PeerAddress) -> AsyncIterator["_Connection"]:
        if address.host in self.silent:
            await asyncio.sleep(CONNECT_SECONDS)
            raise PeerUnavailableError(f"{address}: timeout")
        yield _Connection(self, address.host)


class _Connection:
    def __init__(self, members: Members, name: str) -> None:
        self.peer = InstanceId(name)
        self._members = members

    async def request(self, message: object, timeout: float) -> object:
        members = self._members
        if self.peer in members.silent:
            await asyncio.sleep(timeout)
            return NoAnswer("timeout")
        await asyncio.sleep(0.01)
        if members.leader != self.peer:
            leader = members.leader
            if leader is None:
                return NotLeader(None)
            return NotLeader(InstanceId(leader), f"{leader}:1")
        match message:
            case Subscribe():
                return SubscribeReply(Revision(0))
            case Renew():
                return RenewReply(LEASE_SECONDS, Revision(0))
        raise TypeError(message)


class SubscriptionTests(PausedClockTestCase):
    """Guards against losing the entry's lease while there is a leader.

    An entry without a lease refuses all requests that need an API key.
    """

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.members = Members("a", "b", "c")
        clock = self.clock()
        self.view = EntryView(StateMachine([]), Codec(), clock)
        self.link = LeaderLink(InstanceId("entry"), Codec())
        self.addresses = ControlAddresses({InstanceId("b"): "b:1"})
        subscription = Subscription(
            self.view,
            self.link,
            self.members,  # type: ignore[arg-type]
            clock,
            self.addresses,
            EntryDigests(),
            RENEW_SECONDS,
            RENEW_TIMEOUT_SECONDS,
        )
        task = asyncio.create_task(subscription.run())
        self.addCleanup(task.cancel)

    async def test_leader_missing_from_the_settings_is_found(self) -> None:
        await asyncio.sleep(1.0)
        self.assertEqual(self.link.leader, "a")
        self.assertTrue(self.view.holds_lease())

    @parameterized.expand([(number,) for number in range(8)])
    async def test_silent_leader_is_left_within_the_lease(self, number: int) -> None:
        for name in ("a", "c"):
            self.addresses.add_address(InstanceId(name), f"{name}:1")
        await asyncio.sleep(2.0 + 0.1 * number)
        self.members.silent.add("a")
        self.members.leader = None
        await asyncio.sleep(0.9)
        self.members.leader = "b"
        for _ in range(60):
            self.assertTrue(self.view.holds_lease())
            await asyncio.sleep(0.05)
        self.assertEqual(self.link.leader, "b")

    @parameterized.expand(
        [
            ("no_leader", None, set(), "knows no leader", (0.0, 2.0)),
            ("gone", "a", {"a"}, "names a", (0.0, 2.0)),
            ("silent", None, {"b"}, "unreachable", (8.0, 12.0)),
            ("leader_silent", "b", {"b"}, "unreachable", (3.0, 5.0)),
        ]
    )
    async def test_answers_without_a_leader_are_logged(
        self,
        _: str,
        leader: str | None,
        silent: set[str],
        answer: str,
        answered: tuple[float, float],
    ) -> None:
        """Guards against fronts that refuse keys while no line says why."""
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(0))
        with structlog.testing.capture_logs() as lines:
            self.addresses.learn_leader(NotLeader(InstanceId("d"), "d:1"))
            self.members.silent.add("d")
            self.members.leader = leader or "a"
            await asyncio.sleep(6.0)
            self.members.leader = leader
            self.members.silent |= silent
            await asyncio.sleep(8.0)
        found = [line for line in lines if line["event"] == "no leader is found"]
        self.assertEqual(1, len(found))
        self.assertEqual(answer, found[0]["answers"]["b"])
        self.assertGreaterEqual(found[0]["leaderless_seconds"], 3.0)
        ages = found[0]["answered_seconds"]
        self.assertIsNone(ages["d"])
        self.assertTrue(answered[0] <= ages["b"] <= answered[1], ages)

    async def test_lease_ends_without_a_leader(self) -> None:
        await asyncio.sleep(1.0)
        self.members.leader = None
        await asyncio.sleep(LEASE_SECONDS + 0.5)
        self.assertFalse(self.view.holds_lease())
