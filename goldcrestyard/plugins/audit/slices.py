"""Replicated state of the audit trail: its latest records."""

from collections import deque
from collections.abc import Mapping
from dataclasses import replace
from itertools import islice

from goldcrestyard.core.ids import LogIndex
from goldcrestyard.kernel import registry
from goldcrestyard.plugins.audit.records import (
    CHAIN_START,
    AuditQuery,
    AuditRecord,
    AuditSnapshot,
    NoteOperation,
    chained_hash,
    matches_query,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.declarations import Subject
from goldcrestyard.state.slices import Slice

MAX_STORED_RECORDS = 20_000
"""Keeps about two days at the design size, which has 3,700 changes a day and
some 1,000 targets and entries that start or stop, each with a few records."""

MAX_DETAIL_CHARACTERS = 300
"""Length to which a record's detail is truncated, because a refusal may list
many items."""


class AuditSlice(Slice):
    """Stores a record of every audited command, also of rejected ones."""

    name = "audit"
    commands = (NoteOperation,)

    def __init__(
        self,
        subjects_by_command: Mapping[type, Subject] | None = None,
        kept: int = MAX_STORED_RECORDS,
    ) -> None:
        if subjects_by_command is None:
            subjects_by_command = registry.audited_commands()
        self._subjects_by_command = subjects_by_command
        self.records: deque[AuditRecord] = deque(maxlen=kept)
        self._last_number = 0
        self._last_index = LogIndex(0)
        self.chain = CHAIN_START

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Record an operation that changes no slice."""
        match command:
            case NoteOperation(
                action=action, subject=subject, result=result, detail=detail
            ):
                self._add(action, subject, result, detail, context)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Record a command if its plug-in lists it in ``audited``."""
        describe = self._subjects_by_command.get(type(command))
        subject = describe(command) if describe is not None else ""
        if not subject:
            return
        match outcome:
            case Rejected(reason=reason, detail=detail):
                result, explained = reason.value, detail
            case _:
                result, explained = "accepted", ""
        action = type(command).__name__
        self._add(action, subject, result, explained, context)

    def _add(
        self,
        action: str,
        subject: str,
        result: str,
        detail: str,
        context: CommandContext,
    ) -> None:
        self._last_number += 1
        record = AuditRecord(
            self._last_number,
            context.index,
            self._last_index,
            context.time,
            context.envelope.author,
            action,
            subject,
            result,
            detail[:MAX_DETAIL_CHARACTERS],
            context.envelope.correlation_id,
        )
        self.chain = chained_hash(self.chain, record)
        self.records.append(replace(record, chain=self.chain))
        self._last_index = context.index

    def find(self, query: AuditQuery) -> tuple[AuditRecord, ...]:
        """Return the newest records that match a query, oldest first."""
        found = islice(
            (
                record
                for record in reversed(self.records)
                if matches_query(record, query)
            ),
            max(1, query.limit),
        )
        return tuple(reversed(list(found)))

    def to_snapshot(self) -> AuditSnapshot:
        """Return the snapshot of all records."""
        return AuditSnapshot(
            tuple(self.records), self._last_number, self._last_index, self.chain
        )

    def load_snapshot(self, snapshot: AuditSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.records = deque(snapshot.records, maxlen=self.records.maxlen)
        self._last_number = snapshot.last_number
        self._last_index = snapshot.last_index
        self.chain = snapshot.chain
