"""Join requests that the leader has received, and which of them still count.

A request may arrive after its sender has lost its disk, and after the next
process of that instance has joined with a new member id.  If the earlier id
were added then, the present member would count as lost.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.status import MemberStatus
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.policy.membership import Joiner
from goldcrestyard.wire.limits import PING_INTERVAL_SECONDS, PING_TIMEOUT_SECONDS

JOIN_REQUEST_TTL_SECONDS = 3.0
"""Time in seconds after which a join request expires.  A process that is not
yet a member repeats its request every half second."""

EARLIER_ID_SECONDS = PING_INTERVAL_SECONDS + PING_TIMEOUT_SECONDS
"""Time in seconds for which an earlier member id of an instance is refused.
By then the leader has closed each connection of a process that is gone.  The
id is accepted later, since an operator may have put the earlier disk back."""

MIN_RESTART_SECONDS = 0.3
"""Shortest time in seconds from a member's last answer to the first request of
the next process of its instance.  It is shorter than a restart takes, and
longer than two heartbeats, so that a member that runs has answered meanwhile.
"""


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A request to become a member, and the time of its receipt."""

    joiner: Joiner
    cluster: str | None
    """See ``JoinCluster.cluster``."""
    received_at: float


class JoinRequests:
    """The latest join request of each instance, and its earlier member ids."""

    def __init__(self) -> None:
        self._requests_by_instance: dict[InstanceId, JoinRequest] = {}
        self._latest_ids_by_instance: dict[InstanceId, MemberId] = {}
        self._refused_until_by_id: dict[MemberId, float] = {}

    def record(self, request: JoinRequest, members: Sequence[MemberStatus]) -> bool:
        """Record a request; return whether its sender may have to be added.

        A request of one of the ``members`` of the configuration, or of an
        earlier process, is not recorded.  Of two ids of an instance, the one
        that was seen first is the earlier one.
        """
        joiner = request.joiner
        now = request.received_at
        if (
            any(member.id == joiner.id for member in members)
            or self._refused_until_by_id.get(joiner.id, now) > now
            or _is_contradicted(request, members, now)
        ):
            return False
        recorded = self._requests_by_instance.get(joiner.instance, request)
        if recorded.received_at > now:
            if recorded.joiner.id != joiner.id:
                self._refuse([joiner.id], now)
            return False
        earlier = [m.id for m in members if m.instance == joiner.instance]
        latest = self._latest_ids_by_instance.get(joiner.instance, joiner.id)
        if latest != joiner.id:
            earlier.append(latest)
        self._refuse(earlier, now)
        self._latest_ids_by_instance[joiner.instance] = joiner.id
        self._requests_by_instance[joiner.instance] = request
        return True

    def pending(self, members: Sequence[MemberStatus], now: float) -> list[JoinRequest]:
        """Return the requests of processes that may be added now.

        A request is kept until its sender is in the configuration.  It must
        not outlive that: a member that is removed has to ask again.
        """
        latest = {member.instance: member.id for member in members}
        self._refuse([m.id for m in members if m.id != latest[m.instance]], now)
        self._latest_ids_by_instance = latest | self._latest_ids_by_instance
        member_ids = {member.id for member in members}
        self._requests_by_instance = {
            instance: request
            for instance, request in self._requests_by_instance.items()
            if now - request.received_at < JOIN_REQUEST_TTL_SECONDS
            and request.joiner.id not in member_ids
        }
        return [
            request
            for request in self._requests_by_instance.values()
            if not _is_contradicted(request, members, now)
        ]

    def _refuse(self, earlier: Sequence[MemberId], now: float) -> None:
        """Refuse requests with earlier ids of an instance for a time."""
        until = dict.fromkeys(earlier, now + EARLIER_ID_SECONDS)
        self._refused_until_by_id = {
            member_id: refused_until
            for member_id, refused_until in (self._refused_until_by_id | until).items()
            if refused_until > now
        }


def _is_contradicted(
    request: JoinRequest, members: Sequence[MemberStatus], now: float
) -> bool:
    """Return whether another member of the instance still runs.

    That one has answered just before the request or since, so the request is
    one of an earlier process, or comes too early to be told from one.
    """
    joiner = request.joiner
    return any(
        now - member.last_contact_seconds > request.received_at - MIN_RESTART_SECONDS
        for member in members
        if member.instance == joiner.instance
        and member.id != joiner.id
        and member.last_contact_seconds is not None
    )
