"""Tells the entries which control members there are."""

from dataclasses import dataclass

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.wire.codec import Codec

CHANNEL = "control_members"


@dataclass(frozen=True, slots=True)
class MemberList:
    """Peer addresses of the members, by instance."""

    addresses_by_instance: dict[InstanceId, str]


class MemberListChannel(DigestChannel):
    """An entry's side: learns the addresses."""

    name = CHANNEL

    def __init__(self, addresses: ControlAddresses, codec: Codec) -> None:
        self._addresses = addresses
        self._codec = codec

    def collect(self) -> bytes:
        """Return nothing: only the leader knows the members."""
        return b""

    def receive(self, summary: bytes) -> None:
        """Keep the addresses of the members."""
        members = self._codec.decode(summary)
        assert isinstance(members, MemberList)
        for instance, address in members.addresses_by_instance.items():
            self._addresses.learn(instance, address)


class MemberListMerger(DigestMerger):
    """The leader's side: lists the members that it knows."""

    name = CHANNEL

    def __init__(self, member: ControlMember, codec: Codec) -> None:
        self._member = member
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Ignore an entry's digest, which is empty."""

    def summary(self, entry: InstanceId) -> bytes:
        """Return the members' addresses."""
        return self._codec.encode(
            MemberList(
                {status.instance: status.address for status in self._member.members()}
            )
        )
