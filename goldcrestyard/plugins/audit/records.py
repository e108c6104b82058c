"""Records of the audit trail, and the chain of hashes over them."""

import hashlib
import itertools
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from goldcrestyard.core.ids import CorrelationId, LogIndex

CHAIN_START = ""


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One change or attempt at a change.

    ``previous`` is the log index of the audited change before this one: the
    state from which this one was made.  ``result`` is ``accepted`` or the
    code of the refusal.  ``chain`` is the hash over this record and the chain
    up to the record before it.
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
    """Records an operation that changes no slice, such as on the members."""

    action: str
    subject: str
    result: str
    detail: str


@dataclass(frozen=True, slots=True)
class AuditSnapshot:
    """The whole slice."""

    records: tuple[AuditRecord, ...]
    last_number: int
    last_index: LogIndex
    chain: str


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """Asks the leader for the records from a log index on.

    Empty ``author`` and ``subject`` match all; ``subject`` also matches what
    begins with it.  The newest ``limit`` matches are returned.
    """

    since: LogIndex = LogIndex(0)
    author: str = ""
    subject: str = ""
    limit: int = 100


@dataclass(frozen=True, slots=True)
class AuditReply:
    """The records found, oldest first, and the newest chain value."""

    records: tuple[AuditRecord, ...]
    chain: str


def chain_of(previous_chain: str, record: AuditRecord) -> str:
    """Return the chain value of a record from that of the one before it."""
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


def first_break(records: Sequence[AuditRecord]) -> AuditRecord | None:
    """Return the first record that does not follow from the one before it."""
    for before, record in itertools.pairwise(records):
        if (
            record.number != before.number + 1
            or chain_of(before.chain, record) != record.chain
        ):
            return record
    return None


def matches(record: AuditRecord, query: AuditQuery) -> bool:
    """Return whether a query asks for a record."""
    return (
        record.index >= query.since
        and query.author in ("", record.author)
        and record.subject.startswith(query.subject)
    )
