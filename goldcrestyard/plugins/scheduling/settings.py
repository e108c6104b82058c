"""Settings of the scheduling plug-in."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class SchedulingSettings:
    """The ``[scheduling]`` section."""

    queue_seconds: float = setting(
        "Longest time an interactive request waits for a target, in seconds.", 30.0
    )
    rollout_queue_seconds: float = setting(
        "Longest time a rollout request waits for a target, in seconds.", 300.0
    )
