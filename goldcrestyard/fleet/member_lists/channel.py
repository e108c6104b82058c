"""Exchange of the control members' addresses in lease renewals.

Entries start with the addresses of a few seeds; the list of the leader lets
them reach members that were added later.
"""

from dataclasses import dataclass

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "control_members"


@dataclass(frozen=True, slots=True)
class MemberList:
    """Peer addresses of the control members, by instance."""

    addresses_by_instance: dict[InstanceId, str]


class MemberListChannel(DigestChannel):
    """Receives the control members' addresses on an entry."""

    name = CHANNEL_NAME

    def __init__(self, addresses: ControlAddresses, codec: Codec) -> None:
        self._addresses = addresses
        self._codec = codec

    def collect(self) -> bytes:
        """Return an empty digest, as entries have nothing to report."""
        return b""

    def receive(self, summary: bytes) -> None:
        """Store the addresses of the control members."""
        members = self._codec.decode(summary)
        assert isinstance(members, MemberList)
        for instance, address in members.addresses_by_instance.items():
            self._addresses.add_address(instance, address)


class MemberListMerger(DigestMerger):
    """Sends the control members' addresses to entries, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, member: ControlMember, codec: Codec) -> None:
        self._member = member
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Ignore the digest of an entry, which is empty."""

    def summary(self, entry: InstanceId) -> bytes:
        """Return the encoded addresses of the control members."""
        return self._codec.encode(
            MemberList(
                {
                    status.instance: status.address
                    for status in self._member.member_statuses()
                }
            )
        )
