"""Settings of a control member."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ControlSettings:
    """The ``[control]`` section; only on instances with a disk."""

    OPTIONAL: ClassVar[bool] = True

    data_folder: str = setting("Folder for the replicated log and the stored bodies.")
    heartbeat_seconds: float = setting(
        "Interval at which the leader sends heartbeats to the other members, in "
        "seconds.",
        0.25,
    )
    lease_seconds: float = setting(
        "How long a leader may act after a majority last answered it, in seconds. "
        "Set the same value on every control member.",
        1.5,
    )
    election_timeout_seconds: float = setting(
        "How long a member waits for a leader's heartbeat before it may support "
        "another candidate, in seconds. Set the same value on every control "
        "member.",
        2.0,
    )
    election_timeout_max_seconds: float = setting(
        "Longest time without a heartbeat before a member becomes a candidate, in "
        "seconds. Each member chooses a random time between the election timeout "
        "and this.",
        3.0,
    )
    start_quiet_seconds: float = setting(
        "How long a member votes for no candidate after it starts, in seconds. "
        "Must be longer than the lease.",
        2.0,
    )
    snapshot_entries: int = setting(
        "Number of log entries after which a snapshot is taken.", 10_000
    )
