"""Soft facts that ride on lease renewals: entry to leader and back.

Each plug-in that shares such facts registers a channel.  Nothing here is
durable; a lost digest is made good by the next one.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import ClassVar

from goldcrestyard.core.ids import InstanceId


class DigestChannel(ABC):
    """An entry's side: what it tells the leader and what it hears."""

    name: ClassVar[str]

    @abstractmethod
    def collect(self) -> bytes:
        """Return this entry's digest for its next renewal."""

    @abstractmethod
    def receive(self, summary: bytes) -> None:
        """Take in the leader's summary for this entry."""


class DigestMerger(ABC):
    """The leader's side: merges the entries' digests into summaries."""

    name: ClassVar[str]

    @abstractmethod
    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Take in an entry's digest, in place of its last one."""

    @abstractmethod
    def summary(self, entry: InstanceId) -> bytes:
        """Return what an entry should know of the others."""


class EntryDigests:
    """The channels of this entry."""

    def __init__(self) -> None:
        self._channels_by_name: dict[str, DigestChannel] = {}

    def add(self, channel: DigestChannel) -> None:
        """Let a channel take part in renewals."""
        self._channels_by_name[channel.name] = channel

    def collect(self) -> dict[str, bytes]:
        """Return the digests for the next renewal by channel name."""
        return {
            name: channel.collect() for name, channel in self._channels_by_name.items()
        }

    def receive(self, summaries_by_name: Mapping[str, bytes]) -> None:
        """Hand summaries to their channels; unknown ones are ignored."""
        for name, summary in summaries_by_name.items():
            channel = self._channels_by_name.get(name)
            if channel is not None:
                channel.receive(summary)


class LeaderDigests:
    """The mergers of this control member."""

    def __init__(self) -> None:
        self._mergers_by_name: dict[str, DigestMerger] = {}

    def add(self, merger: DigestMerger) -> None:
        """Let a merger take part in renewals."""
        self._mergers_by_name[merger.name] = merger

    def exchange(
        self, entry: InstanceId, digests_by_name: Mapping[str, bytes]
    ) -> dict[str, bytes]:
        """Merge an entry's digests and return the summaries for it."""
        summaries: dict[str, bytes] = {}
        for name, digest in digests_by_name.items():
            merger = self._mergers_by_name.get(name)
            if merger is not None:
                merger.merge(entry, digest)
                summaries[name] = merger.summary(entry)
        return summaries
