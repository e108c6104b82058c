"""Settings of the inference front end."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class EngineSettings:
    """The ``[engines]`` section."""

    connect_seconds: float = setting(
        "Longest time to connect to an engine, in seconds.", 3.0
    )
    stall_seconds: float = setting(
        "A connection that is silent for this long is given up, in seconds.", 30.0
    )
    seconds_per_token: float = setting(
        "Time that a slow engine needs for a token, in seconds: an answer that is "
        "not streamed may be silent for that much longer.",
        0.1,
    )
    probe_seconds: float = setting(
        "Longest time for an engine to answer a probe, in seconds.", 2.0
    )
    request_seconds: float = setting(
        "Longest time for a whole request, in seconds.", 600.0
    )
    max_attempts: int = setting("How often a request is sent at most.", 3)
