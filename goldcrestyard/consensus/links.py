"""The links of a control member to all others."""

from collections.abc import Callable, Mapping

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import Dialer, MemberIdentity, MemberLink
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.client import PeerAddress


class MemberLinks:
    """One link for each other instance, and which member runs on it."""

    def __init__(
        self,
        own: InstanceId,
        named: Mapping[InstanceId, str],
        dialer: Dialer,
        own_identity: Callable[[], MemberIdentity],
        on_identity: Callable[[], None],
        on_messages: Callable[[MemberId, tuple[bytes, ...]], None],
        spawn: Callable[[MemberLink], None],
    ) -> None:
        self._own = own
        self._configured_addresses = named
        self._dialer = dialer
        self._own_identity = own_identity
        self._on_identity = on_identity
        self._on_messages = on_messages
        self._spawn = spawn
        self._by_instance: dict[InstanceId, MemberLink] = {}
        self._instances_by_member: dict[MemberId, InstanceId] = {}

    def ensure(self, instance: InstanceId, address: str) -> MemberLink | None:
        """Return the link to an instance; the settings' address goes first."""
        if instance == self._own:
            return None
        link = self._by_instance.get(instance)
        if link is None:
            link = MemberLink(
                instance,
                PeerAddress.parse(self._configured_addresses.get(instance, address)),
                self._dialer,
                self._own_identity,
                self._learn,
                self._on_messages,
            )
            self._by_instance[instance] = link
            self._spawn(link)
        return link

    def note(self, member: MemberId, instance: InstanceId) -> None:
        """Note that a member has spoken from an instance."""
        self._instances_by_member[member] = instance

    def instance_of(self, member: MemberId) -> InstanceId | None:
        """Return the instance from which a member has spoken, if any."""
        return self._instances_by_member.get(member)

    def identities_by_instance(self) -> dict[InstanceId, MemberIdentity]:
        """Return who answered last on each instance."""
        return {
            instance: link.identity
            for instance, link in self._by_instance.items()
            if link.identity is not None
        }

    def send(self, instance: InstanceId, receiver: MemberId, message: bytes) -> None:
        """Queue a message if there is a link; it may be lost."""
        link = self._by_instance.get(instance)
        if link is not None:
            link.send(receiver, message)

    def _learn(self, instance: InstanceId, identity: MemberIdentity) -> None:
        self.note(identity.member, instance)
        self._on_identity()
