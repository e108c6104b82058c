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
from goldcrestyard.wire.connection import Handlers, NoAnswer, NotSent, PeerConnection
from goldcrestyard.wire.messages import (
    ChangesPush,
    Failure,
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

LEADERLESS_SECONDS = 3.0
"""Time without a leader after which an entry logs what the control members
answered.  An election takes about as long, and is no fault."""

REPEAT_SECONDS = 10.0
"""Interval in seconds at which that line is repeated."""

MAX_FAILURE_CHARACTERS = 40


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
        self._answers_by_instance: dict[InstanceId, str] = {}
        """What each control member last answered, for the log."""
        self._answered_at_by_instance: dict[InstanceId, float] = {}
        """When each control member last answered a request at all."""
        self._left_leader_at = clock.monotonic()
        self._logged_at = float("-inf")

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
            self._log_missing_leader()
            await asyncio.sleep(RETRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5))

    def _log_missing_leader(self) -> None:
        """Log, at intervals, why no control member has been followed lately.

        The members' addresses, their answers and their silence tell a cluster
        without a leader from a leader that this entry does not reach.
        """
        now = self._clock.monotonic()
        leaderless = now - self._left_leader_at
        if (
            self._link.leader is not None
            or leaderless < LEADERLESS_SECONDS
            or now - self._logged_at < REPEAT_SECONDS
        ):
            return
        self._logged_at = now
        logger.warning(
            "no leader is found",
            answers={
                instance: self._answers_by_instance.get(instance, "not asked yet")
                for instance in self._addresses
            },
            answered_seconds={
                instance: round(now - at, 1) if at is not None else None
                for instance in self._addresses
                for at in [self._answered_at_by_instance.get(instance)]
            },
            leaderless_seconds=round(leaderless, 1),
        )

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
                self._answers_by_instance[instance] = _describe(reply)
                self._record_answer(instance, reply)
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
            self._answers_by_instance[instance] = "unreachable"
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
                self._record_answer(connection.peer, reply)
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
            self._left_leader_at = self._clock.monotonic()

    def _record_answer(self, instance: InstanceId, reply: object) -> None:
        if not isinstance(reply, NoAnswer | NotSent):
            self._answered_at_by_instance[instance] = self._clock.monotonic()

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


def _describe(reply: object) -> str:
    """Return an answer to a subscription in a few words."""
    match reply:
        case SubscribeReply():
            return "leads"
        case NotLeader(leader=None):
            return "knows no leader"
        case NotLeader(leader=leader):
            return f"names {leader}"
        case Failure(detail=detail):
            return detail[:MAX_FAILURE_CHARACTERS]
        case NoAnswer() | NotSent():
            return "no answer"
        case _:
            return type(reply).__name__
