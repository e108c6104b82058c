"""Replicated state: jobs and their results."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from goldcrestyard.core.ids import ItemId, JobId, OrganisationId, WeightVersion
from goldcrestyard.core.jobs import EndedItem, ItemResult, Job, JobItem, Progress
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    JobRecord,
    JobsSnapshot,
    KeepProgress,
    ListResults,
    SubmitJob,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

KEPT_SECONDS = 150.0
"""Results of an ended job are kept for this long after its submission; users
read them for up to two minutes."""

OPEN_SECONDS = 3600.0
"""A job that its trainer never ends is dropped after this long."""


@dataclass(slots=True)
class JobState:
    """A job with its results, in the order in which they are listed."""

    job: Job
    submitted_at: float
    size: int
    results: list[ItemResult] = field(default_factory=list)
    listed: set[ItemId] = field(default_factory=set)
    progress_by_item: dict[ItemId, Progress] = field(default_factory=dict)
    """What items have that are not listed yet."""
    ended: bool = False

    def advance(self, item_id: ItemId, progress: Progress) -> Progress:
        """Join further progress of an item to what is known of it."""
        known = self.progress_by_item.get(item_id)
        kept = known.events[: progress.kept] if known is not None else ()
        whole = replace(progress, kept=0, events=(*kept, *progress.events))
        self.progress_by_item[item_id] = whole
        return whole

    def item(self, item_id: ItemId) -> JobItem | None:
        """Return an item that is not listed yet, or None."""
        if item_id in self.listed:
            return None
        return next((item for item in self.job.items if item.id == item_id), None)


class JobsSlice(Slice):
    """Jobs by id."""

    name = "jobs"
    commands = (SubmitJob, ListResults, KeepProgress, EndJob)

    def __init__(self) -> None:
        self.jobs_by_id: dict[JobId, JobState] = {}

    def open_jobs(self) -> Iterable[JobState]:
        """Return the jobs that are not ended, oldest first."""
        return [state for state in self.jobs_by_id.values() if not state.ended]

    def find(
        self, job_id: JobId, organisation: OrganisationId | None
    ) -> JobState | None:
        """Return an organisation's job, or None."""
        state = self.jobs_by_id.get(job_id)
        if state is None or state.job.organisation != organisation:
            return None
        return state

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case SubmitJob(job=job):
                return self._submit(job, context.time)
            case ListResults(job=job_id, ended=ended):
                self._list(job_id, ended)
                return Accepted()
            case KeepProgress(job=job_id, progress_by_item=progress_by_item):
                self._advance(job_id, progress_by_item)
                return Accepted()
            case EndJob(job=job_id, organisation=organisation):
                return self._end(job_id, organisation)
        raise TypeError(f"unexpected command {command!r}")

    def _submit(self, job: Job, time: float) -> Outcome:
        known = self.jobs_by_id.get(job.id)
        if known is not None:
            if known.job.organisation != job.organisation:
                return Rejected(RefusalReason.CONFLICT, "the id is in use")
            return Accepted()
        self._forget_old(time)
        self.jobs_by_id[job.id] = JobState(job, time, len(job.items))
        return Accepted()

    def _list(self, job_id: JobId, ended: tuple[EndedItem, ...]) -> None:
        state = self.jobs_by_id.get(job_id)
        if state is None or state.ended:
            return
        for item in ended:
            if item.item in state.listed:
                continue
            state.listed.add(item.item)
            text = b""
            versions: tuple[WeightVersion, ...] = ()
            if item.progress is not None:
                whole = state.advance(item.item, item.progress)
                text, versions = b"\n".join(whole.events), whole.versions
            state.progress_by_item.pop(item.item, None)
            state.results.append(
                ItemResult(item.item, item.outcome, text, versions, item.score)
            )

    def _advance(self, job_id: JobId, progress_by_item: dict[ItemId, Progress]) -> None:
        state = self.jobs_by_id.get(job_id)
        if state is None or state.ended:
            return
        for item_id, progress in progress_by_item.items():
            if item_id not in state.listed:
                state.advance(item_id, progress)

    def _end(self, job_id: JobId, organisation: OrganisationId | None) -> Outcome:
        state = self.find(job_id, organisation)
        if state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no job {job_id}")
        state.ended = True
        # Bodies are no longer asked for; they are most of a job's size.
        state.job = replace(state.job, items=())
        state.progress_by_item.clear()
        return Accepted()

    def _forget_old(self, time: float) -> None:
        for job_id, state in list(self.jobs_by_id.items()):
            age = time - state.submitted_at
            if age > (KEPT_SECONDS if state.ended else OPEN_SECONDS):
                del self.jobs_by_id[job_id]

    def to_snapshot(self) -> JobsSnapshot:
        """Return the whole slice."""
        return JobsSnapshot(
            tuple(
                JobRecord(
                    state.job,
                    state.submitted_at,
                    tuple(state.results),
                    state.ended,
                    state.size,
                    dict(state.progress_by_item),
                )
                for state in self.jobs_by_id.values()
            )
        )

    def load_snapshot(self, snapshot: JobsSnapshot) -> None:
        """Replace the slice."""
        self.jobs_by_id = {
            record.job.id: JobState(
                record.job,
                record.submitted_at,
                record.size,
                list(record.results),
                {result.item for result in record.results},
                dict(record.progress_by_item),
                record.ended,
            )
            for record in snapshot.records
        }
