"""A process that asks to be a member of the replicated log."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.fleet.assembly.commands import JoinCluster, JoinNoted
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)

CHECK_SECONDS = 0.5
ANSWER_SECONDS = 1.0


class ClusterJoiner:
    """Asks for membership while this process has none, or is not heard.

    It asks once in any case, so that the leader learns the machine's name.

    A member that was removed during a long absence still finds itself in the
    configuration that it knows, but no leader calls on it any more.
    """

    def __init__(
        self,
        member: ControlMember,
        own_address: str,
        machine: str,
        addresses: ControlAddresses,
        dialer: PeerDialer,
        ask_self: Callable[[JoinCluster], Awaitable[object]],
    ) -> None:
        self._member = member
        self._own_address = own_address
        self._machine = machine
        self._addresses = addresses
        self._dialer = dialer
        self._ask_self = ask_self
        self._announced = False

    async def run(self) -> None:
        """Ask until a leader counts this process in, for its whole life."""
        while True:
            if not self._is_counted_in():
                await self._ask()
            await asyncio.sleep(CHECK_SECONDS * random.uniform(0.5, 1.5))

    def _is_counted_in(self) -> bool:
        return (
            self._announced
            and self._member.is_member
            and self._member.leader is not None
        )

    async def _ask(self) -> None:
        if self._member.is_leader:
            # Nobody else can tell the leader on which machine it runs.
            reply = await self._ask_self(self._join())
            self._announced = isinstance(reply, JoinNoted)
            return
        candidates = [
            instance
            for instance in self._addresses
            if instance != self._member.instance
        ]
        random.shuffle(candidates)
        for instance in candidates:
            reply = await self._request(self._addresses[instance])
            if (
                isinstance(reply, NotLeader)
                and reply.leader is not None
                and reply.address not in ("", self._own_address)
            ):
                self._addresses.learn_leader(reply)
                reply = await self._request(PeerAddress.parse(reply.address))
            if isinstance(reply, JoinNoted):
                self._announced = True
                logger.info("asked to join the cluster", leader=instance)
                return

    def _join(self) -> JoinCluster:
        return JoinCluster(
            self._member.member_id,
            self._member.instance,
            self._own_address,
            self._machine,
        )

    async def _request(self, address: PeerAddress) -> object:
        try:
            async with self._dialer.connect(address) as connection:
                return await connection.request(self._join(), ANSWER_SECONDS)
        except PeerUnavailableError as error:
            logger.debug(
                "control member unavailable", peer=str(address), error=str(error)
            )
            return None
