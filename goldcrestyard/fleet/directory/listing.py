"""List of the entries, which only control members keep.

Callers look entries up at control members, so the entries need not know each
other.  Sending each of hundreds of entries every other one would cost the
leader a message for each pair of them, after each start of all processes.
"""

import hashlib

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.plugins.addresses.commands import Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "listed_entry"


class DirectorySlice(EntriesSlice):
    """The entries by instance id, on control members only."""

    fan_out = False


class ListedEntryChannel(DigestChannel):
    """Tells an entry which form of itself the leader has listed."""

    name = CHANNEL_NAME

    def __init__(self, codec: Codec) -> None:
        self._codec = codec
        # None before the leader's first reply.
        self._listed: bytes | None = None

    def collect(self) -> bytes:
        """Return an empty digest: the leader knows who asks."""
        return b""

    def receive(self, summary: bytes) -> None:
        """Store the digest of the listed entry; empty if there is none."""
        self._listed = summary

    def unanswered(self) -> None:
        """Count as not listed until this entry has announced itself.

        A leader of an earlier release does not tell.
        """
        if self._listed is None:
            self._listed = b""

    def lists(self, entry: Entry) -> bool:
        """Return whether the list has exactly this entry, or is not known."""
        return self._listed in (None, digest_of(self._codec, entry))

    def record(self, entry: Entry) -> None:
        """Record that an entry was committed, until the next reply."""
        self._listed = digest_of(self._codec, entry)


class ListedEntryMerger(DigestMerger):
    """Sends each entry the digest of its listed form, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, member: ControlMember, codec: Codec) -> None:
        self._entries = member.machine.get(EntriesSlice)
        self._codec = codec

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Ignore the digest of an entry, which is empty."""

    def summary(self, entry: InstanceId) -> bytes:
        """Return the digest of the entry's listed form; empty if none."""
        known = self._entries.entries_by_id.get(entry)
        return b"" if known is None else digest_of(self._codec, known)


def digest_of(codec: Codec, entry: Entry) -> bytes:
    """Return a short digest of an entry."""
    return hashlib.blake2b(codec.encode(entry), digest_size=8).digest()
