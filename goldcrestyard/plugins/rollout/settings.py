"""Settings of the rollout of weights."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class RolloutSettings:
    """The ``[rollout]`` section."""

    stage_patience_seconds: float = setting(
        "How long engines that have staged a version wait for the others before "
        "they are activated, in seconds.",
        60.0,
    )
    activate_patience_seconds: float = setting(
        "How long an activation waits for the last engines before these count "
        "as behind, in seconds.",
        9.0,
    )
    straggler_seconds: float = setting(
        "How long the other engines wait for the last few, in seconds.", 3.0
    )
    ask_seconds: float = setting(
        "Longest time an engine takes to say what it serves, in seconds.", 2.0
    )
    ask_concurrency: int = setting("How many engines are asked at the same time.", 128)
