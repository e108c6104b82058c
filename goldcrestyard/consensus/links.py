"""Links from this control member to the control members of all instances."""

from collections.abc import Callable, Mapping

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import Dialer, MemberIdentity, MemberLink
from goldcrestyard.consensus.messages import TransferKey
from goldcrestyard.consensus.missing_votes import MemberAnswer
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.client import PeerAddress


class MemberLinks:
    """One link for each other instance, and the instance of each member."""

    def __init__(
        self,
        own_instance: InstanceId,
        configured_addresses: Mapping[InstanceId, str],
        dialer: Dialer,
        own_identity: Callable[[], MemberIdentity],
        on_identity: Callable[[], None],
        on_messages: Callable[[MemberId, tuple[bytes, ...]], None],
        spawn: Callable[[MemberLink], None],
    ) -> None:
        self._own_instance = own_instance
        self._configured_addresses = configured_addresses
        self._dialer = dialer
        self._own_identity = own_identity
        self._on_identity = on_identity
        self._on_messages = on_messages
        self._spawn = spawn
        self._links_by_instance: dict[InstanceId, MemberLink] = {}
        self._instances_by_member: dict[MemberId, InstanceId] = {}

    def get_or_create(self, instance: InstanceId, address: str) -> MemberLink | None:
        """Return the link to an instance; create and start it if needed.

        The address in the settings takes precedence over ``address``.  None
        is returned for this member's own instance.
        """
        if instance == self._own_instance:
            return None
        link = self._links_by_instance.get(instance)
        if link is None:
            link = MemberLink(
                instance,
                PeerAddress.parse(self._configured_addresses.get(instance, address)),
                self._dialer,
                self._own_identity,
                self._record_identity,
                self._on_messages,
            )
            self._links_by_instance[instance] = link
            self._spawn(link)
        return link

    def record_member(self, member: MemberId, instance: InstanceId) -> None:
        """Record the instance from which a member has sent a message."""
        self._instances_by_member[member] = instance

    def record_contact(self, member: MemberId, instance: InstanceId) -> None:
        """Record that a member has contacted this one from its instance."""
        self.record_member(member, instance)
        link = self._links_by_instance.get(instance)
        if link is not None:
            link.record_contact()

    def instance_of(self, member: MemberId) -> InstanceId | None:
        """Return the instance of a member by its latest message, or None."""
        return self._instances_by_member.get(member)

    def identities_by_instance(self) -> dict[InstanceId, MemberIdentity]:
        """Return the identity last reported by each instance."""
        return {
            instance: link.identity
            for instance, link in self._links_by_instance.items()
            if link.identity is not None
        }

    def answers(self, now: float) -> tuple[MemberAnswer, ...]:
        """Return the latest answer of each instance that has answered."""
        answers = []
        for instance, link in self._links_by_instance.items():
            member = link.identity.member if link.identity is not None else None
            state = link.identity.state if link.identity is not None else None
            failure = link.failure.detail if link.failure is not None else ""
            at = link.failed_at if failure else link.answered_at
            if at is not None:
                answers.append(MemberAnswer(instance, now - at, member, state, failure))
        return tuple(answers)

    def answered_at_by_member(self) -> dict[MemberId, float]:
        """Return the time of the latest answer of each member that answers.

        Only the latest member of an instance is included.
        """
        return {
            link.identity.member: link.answered_at
            for link in self._links_by_instance.values()
            if link.identity is not None and link.answered_at is not None
        }

    def send(
        self,
        instance: InstanceId,
        receiver: MemberId,
        message: bytes,
        key: TransferKey | None,
    ) -> None:
        """Queue a message on the link to an instance.

        The message is dropped if there is no link.
        """
        link = self._links_by_instance.get(instance)
        if link is not None:
            link.send(receiver, message, key)

    def _record_identity(self, instance: InstanceId, identity: MemberIdentity) -> None:
        self.record_member(identity.member, instance)
        self._on_identity()
