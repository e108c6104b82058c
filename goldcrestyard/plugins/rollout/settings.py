"""Settings of the rollout of weights."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class RolloutSettings:
    """The ``[rollout]`` section."""

    stage_patience_seconds: float = setting(
        "Longest time that engines with a staged version wait for the others before "
        "they are activated, in seconds.",
        60.0,
    )
    activate_patience_seconds: float = setting(
        "Longest time that an activation waits for the last engines before they "
        "count as behind, in seconds.",
        9.0,
    )
    straggler_seconds: float = setting(
        "Longest time that the other engines wait for the last few, in seconds.", 3.0
    )
    ask_seconds: float = setting(
        "Longest time to wait for an engine to report its versions, in seconds.", 2.0
    )
    ask_concurrency: int = setting(
        "Largest number of engines that are queried at the same time.", 128
    )
