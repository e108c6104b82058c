"""Proposals that wait for their outcome."""

import asyncio

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import InstanceId, LogIndex


class PendingProposals:
    """Proposals by number until they are in the log, then by their index."""

    def __init__(self) -> None:
        self._next_number = 0
        self._queued: dict[int, asyncio.Future[ProposalResult]] = {}
        self._appended: dict[LogIndex, asyncio.Future[ProposalResult]] = {}

    @property
    def queued(self) -> int:
        """How many are not in the log yet."""
        return len(self._queued)

    def add(self) -> tuple[int, asyncio.Future[ProposalResult]]:
        """Return a new proposal's number and where its outcome will stand."""
        self._next_number += 1
        future: asyncio.Future[ProposalResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._queued[self._next_number] = future
        return self._next_number, future

    def append(self, number: int, index: LogIndex) -> None:
        """Note that a proposal is in the log."""
        self._appended[index] = self._queued.pop(number)

    def refuse(self, number: int, detail: str, leader: InstanceId | None) -> None:
        """End a proposal that is not in the log."""
        _resolve(self._queued.pop(number), NotProposed(detail, leader))

    def apply(self, index: LogIndex, outcome: object) -> None:
        """End the proposal with an index, if it waits here."""
        future = self._appended.pop(index, None)
        if future is not None:
            _resolve(future, Applied(index, outcome))

    def doubt(self, detail: str) -> None:
        """End those in the log: another leader may still commit them."""
        for future in self._appended.values():
            _resolve(future, InDoubt(detail))
        self._appended.clear()

    def end(self, detail: str) -> None:
        """End all."""
        for future in self._queued.values():
            _resolve(future, NotProposed(detail))
        self._queued.clear()
        self.doubt(detail)


def _resolve(future: asyncio.Future[ProposalResult], result: ProposalResult) -> None:
    if not future.done():
        future.set_result(result)
