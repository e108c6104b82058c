"""Exchange of the control members' addresses in lease renewals.

Entries start with the addresses of a few seeds; the list of the leader lets
them reach members that were added later.
"""

import hashlib
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
        self._known = b""

    def collect(self) -> bytes:
        """Return a digest of the list that this entry has received."""
        return self._known

    def receive(self, summary: bytes) -> None:
        """Store the addresses of the control members, unless unchanged."""
        if not summary:
            return
        members = self._codec.decode(summary)
        assert isinstance(members, MemberList)
        for instance, address in members.addresses_by_instance.items():
            self._addresses.add_address(instance, address)
        self._known = _digest_of(summary)


class MemberListMerger(DigestMerger):
    """Sends the control members' addresses to entries, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, member: ControlMember, codec: Codec) -> None:
        self._member = member
        self._codec = codec
        self._known_by_entry: dict[InstanceId, bytes] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Record which list an entry has; empty if it has none."""
        self._known_by_entry[entry] = digest

    def summary(self, entry: InstanceId) -> bytes:
        """Return the encoded addresses, or nothing if the entry has them."""
        addresses_by_instance = {
            status.instance: status.address for status in self._member.member_statuses()
        }
        encoded = self._codec.encode(
            MemberList(dict(sorted(addresses_by_instance.items())))
        )
        known = self._known_by_entry.pop(entry, b"")
        return b"" if known == _digest_of(encoded) else encoded


def _digest_of(encoded: bytes) -> bytes:
    return hashlib.blake2b(encoded, digest_size=8).digest()
