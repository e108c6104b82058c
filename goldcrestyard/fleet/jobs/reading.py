"""Handlers on the leader for reading the items and results of jobs."""

import asyncio

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    ItemBody,
    ListResults,
    NoSuchJob,
    ReadItem,
    ReadResults,
    ResultsPage,
)
from goldcrestyard.fleet.jobs.result_cache import page_from
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.state.commands import AppliedEntry
from goldcrestyard.wire.connection import Handlers, PeerConnection

MAX_BODY_PART_BYTES = 512 * 1024
"""Size of the part of an item's body in one reply.  Whole bodies, of many
readers at a time, would exceed the memory of the leader."""


class JobReader:
    """Answers reads of jobs while this member holds the leader's lease.

    Without the lease another member may lead, and results could be stale.
    """

    def __init__(self, member: ControlMember, clock: Clock) -> None:
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._clock = clock
        self._results_changed = asyncio.Event()
        member.machine.listen(self._on_applied)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of ``ReadResults`` and ``ReadItem``."""
        handlers.add(ReadResults, self._on_read_results)
        handlers.add(ReadItem, self._on_read_item)

    def _on_applied(self, entry: AppliedEntry) -> None:
        if isinstance(entry.envelope.command, ListResults | EndJob):
            self._results_changed.set()
            self._results_changed = asyncio.Event()

    async def _on_read_results(self, read: ReadResults, _: PeerConnection) -> object:
        deadline = self._clock.monotonic() + read.wait_seconds
        while self._member.holds_lease():
            state = self._jobs.find(read.job, read.organisation)
            if state is None:
                return NoSuchJob()
            must_wait = read.position >= len(state.results) and not state.ended
            if not must_wait or self._clock.monotonic() >= deadline:
                results = page_from(state.results, read.position)
                next_position = read.position + len(results)
                return ResultsPage(state.size, results, next_position)
            seconds_left = deadline - self._clock.monotonic()
            await wait_at_most(seconds_left, self._results_changed.wait())
        return self._member.make_not_leader_reply()

    async def _on_read_item(self, read: ReadItem, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        state = self._jobs.find(read.job, read.organisation)
        item = state.item(read.item) if state is not None else None
        if item is None:
            return NoSuchJob()
        start = max(0, read.offset)
        part = item.body[start : start + MAX_BODY_PART_BYTES]
        return ItemBody(part, len(item.body))
