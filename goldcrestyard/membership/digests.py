"""Exchange of non-durable data between entries, within lease renewals.

Each renewal contains the entry's digests, and the leader's reply contains its
summaries of the other entries' digests.  A plug-in that shares data registers
a channel on entries and a merger on control members.  Digests are kept in
memory only, since the next digest replaces a lost one.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar

from goldcrestyard.core.ids import InstanceId


class DigestChannel(ABC):
    """An entry's side of the exchange of one plug-in's digests."""

    name: ClassVar[str]

    @abstractmethod
    def collect(self) -> bytes | None:
        """Return this entry's digest for its next renewal.

        None if the renewal needs none and the leader need not summarise.
        """

    @abstractmethod
    def receive(self, summary: bytes) -> None:
        """Process the leader's summary for this entry."""

    def unanswered(self) -> None:
        """Note that the leader, of another release, sends no summary."""


class DigestMerger(ABC):
    """The leader's side of the exchange: merges digests into summaries."""

    name: ClassVar[str]

    @abstractmethod
    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Store an entry's digest, replacing its previous one."""

    @abstractmethod
    def summary(self, entry: InstanceId) -> bytes:
        """Return the summary of the other entries' digests for an entry."""


class EntryDigests:
    """Registry of this entry's digest channels."""

    def __init__(self) -> None:
        self._channels_by_name: dict[str, DigestChannel] = {}
        self.renewal_requested = asyncio.Event()
        """Set if a digest should not wait for the next renewal."""

    def request_renewal(self) -> None:
        """Let the next renewal take place at once."""
        self.renewal_requested.set()

    def add(self, channel: DigestChannel) -> None:
        """Register a channel under its name."""
        self._channels_by_name[channel.name] = channel

    def collect(self) -> dict[str, bytes]:
        """Return the digests for the next renewal by channel name."""
        return {
            name: digest
            for name, channel in self._channels_by_name.items()
            if (digest := channel.collect()) is not None
        }

    def receive(self, summaries_by_name: Mapping[str, bytes]) -> None:
        """Pass summaries to their channels; unknown names are ignored."""
        for name, channel in self._channels_by_name.items():
            summary = summaries_by_name.get(name)
            if summary is None:
                channel.unanswered()
            else:
                channel.receive(summary)


class LeaderDigests:
    """Registry of this control member's digest mergers."""

    def __init__(self) -> None:
        self._mergers_by_name: dict[str, DigestMerger] = {}

    def add(self, merger: DigestMerger) -> None:
        """Register a merger under its name."""
        self._mergers_by_name[merger.name] = merger

    def exchange(
        self, entry: InstanceId, digests_by_name: Mapping[str, bytes]
    ) -> dict[str, bytes]:
        """Merge an entry's digests and return the summaries for the entry."""
        summaries: dict[str, bytes] = {}
        for name, digest in digests_by_name.items():
            merger = self._mergers_by_name.get(name)
            if merger is not None:
                merger.merge(entry, digest)
                summaries[name] = merger.summary(entry)
        return summaries
