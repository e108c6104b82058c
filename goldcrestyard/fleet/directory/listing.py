"""List of the entries, which only control members keep.

Callers look entries up at control members, so the entries need not know each
other.  Sending each of hundreds of entries every other one would cost the
leader a message for each pair of them, after each start of all processes.
"""

import hashlib
from dataclasses import replace

import cbor2

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.plugins.addresses.commands import Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "listed_entry"

REDUCED_REPLIES = 60
"""Number of replies after which an entry that the leader lists without its
capacity announces itself again.  A leader of an earlier release drops the
capacity each time; replies come twice a second."""


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
        self._replies = REDUCED_REPLIES
        """Number of replies since the latest announcement."""

    def collect(self) -> bytes:
        """Return an empty digest: the leader knows who asks."""
        return b""

    def receive(self, summary: bytes) -> None:
        """Store the digest of the listed entry; empty if there is none."""
        self._listed = summary
        self._replies += 1

    def unanswered(self) -> None:
        """Count as not listed until this entry has announced itself.

        A leader of an earlier release does not tell.
        """
        if self._listed is None:
            self._listed = b""

    def lists(self, entry: Entry) -> bool:
        """Return whether the list has exactly this entry, or is not known."""
        if self._listed in (None, digest_of(self._codec, entry)):
            return True
        reduced = digest_of(self._codec, replace(entry, capacity=None))
        return self._listed == reduced and self._replies < REDUCED_REPLIES

    def record(self, entry: Entry) -> None:
        """Record that an entry was committed, until the next reply."""
        self._listed = digest_of(self._codec, entry)
        self._replies = 0


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
    """Return a short digest of an entry.

    That of an entry without capacity is the same in a release whose entries
    have none; otherwise they would be announced again and again during an
    upgrade.
    """
    encoded = codec.encode(entry)
    if entry.capacity is None:
        tag, fields = cbor2.loads(encoded)
        del fields["capacity"]
        encoded = cbor2.dumps([tag, fields])
    return hashlib.blake2b(encoded, digest_size=8).digest()
