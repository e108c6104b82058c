"""Settings of a control member."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ControlSettings:
    """The ``[control]`` section; only on instances with a disk."""

    OPTIONAL: ClassVar[bool] = True

    data_folder: str = setting("Folder for the replicated log and stored bodies.")
    heartbeat_seconds: float = setting(
        "Interval at which the leader proves to the other members that it lives.",
        0.25,
    )
    lease_seconds: float = setting(
        "How long a leader may act after a majority last answered it, in seconds; "
        "the same on every control member.",
        1.5,
    )
    election_timeout_seconds: float = setting(
        "How long a member supports a silent leader, in seconds; the same on "
        "every control member.",
        2.0,
    )
    election_timeout_max_seconds: float = setting(
        "Longest time before a member stands for election; each draws its own "
        "between the election timeout and this.",
        3.0,
    )
    start_quiet_seconds: float = setting(
        "How long a member that has just started supports no candidate, in "
        "seconds; longer than the lease.",
        2.0,
    )
    snapshot_entries: int = setting(
        "Number of log entries after which a snapshot is taken.", 10_000
    )
