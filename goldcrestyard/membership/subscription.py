"""An entry's subscription to the leader.

It finds the leader among the control members, receives the committed changes
that the leader pushes, and renews the entry's lease.
"""

import asyncio
import random

import structlog

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.wire.client import PeerDialer, PeerUnavailableError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import (
    ChangesPush,
    NotLeader,
    Renew,
    RenewReply,
    SnapshotPush,
    Subscribe,
    SubscribeReply,
)

logger = structlog.get_logger(__name__)

RENEW_INTERVAL_SECONDS = 1.0
RENEW_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.2


class Subscription:
    """Finds the leader, receives its changes and renews the lease.

    ``draining`` is sent with each renewal and informs the leader that this
    entry is about to stop.
    """

    def __init__(
        self,
        view: EntryView,
        link: LeaderLink,
        dialer: PeerDialer,
        clock: Clock,
        control_addresses: ControlAddresses,
        digests: EntryDigests,
        renew_seconds: float = RENEW_INTERVAL_SECONDS,
        renew_timeout_seconds: float = RENEW_TIMEOUT_SECONDS,
    ) -> None:
        self._view = view
        self._link = link
        self._dialer = dialer
        self._clock = clock
        self._addresses = control_addresses
        self._digests = digests
        self._renew_seconds = renew_seconds
        self._renew_timeout_seconds = renew_timeout_seconds
        self.draining = False

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of the leader's pushes."""
        handlers.add(ChangesPush, self._on_changes)
        handlers.add(SnapshotPush, self._on_snapshot)

    async def run(self) -> None:
        """Stay subscribed to the leader for the life of the process."""
        hint: InstanceId | None = None
        while True:
            for instance in self._candidates(hint):
                hint = await self._subscribe_to(instance)
                if hint is not None:
                    break
            await asyncio.sleep(RETRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    def _candidates(self, hint: InstanceId | None) -> list[InstanceId]:
        """Return the control members to try, with the likely leader first."""
        others = [instance for instance in self._addresses if instance != hint]
        random.shuffle(others)
        if hint in self._addresses and hint is not None:
            return [hint, *others]
        return others

    async def _subscribe_to(self, instance: InstanceId) -> InstanceId | None:
        """Subscribe to a member while it leads.

        Returns the leader that the member last named, or None.
        """
        try:
            async with self._dialer.connect(self._addresses[instance]) as connection:
                reply = await connection.request(
                    Subscribe(self._view.revision), self._renew_timeout_seconds
                )
                match reply:
                    case SubscribeReply():
                        return await self._follow(connection)
                    case NotLeader():
                        if reply.leader == instance:
                            return None
                        return self._addresses.learn_leader(reply)
                    case _:
                        return None
        except PeerUnavailableError as error:
            logger.debug("control member unavailable", peer=instance, error=str(error))
            return None

    async def _follow(self, connection: PeerConnection) -> InstanceId | None:
        """Renew the lease until the member stops leading or does not answer.

        Returns the new leader if the member names one.
        """
        logger.info("following the leader", leader=connection.peer)
        self._link.attach(connection)
        try:
            while True:
                sent_at = self._clock.monotonic()
                renew = Renew(
                    self._view.revision, self.draining, self._digests.collect()
                )
                reply = await connection.request(renew, self._renew_timeout_seconds)
                match reply:
                    case RenewReply(lease_seconds=lease_seconds):
                        self._view.grant(sent_at, lease_seconds)
                        self._digests.receive(reply.summaries_by_name)
                    case NotLeader():
                        return self._addresses.learn_leader(reply)
                    case _:
                        logger.warning(
                            "lease renewal failed; looking for the leader again",
                            reply=str(reply),
                        )
                        return None
                await self._wait_for_next_renewal()
        finally:
            self._link.detach()

    async def _wait_for_next_renewal(self) -> None:
        """Wait for the renewal interval, or until an earlier one is requested.

        The early renewal informs the leader that this entry has applied a
        change, or that it has an urgent digest.
        """
        requested = self._digests.renewal_requested
        await wait_at_most(self._renew_seconds, requested.wait())
        requested.clear()

    async def _on_changes(self, push: ChangesPush, _: PeerConnection) -> None:
        self._view.apply_changes(push.changes)
        self._digests.request_renewal()

    async def _on_snapshot(self, push: SnapshotPush, _: PeerConnection) -> None:
        self._view.load(push)
        self._digests.request_renewal()
