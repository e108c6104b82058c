"""Requests of a process to become a member of the control cluster."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.assembly.commands import JoinCluster, JoinNoted
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)

JOIN_CHECK_INTERVAL_SECONDS = 0.5
JOIN_TIMEOUT_SECONDS = 1.0


class ClusterJoiner:
    """Requests membership while this process is not a member or has no leader.

    At least one request is sent after each start, so that the leader receives
    the machine's name.

    A member that was removed during a long absence still finds itself in its
    own, outdated configuration; the missing contact with a leader shows that
    it has to join again.
    """

    def __init__(
        self,
        member: ControlMember,
        own_address: str,
        machine: str,
        addresses: ControlAddresses,
        dialer: PeerDialer,
        join_locally: Callable[[JoinCluster], Awaitable[object]],
    ) -> None:
        self._member = member
        self._own_address = own_address
        self._machine = machine
        self._addresses = addresses
        self._dialer = dialer
        self._join_locally = join_locally
        self._acknowledged = False

    async def run(self) -> None:
        """Check periodically and request membership while it is missing."""
        while True:
            if not self._member.is_suspended and not self._has_joined():
                await self._request_membership()
            await asyncio.sleep(JOIN_CHECK_INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    def _has_joined(self) -> bool:
        return (
            self._acknowledged
            and self._member.is_member
            and self._member.leader is not None
        )

    async def _request_membership(self) -> None:
        if self._member.is_leader:
            # The leader also has to commit the name of its own machine.
            reply = await self._join_locally(self._join_message())
            self._acknowledged = isinstance(reply, JoinNoted)
            return
        candidates = [
            instance
            for instance in self._addresses
            if instance != self._member.instance
        ]
        random.shuffle(candidates)
        for instance in candidates:
            answering: str = instance
            reply = await self._send_join(self._addresses[instance])
            if (
                isinstance(reply, NotLeader)
                and reply.leader is not None
                and reply.address not in ("", self._own_address)
            ):
                self._addresses.learn_leader(reply)
                answering = reply.leader
                reply = await self._send_join(PeerAddress.parse(reply.address))
            if isinstance(reply, JoinNoted):
                self._acknowledged = True
                logger.info(
                    "join request acknowledged by the leader",
                    leader=answering,
                    term=self._member.term,
                )
                return

    def _join_message(self) -> JoinCluster:
        return JoinCluster(
            self._member.member_id,
            self._member.instance,
            self._own_address,
            self._machine,
        )

    async def _send_join(self, address: PeerAddress) -> object:
        try:
            async with self._dialer.connect(address) as connection:
                return await connection.request(
                    self._join_message(), JOIN_TIMEOUT_SECONDS
                )
        except PeerUnavailableError as error:
            logger.debug(
                "control member unavailable", peer=str(address), error=str(error)
            )
            return None
