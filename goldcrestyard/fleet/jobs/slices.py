"""Replicated state: jobs and their results."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from goldcrestyard.core.ids import ItemId, JobId, OrganisationId
from goldcrestyard.core.jobs import ItemResult, Job, JobItem
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    JobRecord,
    JobsSnapshot,
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
    ended: bool = False

    def item(self, item_id: ItemId) -> JobItem | None:
        """Return an item that is not listed yet, or None."""
        if item_id in self.listed:
            return None
        return next((item for item in self.job.items if item.id == item_id), None)


class JobsSlice(Slice):
    """Jobs by id."""

    name = "jobs"
    commands = (SubmitJob, ListResults, EndJob)

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
            case ListResults(job=job_id, results=results):
                self._list(job_id, results)
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

    def _list(self, job_id: JobId, results: tuple[ItemResult, ...]) -> None:
        state = self.jobs_by_id.get(job_id)
        if state is None or state.ended:
            return
        for result in results:
            if result.item not in state.listed:
                state.listed.add(result.item)
                state.results.append(result)

    def _end(self, job_id: JobId, organisation: OrganisationId | None) -> Outcome:
        state = self.find(job_id, organisation)
        if state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no job {job_id}")
        state.ended = True
        # Bodies are no longer asked for; they are most of a job's size.
        state.job = replace(state.job, items=())
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
                record.ended,
            )
            for record in snapshot.records
        }
