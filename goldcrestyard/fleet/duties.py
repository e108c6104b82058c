"""Settings of the tasks that the leader performs at outside systems.

A duty is a task, such as renting targets or reporting usage, that only one
member may perform at a time.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class DutySettings:
    """Identity and timing of the leader's calls to outside systems."""

    holder_name: InstanceId = setting(
        "Name that identifies this process to outside systems as holder of a duty."
    )
    quiet_seconds: float = setting(
        "How long a new leader waits before its first call to an outside system.",
        1.0,
    )
    usage_window_seconds: float = setting("Length of a usage window.", 5.0)
    rents_targets: bool = setting("Whether targets are rented on demand.", True)
