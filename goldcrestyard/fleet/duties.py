"""Settings of the duties that one member at a time may act in."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class DutySettings:
    """The duties of the leader towards outside systems."""

    holder_name: InstanceId = setting("Name under which this process acts.")
    quiet_seconds: float = setting(
        "How long a new leader waits before it first acts towards an outside system.",
        1.0,
    )
    usage_window_seconds: float = setting("Length of a usage window.", 5.0)
    rents_targets: bool = setting("Whether targets are rented by demand.", True)
