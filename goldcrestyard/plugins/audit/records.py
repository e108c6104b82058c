"""Audit records, and the hash chain that makes alterations detectable."""

import hashlib
import itertools
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from goldcrestyard.core.ids import CorrelationId, LogIndex

CHAIN_START = ""


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One change, or one that was refused.

    ``previous`` is the log index of the audited change before this one, and
    so identifies the state that it was applied to.  ``result`` is
    ``accepted`` or the code of the refusal.  ``chain`` is the hash over this
    record and the ``chain`` of the record before it.
    """

    number: int
    index: LogIndex
    previous: LogIndex
    time: float
    author: str
    action: str
    subject: str
    result: str
    detail: str
    correlation_id: CorrelationId
    chain: str = ""


@dataclass(frozen=True, slots=True)
class NoteOperation:
    """Records an operation that changes no slice.

    An example is the replacement of a control member.
    """

    action: str
    subject: str
    result: str
    detail: str


@dataclass(frozen=True, slots=True)
class AuditSnapshot:
    """Snapshot of ``AuditSlice``."""

    records: tuple[AuditRecord, ...]
    last_number: int
    last_index: LogIndex
    chain: str


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """Asks the leader for the audit records from a log index on.

    Empty ``author`` and ``subject`` match everything; ``subject`` matches as
    a prefix.  At most the newest ``limit`` matches are returned.
    """

    since: LogIndex = LogIndex(0)
    author: str = ""
    subject: str = ""
    limit: int = 100


@dataclass(frozen=True, slots=True)
class AuditReply:
    """Reply to ``AuditQuery``: records, oldest first, and the newest hash."""

    records: tuple[AuditRecord, ...]
    chain: str


def chained_hash(previous_chain: str, record: AuditRecord) -> str:
    """Return the chained hash of a record, given that of the previous one."""
    content = msgspec.json.encode(
        [
            previous_chain,
            record.number,
            record.index,
            record.previous,
            record.time,
            record.author,
            record.action,
            record.subject,
            record.result,
            record.detail,
            record.correlation_id,
        ]
    )
    return hashlib.sha256(content).hexdigest()


def first_broken_record(records: Sequence[AuditRecord]) -> AuditRecord | None:
    """Return the first record that breaks the hash chain, or None."""
    for before, record in itertools.pairwise(records):
        if (
            record.number != before.number + 1
            or chained_hash(before.chain, record) != record.chain
        ):
            return record
    return None


def matches_query(record: AuditRecord, query: AuditQuery) -> bool:
    """Return whether a record matches all filters of a query."""
    return (
        record.index >= query.since
        and query.author in ("", record.author)
        and record.subject.startswith(query.subject)
    )
