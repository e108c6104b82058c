"""In-memory log of a member: recent entries and the latest snapshot."""

from collections.abc import Sequence

from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.consensus.messages import Entry, Snapshot
from goldcrestyard.core.ids import LogIndex, Term

EMPTY_SNAPSHOT = Snapshot(LogIndex(0), Term(0), Configuration(), b"")


class Log:
    """The entries after ``base_index``, the snapshot and the configurations.

    ``base_index`` is the index of the last entry that compaction removed.
    It may be lower than the snapshot's index: some entries that the snapshot
    covers are kept, so that a follower slightly behind needs no snapshot.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot or EMPTY_SNAPSHOT
        self.base_index = self.snapshot.index
        self.base_term = self.snapshot.term
        self._base_configuration = self.snapshot.configuration
        self._entries: list[Entry] = []
        self._configurations: list[tuple[LogIndex, Configuration]] = []
        self._refresh_configuration()
        self.append([entry for entry in entries if entry.index > self.base_index])

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry; ``base_index`` if there is none."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry, or of that at ``base_index``."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration_index(self) -> LogIndex:
        """Index of the latest configuration entry; 0 if none is in the log."""
        return self._configurations[-1][0] if self._configurations else LogIndex(0)

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at an index.

        None if the entry was compacted or is not in the log yet.
        """
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries_between(self, first: LogIndex, last: LogIndex) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def first_index_of_term_at(self, index: LogIndex) -> LogIndex:
        """Return the first index in the log of the term at an index."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(LogIndex(index - 1)) == term:
            index = LogIndex(index - 1)
        return index

    def last_index_of_term(self, term: Term) -> LogIndex | None:
        """Return the last index of a term, or None if the log has none."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return None

    def base_within(self, last: LogIndex, max_bytes: int) -> LogIndex:
        """Return the lowest index after which the entries up to ``last`` fit.

        The payloads of the entries after it, up to ``last``, have no more than
        ``max_bytes`` together.
        """
        size = 0
        for entry in reversed(self._entries[: last - self.base_index]):
            size += len(entry.payload)
            if size > max_bytes:
                return entry.index
        return self.base_index

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; the first must follow the last one stored."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            self._entries.append(entry)
            if entry.configuration is not None:
                self._configurations.append((entry.index, entry.configuration))
                self._refresh_configuration()

    def truncate(self, first_removed: LogIndex) -> None:
        """Remove the entry at an index and all after it."""
        del self._entries[first_removed - self.base_index - 1 :]
        while self._configurations and self._configurations[-1][0] >= first_removed:
            self._configurations.pop()
            self._refresh_configuration()

    def configuration_at(self, index: LogIndex) -> Configuration:
        """Return the latest configuration at or before an index."""
        found = self._base_configuration
        for at, configuration in self._configurations:
            if at > index:
                break
            found = configuration
        return found

    def compact(self, snapshot: Snapshot, base_index: LogIndex) -> None:
        """Set the snapshot and remove the entries up to ``base_index``."""
        base_term = self.term_at(base_index)
        assert base_term is not None
        self.snapshot = snapshot
        self._base_configuration = self.configuration_at(base_index)
        self._configurations = [
            item for item in self._configurations if item[0] > base_index
        ]
        del self._entries[: base_index - self.base_index]
        self.base_index, self.base_term = base_index, base_term

    def reset(self, snapshot: Snapshot) -> None:
        """Replace all entries by a snapshot."""
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._base_configuration = snapshot.configuration
        self._entries.clear()
        self._configurations.clear()
        self._refresh_configuration()

    def _refresh_configuration(self) -> None:
        """Cache the latest configuration, committed or not, and its voters.

        A leader needs the voters on every step.
        """
        self.configuration = (
            self._configurations[-1][1]
            if self._configurations
            else self._base_configuration
        )
        self.voters = self.configuration.voters
        self.voter_groups = self.configuration.voter_groups
