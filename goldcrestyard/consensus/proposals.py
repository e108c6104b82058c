"""Proposals made on this member that wait for their result.

A proposal is identified by its number until the leader has appended it, and by
its log index until it is applied.
"""

import asyncio
from dataclasses import dataclass

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import InstanceId, LogIndex, Term


@dataclass(frozen=True, slots=True)
class _QueuedProposal:
    size: int
    future: asyncio.Future[ProposalResult]


@dataclass(frozen=True, slots=True)
class _AppendedProposal:
    term: Term
    size: int
    future: asyncio.Future[ProposalResult]


class PendingProposals:
    """Resolves the future of each proposal with its result."""

    def __init__(self) -> None:
        self._next_number = 0
        self._queued: dict[int, _QueuedProposal] = {}
        self._appended: dict[LogIndex, _AppendedProposal] = {}
        self.held_bytes = 0
        """Size of the payloads of all proposals without a result."""

    @property
    def queued(self) -> int:
        """Number of proposals that are not yet in the log."""
        return len(self._queued)

    def add(self, size: int = 0) -> tuple[int, asyncio.Future[ProposalResult]]:
        """Register a proposal; return its number and the future result.

        ``size`` is that of its payload in bytes.
        """
        self._next_number += 1
        future: asyncio.Future[ProposalResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._queued[self._next_number] = _QueuedProposal(size, future)
        self.held_bytes += size
        return self._next_number, future

    def record_appended(self, number: int, index: LogIndex, term: Term) -> None:
        """Record the log index and term at which a proposal was appended."""
        queued = self._queued.pop(number)
        self._appended[index] = _AppendedProposal(term, queued.size, queued.future)

    def resolve_refused(
        self, number: int, detail: str, leader: InstanceId | None
    ) -> None:
        """Resolve a proposal that was not appended as ``NotProposed``."""
        queued = self._queued.pop(number)
        self.held_bytes -= queued.size
        _resolve_future(queued.future, NotProposed(detail, leader))

    def resolve_applied(self, index: LogIndex, term: Term, outcome: object) -> None:
        """Resolve the proposal at a log index as ``Applied``.

        Does nothing if the entry was not proposed on this member.  The entry
        of a later leader may be committed at the index of a proposal, before
        this member has noticed that it no longer leads.
        """
        appended = self._appended.get(index)
        if appended is not None and appended.term == term:
            del self._appended[index]
            self.held_bytes -= appended.size
            _resolve_future(appended.future, Applied(index, outcome))

    def resolve_in_doubt(self, detail: str) -> None:
        """Resolve all appended proposals as ``InDoubt``.

        Another leader may still commit them.
        """
        for appended in self._appended.values():
            self.held_bytes -= appended.size
            _resolve_future(appended.future, InDoubt(detail))
        self._appended.clear()

    def resolve_all(self, detail: str) -> None:
        """Resolve all proposals, because the member stops.

        Those not yet in the log were not proposed; the others are in doubt.
        """
        for queued in self._queued.values():
            self.held_bytes -= queued.size
            _resolve_future(queued.future, NotProposed(detail))
        self._queued.clear()
        self.resolve_in_doubt(detail)


def _resolve_future(
    future: asyncio.Future[ProposalResult], result: ProposalResult
) -> None:
    if not future.done():
        future.set_result(result)
