"""Settings of the trainers' interface."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class TrainerSettings:
    """The ``[trainers]`` section."""

    concurrent_samples: int = setting(
        "Samples of one step that an entry generates at a time.", 256
    )
    step_seconds: float = setting(
        "Longest time an entry generates samples for a step, in seconds.", 1800.0
    )
    max_wait_seconds: float = setting(
        "Longest time a trainer may wait for an answer, in seconds.", 600.0
    )
