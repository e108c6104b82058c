"""The part of the log that follows the latest snapshot, in memory."""

from collections.abc import Sequence

from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.consensus.messages import Entry, Snapshot
from goldcrestyard.core.ids import LogIndex, Term

EMPTY_SNAPSHOT = Snapshot(LogIndex(0), Term(0), Configuration(), b"")


class Log:
    """Entries by index, the latest snapshot, and the configurations.

    ``base_index`` is the index before the first entry kept; some entries
    that the snapshot covers are kept for followers that are a little behind.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot or EMPTY_SNAPSHOT
        self.base_index = self.snapshot.index
        self.base_term = self.snapshot.term
        self._base_configuration = self.snapshot.configuration
        self._entries: list[Entry] = []
        self._configurations: list[tuple[LogIndex, Configuration]] = []
        self._use_configuration()
        self.append([entry for entry in entries if entry.index > self.base_index])

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration_index(self) -> LogIndex:
        """Index of the latest configuration; 0 if a snapshot holds it."""
        return self._configurations[-1][0] if self._configurations else LogIndex(0)

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of an entry, or None if it is not known here."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: LogIndex, last: LogIndex) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def first_index_of_term_at(self, index: LogIndex) -> LogIndex:
        """Return the first index kept that has the same term as an entry."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(LogIndex(index - 1)) == term:
            index = LogIndex(index - 1)
        return index

    def last_index_of_term(self, term: Term) -> LogIndex | None:
        """Return the last index of a term, or None if there is none."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                return None
        return None

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries that follow the last one."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            self._entries.append(entry)
            if entry.configuration is not None:
                self._configurations.append((entry.index, entry.configuration))
                self._use_configuration()

    def truncate(self, first_removed: LogIndex) -> None:
        """Remove the entries from an index on."""
        del self._entries[first_removed - self.base_index - 1 :]
        while self._configurations and self._configurations[-1][0] >= first_removed:
            self._configurations.pop()
            self._use_configuration()

    def configuration_at(self, index: LogIndex) -> Configuration:
        """Return the configuration in force after an entry."""
        found = self._base_configuration
        for at, configuration in self._configurations:
            if at > index:
                break
            found = configuration
        return found

    def compact(self, snapshot: Snapshot, base_index: LogIndex) -> None:
        """Keep a snapshot and remove the entries up to ``base_index``."""
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
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term
        self._base_configuration = snapshot.configuration
        self._entries.clear()
        self._configurations.clear()
        self._use_configuration()

    def _use_configuration(self) -> None:
        """Take the latest configuration, committed or not.

        The voters are kept apart, since every step of a leader needs them.
        """
        self.configuration = (
            self._configurations[-1][1]
            if self._configurations
            else self._base_configuration
        )
        self.voters = self.configuration.voters
        self.quorum = self.configuration.quorum
