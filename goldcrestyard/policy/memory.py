"""Shares of a process's memory that clients, peers and targets may fill.

The platform ends a process that exceeds its memory, whatever filled it.  What
others make a process keep is therefore bounded as a sum, and what does not fit
is refused before it is stored.
"""

from dataclasses import dataclass

MEGABYTE = 1_000_000

RESERVED_CONTROL_BYTES = 100 * MEGABYTE
RESERVED_ENTRY_BYTES = 60 * MEGABYTE
"""Memory of a process itself: the interpreter, its modules, connections and
all state that is small and bounded in number."""

JOBS_SHARE = 0.2
"""Share for the replicated jobs.  While a snapshot is taken or installed, they
are held several times: as state, as a snapshot and while one is encoded."""

LARGE_JOBS_SHARE = 0.1
"""Share up to which jobs are admitted that arrive in parts.  Beside the jobs
that are held already, such a job takes memory in its log entries."""

LOG_SHARE = 0.09
"""Share for the log entries since the latest snapshot; half of it again may be
kept from before, for members that are behind."""

PROPOSALS_SHARE = 0.05
"""Share for the proposals that are not applied yet."""

TEXTS_SHARE = 0.04
"""Share for the texts of the items that the leader runs."""

CONTROL_BODIES_SHARE = 0.05
"""Share of a control member for the bodies of requests in progress."""

BODIES_SHARE = 0.27
"""Share of an entry for the bodies of requests and answers in progress.  Those
of a submitted job are held four times, in its encodings."""

ADMISSION_SHARE = 0.9
"""Share of the room for jobs up to which jobs are admitted.  The rest is for
the texts of the jobs that are running."""

DECODED_SHARE = 0.5
"""How much of a decoded document counts in the room for bodies.  The room is
about a quarter of the memory, and decoded documents are held once."""

STRING_BYTES = 56
OBJECT_BYTES = 232
ARRAY_BYTES = 88
VALUE_BYTES = 48
"""Memory of a decoded string, object and array without their content, and of a
place for a value, with a number in it."""

CONFIG_MARK_BYTES = 80
"""Memory of a decoded configuration for each object and each comma.  Measured:
33 to 76 bytes for 2 MB of routes, services, tenants, keys or splits."""

MAX_CONFIG_SHARE = 0.5
"""Share of the room that a decoded configuration counts at most, so that a
single one of the largest size always fits beside its bytes."""

JOB_OBJECT_BYTES = 100
JOB_FIELD_BYTES = 256
"""Memory for each object and each field of a submitted job, decoded and
encoded again, beyond four times the bytes.  The worst measured shapes are
headers with 232 bytes each, and items of two fields with 507 bytes."""

MIN_SHARED_BYTES = 32 * MEGABYTE
"""Memory that is shared out even if the process has less than the reserve."""


@dataclass(frozen=True, slots=True)
class ControlShares:
    """Bounds in bytes of what a control member holds for others.

    ``large_jobs`` is that of all jobs while a large one is admitted.
    """

    jobs: int
    large_jobs: int
    log: int
    proposals: int
    bodies: int
    texts: int

    @property
    def admitted_jobs(self) -> int:
        """Size of the jobs from which no further one is admitted."""
        return int(ADMISSION_SHARE * self.jobs)


def control_shares(process_bytes: int) -> ControlShares:
    """Return the bounds for a control member with so much memory."""
    shared = max(MIN_SHARED_BYTES, process_bytes - RESERVED_CONTROL_BYTES)
    return ControlShares(
        int(JOBS_SHARE * shared),
        int(LARGE_JOBS_SHARE * shared),
        int(LOG_SHARE * shared),
        int(PROPOSALS_SHARE * shared),
        int(CONTROL_BODIES_SHARE * shared),
        int(TEXTS_SHARE * shared),
    )


def entry_body_bytes(process_bytes: int) -> int:
    """Return the bound of the bodies in progress on an entry."""
    shared = max(MIN_SHARED_BYTES, process_bytes - RESERVED_ENTRY_BYTES)
    return int(BODIES_SHARE * shared)


def decoded_bytes(body: bytes) -> int:
    """Return what a JSON document of any shape counts once it is decoded.

    Marks inside strings count too, so that the result may be too high.
    """
    memory = (
        STRING_BYTES * (body.count(b'"') // 2)
        + OBJECT_BYTES * body.count(b"{")
        + ARRAY_BYTES * body.count(b"[")
        + VALUE_BYTES * (body.count(b",") + body.count(b":"))
    )
    return int(DECODED_SHARE * memory)


def decoded_config_bytes(body: bytes, room_bytes: int) -> int:
    """Return what a decoded configuration counts beside its bytes."""
    memory = CONFIG_MARK_BYTES * (body.count(b"{") + body.count(b","))
    return int(min(DECODED_SHARE * memory, MAX_CONFIG_SHARE * room_bytes))


def decoded_job_bytes(body: bytes) -> int:
    """Return what a submitted job counts, decoded, beside its bytes."""
    memory = JOB_OBJECT_BYTES * body.count(b"{") + JOB_FIELD_BYTES * body.count(b":")
    return int(DECODED_SHARE * memory)
