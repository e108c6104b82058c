"""Requests of a process to become a member of the control cluster."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.commands import JoinCluster, JoinNoted
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)

JOIN_CHECK_INTERVAL_SECONDS = 0.5
JOIN_TIMEOUT_SECONDS = 1.0
"""Time in seconds for a round of join requests.  After that a new connection
is likely to be faster than one that has lost packets."""

MAX_ASKED_MEMBERS = 8
"""Maximum number of control members that are asked in one round.  A cluster
has fewer, but the addresses of former members stay known."""


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
        # The leader that the log names since this process last had joined.
        self._logged_leader: InstanceId | None = None

    async def run(self) -> None:
        """Check periodically and request membership while it is missing."""
        loop = asyncio.get_running_loop()
        while True:
            interval = JOIN_CHECK_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
            next_check_at = loop.time() + interval
            if self._has_joined():
                self._logged_leader = None
            elif not self._member.is_suspended:
                await self._request_membership()
            await asyncio.sleep(next_check_at - loop.time())

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
        leader = await self._ask_members()
        if leader is None:
            return
        self._acknowledged = True
        if leader != self._logged_leader:
            self._logged_leader = leader
            logger.info(
                "join request acknowledged by the leader",
                leader=leader,
                term=self._member.term,
            )

    async def _ask_members(self) -> InstanceId | None:
        """Ask the known members at the same time.

        Return the first one that acknowledges the request as the leader, or
        None.  A lost packet then delays one of several requests.
        """
        candidates = [
            instance
            for instance in self._addresses
            if instance != self._member.instance
        ]
        asked = random.sample(candidates, min(len(candidates), MAX_ASKED_MEMBERS))
        requests = [
            asyncio.create_task(self._ask_member(instance), name=f"join at {instance}")
            for instance in asked
        ]
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_SECONDS):
                for answer in asyncio.as_completed(requests):
                    leader = await answer
                    if leader is not None:
                        return leader
        except TimeoutError:
            pass
        finally:
            for request in requests:
                request.cancel()
            await asyncio.gather(*requests, return_exceptions=True)
        return None

    async def _ask_member(self, instance: InstanceId) -> InstanceId | None:
        """Send a request to a member, and to the leader that it names.

        Return the member that acknowledged the request, or None.
        """
        reply = await self._send_join(self._addresses[instance])
        if (
            isinstance(reply, NotLeader)
            and reply.leader is not None
            and reply.address not in ("", self._own_address)
        ):
            self._addresses.learn_leader(reply)
            instance = reply.leader
            reply = await self._send_join(PeerAddress.parse(reply.address))
        return instance if isinstance(reply, JoinNoted) else None

    def _join_message(self) -> JoinCluster:
        return JoinCluster(
            self._member.member_id,
            self._member.instance,
            self._own_address,
            self._machine,
            self._member.cluster,
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
