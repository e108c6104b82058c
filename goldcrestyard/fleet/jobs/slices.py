"""Replicated state of batch jobs: their items, saved progress and results."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from goldcrestyard.core.ids import ItemId, JobId, OrganisationId, WeightVersion
from goldcrestyard.core.jobs import (
    EndedItem,
    ItemOutcome,
    ItemResult,
    Job,
    JobItem,
    Progress,
)
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    JobHeld,
    JobRecord,
    JobsSnapshot,
    KeepProgress,
    ListResults,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.staging import (
    STAGING_SECONDS,
    StagedJob,
    StagingKey,
    from_record,
    staging_key,
    to_record,
)
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.policy.job_access import may_access, owner_of
from goldcrestyard.policy.job_sizes import (
    item_size,
    job_size,
    progress_size,
    result_size,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice, SliceLookup

RESULT_RETENTION_SECONDS = 150.0
"""Time in seconds after its submission at which an ended job is dropped.
Clients read results for up to two minutes."""

OPEN_JOB_RETENTION_SECONDS = 3600.0
"""Time in seconds after its submission at which an open job is dropped."""


@dataclass(slots=True)
class JobState:
    """A job with its progress and its results, in the order of listing."""

    job: Job
    submitted_at: float
    """The leader's wall time, in seconds."""
    results: list[ItemResult] = field(default_factory=list)
    positions_by_item: dict[ItemId, int] = field(default_factory=dict)
    """Position of each listed item in ``results``."""
    progress_by_item: dict[ItemId, Progress] = field(default_factory=dict)
    """Saved progress of items that are not listed yet."""
    ended: bool = False
    items_by_id: dict[ItemId, JobItem] = field(init=False)
    request_bytes: int = field(init=False)
    """Size of the job and of the items' requests that are still held."""
    text_bytes: int = field(init=False)
    """Size of the results and of the saved progress."""

    def __post_init__(self) -> None:
        self.items_by_id = {item.id: item for item in self.job.items}
        for position, result in enumerate(self.results):
            self.positions_by_item[result.item] = position
        self.text_bytes = sum(map(result_size, self.results)) + sum(
            map(progress_size, self.progress_by_item.values())
        )
        self.request_bytes = job_size(self.job)
        self.release(self.items_by_id if self.ended else self.positions_by_item)

    @property
    def size(self) -> int:
        """The number of the job's items."""
        return len(self.job.items)

    @property
    def held_bytes(self) -> int:
        """Size of all that is held of the job."""
        return self.request_bytes + self.text_bytes

    def add_result(self, result: ItemResult) -> None:
        """Append a result to the list."""
        self.positions_by_item[result.item] = len(self.results)
        self.results.append(result)
        self.text_bytes += result_size(result)
        self.drop_progress(result.item)

    def drop_progress(self, item_id: ItemId) -> None:
        """Drop the saved progress of an item, if there is any."""
        progress = self.progress_by_item.pop(item_id, None)
        if progress is not None:
            self.text_bytes -= progress_size(progress)

    def release(self, item_ids: Iterable[ItemId]) -> None:
        """Drop the content of items that need no further run.

        A digest of each is kept, which tells whether an item of a later job
        is the same.
        """
        released = {
            item_id: self.items_by_id[item_id].released()
            for item_id in item_ids
            if item_id in self.items_by_id
            and not self.items_by_id[item_id].released_digest
        }
        if not released:
            return
        for item_id, item in released.items():
            self.request_bytes -= item_size(self.items_by_id[item_id])
            self.request_bytes += item_size(item)
        self.items_by_id.update(released)
        items = tuple(released.get(item.id, item) for item in self.job.items)
        self.job = replace(self.job, items=items)

    def merge_progress(self, item_id: ItemId, progress: Progress) -> Progress:
        """Append progress to an item's saved events; return the result.

        Saved events from position ``progress.kept`` on are replaced, so that
        applying the same progress twice changes nothing.
        """
        known = self.progress_by_item.get(item_id)
        kept = known.events[: progress.kept] if known is not None else ()
        merged = replace(progress, kept=0, events=(*kept, *progress.events))
        self.drop_progress(item_id)
        self.progress_by_item[item_id] = merged
        self.text_bytes += progress_size(merged)
        return merged

    def item(self, item_id: ItemId) -> JobItem | None:
        """Return an item that is not listed yet, or None."""
        if self.ended or item_id in self.positions_by_item:
            return None
        return self.items_by_id.get(item_id)


class JobsSlice(Slice):
    """Jobs by id, with the last job that contained each item."""

    name = "jobs"
    commands = (SubmitJob, StageJobPart, ListResults, KeepProgress, EndJob)

    def __init__(self) -> None:
        self.jobs_by_id: dict[JobId, JobState] = {}
        self.staged_by_key: dict[StagingKey, StagedJob] = {}
        self._last_job_by_item: dict[ItemId, JobId] = {}

    def attach(self, slices: SliceLookup) -> None:
        """Store the configuration, which tells who owns a job."""
        self._serving = slices.get(ServingSlice)

    def held_bytes(self, time: float) -> int:
        """Return the size of all jobs that are not expired at a wall time.

        A job that arrives in parts counts with its whole size.
        """
        return sum(
            state.held_bytes
            for state in self.jobs_by_id.values()
            if not _is_expired(state, time)
        ) + sum(
            max(staged.size, staged.held_bytes)
            for staged in self.staged_by_key.values()
            if time - staged.updated_at <= STAGING_SECONDS
        )

    def open_jobs(self) -> Iterable[JobState]:
        """Return the jobs that are not ended, oldest first."""
        return [state for state in self.jobs_by_id.values() if not state.ended]

    def find(self, job_id: JobId, caller: OrganisationId | None) -> JobState | None:
        """Return a job, or None if the caller may access none of this id."""
        state = self.jobs_by_id.get(job_id)
        if state is None or not may_access(self._owner(state.job), caller):
            return None
        return state

    def _owner(self, job: Job) -> OrganisationId | None:
        """Return the owner of a job; None if it belongs to all."""
        table = self._serving.table
        return owner_of(
            job.organisation,
            self._serving.key_holder(job.key_hash) if job.key_hash else None,
            is_configured=(
                table is None
                or not table.needs_keys
                or (job.organisation is not None and table.names(job.organisation))
            ),
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case SubmitJob(job=job):
                return self._submit(job, context.time)
            case StageJobPart():
                return self._stage(command, context.time)
            case ListResults(job=job_id, ended=ended):
                self._list_results(job_id, ended)
                return Accepted()
            case KeepProgress(job=job_id, progress_by_item=progress_by_item):
                self._save_progress(job_id, progress_by_item)
                return Accepted()
            case EndJob(job=job_id, organisation=caller):
                return self._end_job(job_id, caller)
        raise TypeError(f"unexpected command {command!r}")

    def _submit(self, job: Job, time: float) -> Outcome:
        known = self.jobs_by_id.get(job.id)
        if known is not None:
            if not may_access(self._owner(known.job), self._owner(job)):
                return Rejected(RefusalReason.CONFLICT, "the id is in use")
            return Accepted()
        self._drop_expired(time)
        state = JobState(job, time)
        for item in job.items:
            self._carry_over(state, item)
        state.release(state.positions_by_item)
        self._add_job(state)
        return Accepted()

    def _stage(self, part: StageJobPart, time: float) -> Outcome:
        """Add a part of a job; submit the job once it is complete."""
        known = self.jobs_by_id.get(part.job)
        if known is not None:
            if not may_access(self._owner(known.job), part.organisation):
                return Rejected(RefusalReason.CONFLICT, "the id is in use")
            return JobHeld()
        self._drop_expired(time)
        key = staging_key(part)
        staged = self.staged_by_key.get(key)
        if staged is None:
            if part.offset > 0:
                # The parts before it were dropped.
                return Rejected(RefusalReason.NO_ROOM, "the first part is missing")
            staged = StagedJob(part.size, time, part.held_bytes)
            self.staged_by_key[key] = staged
        if not staged.add(part, time):
            return Rejected(RefusalReason.BAD_REQUEST, "a part is not in the job")
        job = staged.assemble(key)
        if job is None:
            return Accepted()
        del self.staged_by_key[key]
        if isinstance(job, str):
            return Rejected(RefusalReason.BAD_REQUEST, job)
        outcome = self._submit(job, time)
        return JobHeld() if isinstance(outcome, Accepted) else outcome

    def _add_job(self, state: JobState) -> None:
        self.jobs_by_id[state.job.id] = state
        for item in state.job.items:
            self._last_job_by_item[item.id] = state.job.id

    def _carry_over(self, state: JobState, item: JobItem) -> None:
        """Reuse an item's result or progress from the last job that had it.

        Only text whose weight versions the new job allows is reused.  Trainers
        resubmit items whose group was not complete in time.
        """
        earlier = self.jobs_by_id.get(self._last_job_by_item.get(item.id, JobId("")))
        if earlier is None or not may_access(
            self._owner(earlier.job), self._owner(state.job)
        ):
            return
        earlier_item = earlier.items_by_id.get(item.id)
        if earlier_item is None or earlier_item.request_digest != item.request_digest:
            return
        position = earlier.positions_by_item.get(item.id)
        if position is not None:
            result = earlier.results[position]
            if (
                result.outcome is ItemOutcome.COMPLETE
                and min(result.versions) >= state.job.oldest_version
            ):
                state.add_result(result)
            return
        progress = earlier.progress_by_item.get(item.id)
        if (
            progress is not None
            and progress.versions
            and min(progress.versions) >= state.job.oldest_version
        ):
            state.merge_progress(item.id, replace(progress, kept=0))

    def _list_results(self, job_id: JobId, ended: tuple[EndedItem, ...]) -> None:
        state = self.jobs_by_id.get(job_id)
        if state is None or state.ended:
            return
        for item in ended:
            if item.item in state.positions_by_item:
                continue
            text = b""
            versions: tuple[WeightVersion, ...] = ()
            if item.progress is not None:
                merged = state.merge_progress(item.item, item.progress)
                text, versions = b"\n".join(merged.events), merged.versions
            state.add_result(
                ItemResult(item.item, item.outcome, text, versions, item.score)
            )
        state.release(item.item for item in ended)

    def _save_progress(
        self, job_id: JobId, progress_by_item: dict[ItemId, Progress]
    ) -> None:
        state = self.jobs_by_id.get(job_id)
        if state is None or state.ended:
            return
        for item_id, progress in progress_by_item.items():
            if item_id not in state.positions_by_item:
                state.merge_progress(item_id, progress)

    def _end_job(self, job_id: JobId, caller: OrganisationId | None) -> Outcome:
        state = self.find(job_id, caller)
        if state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no job {job_id}")
        state.ended = True
        state.release(state.items_by_id)
        return Accepted()

    def _drop_expired(self, time: float) -> None:
        for key, staged in list(self.staged_by_key.items()):
            if time - staged.updated_at > STAGING_SECONDS:
                del self.staged_by_key[key]
        for job_id, state in list(self.jobs_by_id.items()):
            if _is_expired(state, time):
                del self.jobs_by_id[job_id]
                for item in state.job.items:
                    if self._last_job_by_item.get(item.id) == job_id:
                        del self._last_job_by_item[item.id]

    def to_snapshot(self) -> JobsSnapshot:
        """Return all jobs, with their results and progress."""
        return JobsSnapshot(
            tuple(
                JobRecord(
                    state.job,
                    state.submitted_at,
                    tuple(state.results),
                    state.ended,
                    dict(state.progress_by_item),
                )
                for state in self.jobs_by_id.values()
            ),
            tuple(to_record(*item) for item in self.staged_by_key.items()),
        )

    def load_snapshot(self, snapshot: JobsSnapshot) -> None:
        """Replace all jobs by those of a snapshot."""
        self.jobs_by_id = {}
        self.staged_by_key = dict(map(from_record, snapshot.staged))
        self._last_job_by_item = {}
        for record in snapshot.records:
            self._add_job(
                JobState(
                    record.job,
                    record.submitted_at,
                    list(record.results),
                    progress_by_item=dict(record.progress_by_item),
                    ended=record.ended,
                )
            )


def _is_expired(state: JobState, time: float) -> bool:
    age = time - state.submitted_at
    return age > (
        RESULT_RETENTION_SECONDS if state.ended else OPEN_JOB_RETENTION_SECONDS
    )
