"""Admission of jobs on the leader, by the memory that they would take."""

from collections.abc import Callable

import structlog

from goldcrestyard.core.ids import Term
from goldcrestyard.core.jobs import Job
from goldcrestyard.fleet.jobs.commands import StageJobPart, SubmitJob
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.jobs.staging import StagingKey, staging_key
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.job_sizes import job_size
from goldcrestyard.policy.memory import ControlShares
from goldcrestyard.state.commands import AppliedEntry, Command

logger = structlog.get_logger(__name__)


class JobAdmission:
    """Refuses jobs for which the control members have no room.

    A job that is known already, or that has begun to arrive in parts, has its
    room.  Jobs that were proposed and are not applied yet count as well.
    """

    def __init__(
        self,
        jobs: JobsSlice,
        shares: ControlShares,
        term: Callable[[], Term],
        clock: Clock,
    ) -> None:
        self._jobs = jobs
        self._shares = shares
        self._term = term
        self._clock = clock
        self._proposed_in = Term(0)
        self._proposed_bytes_by_key: dict[StagingKey, int] = {}

    def check(self, command: Command) -> str | None:
        """Return why there is no room for a job, or None if it may come."""
        match command:
            case SubmitJob(job=job):
                return self._admit(_key(job), job_size(job), self._shares.admitted_jobs)
            case StageJobPart(size=size, held_bytes=held_bytes):
                key = staging_key(command)
                if key in self._jobs.staged_by_key:
                    return None
                return self._admit(key, max(size, held_bytes), self._shares.large_jobs)
            case _:
                return None

    def on_applied(self, entry: AppliedEntry) -> None:
        """Count an applied job by what the state holds of it."""
        match entry.envelope.command:
            case SubmitJob(job=job):
                self._proposed_bytes_by_key.pop(_key(job), None)
            case StageJobPart() as part:
                self._proposed_bytes_by_key.pop(staging_key(part), None)

    def _admit(self, key: StagingKey, size: int, max_bytes: int) -> str | None:
        if self._proposed_in != self._term():
            # What an earlier term proposed and did not commit never will be.
            self._proposed_bytes_by_key.clear()
            self._proposed_in = self._term()
        if key[0] in self._jobs.jobs_by_id or key in self._proposed_bytes_by_key:
            return None
        held = self._jobs.held_bytes(self._clock.wall())
        held += sum(self._proposed_bytes_by_key.values())
        if held + size > max_bytes:
            logger.warning(
                "job refused: no room",
                job=key[0],
                size=size,
                held_bytes=held,
                max_bytes=max_bytes,
            )
            return f"the jobs leave no room: {held} of {max_bytes} bytes are held"
        self._proposed_bytes_by_key[key] = size
        return None


def _key(job: Job) -> StagingKey:
    """Return the key of a job that arrives as a whole."""
    return job.id, job.organisation, b""
