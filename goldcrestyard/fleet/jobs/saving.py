"""Saving of the progress of running items in the replicated log."""

import asyncio
from collections.abc import Iterator, Mapping

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import CorrelationId, JobId
from goldcrestyard.core.jobs import Progress
from goldcrestyard.fleet.jobs.commands import KeepProgress
from goldcrestyard.fleet.jobs.pending import PendingItem
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.jobs.transcripts import Transcript
from goldcrestyard.policy.job_schedule import ItemKey
from goldcrestyard.policy.job_sizes import progress_size

PROGRESS_SAVE_INTERVAL_SECONDS = 0.4
MIN_UNSAVED_EVENTS = 6
"""Minimum number of new events of an item for which its progress is saved.
Short items end before a save would pay off."""

MAX_SAVED_BYTES = 256 * 1024
"""Size of the progress that is saved with one log entry, unless that of a
single item is larger."""

_ProgressByKey = dict[ItemKey, tuple[Transcript, int, Progress]]


class ProgressSaver:
    """Commits the texts of items that are running, in parts."""

    def __init__(
        self, member: ControlMember, pending_by_key: Mapping[ItemKey, PendingItem]
    ) -> None:
        """Create a saver of the given items."""
        self._member = member
        self._jobs = member.machine.get(JobsSlice)
        self._pending_by_key = pending_by_key

    async def run(self) -> None:
        """Commit the progress of running items at fixed intervals.

        Each event is written to the replicated log once: either here or with
        the item's result.  Saved text that an item has dropped is dropped here
        as well; a new leader would resume the item after it, and it would
        take room from the texts of others.
        """
        while True:
            await asyncio.sleep(PROGRESS_SAVE_INTERVAL_SECONDS)
            for state in self._jobs.open_jobs():
                await self._save_progress(state.job.id)

    async def _save_progress(self, job_id: JobId) -> None:
        progress_by_key = {
            pending.key: (
                pending.transcript,
                pending.transcript.drops,
                pending.transcript.unsaved_progress(),
            )
            for pending in self._pending_by_key.values()
            if pending.key.job == job_id
            and (
                pending.transcript.drop_unsaved
                or len(pending.transcript.events)
                >= pending.transcript.saved_count + MIN_UNSAVED_EVENTS
            )
        }
        if not progress_by_key:
            return
        for part in _split_progress(progress_by_key):
            await self._propose_progress(job_id, part)

    async def _propose_progress(
        self, job_id: JobId, progress_by_key: _ProgressByKey
    ) -> None:
        # Texts may have been dropped while earlier parts were committed.
        progress_by_key = {
            key: entry
            for key, entry in progress_by_key.items()
            if entry[0].drops == entry[1]
        }
        if not progress_by_key:
            return
        for transcript, _, _ in progress_by_key.values():
            transcript.may_be_saved = True
        result = await self._member.propose(
            KeepProgress(
                job_id,
                {key.item: saved for key, (_, _, saved) in progress_by_key.items()},
            ),
            self._member.instance,
            CorrelationId(job_id),
        )
        if not isinstance(result, Applied):
            return
        for transcript, drops, saved in progress_by_key.values():
            # The transcript may have been discarded during the commit.
            if transcript.drops == drops:
                transcript.record_saved(saved)


def _split_progress(progress_by_key: _ProgressByKey) -> Iterator[_ProgressByKey]:
    """Yield the progress of items in parts that fit into a log entry each."""
    part: _ProgressByKey = {}
    size = 0
    for key, entry in progress_by_key.items():
        if part and size + progress_size(entry[2]) > MAX_SAVED_BYTES:
            yield part
            part, size = {}, 0
        part[key] = entry
        size += progress_size(entry[2])
    yield part
