"""Settings of the plug-in for inference requests."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class EngineSettings:
    """The ``[engines]`` section."""

    connect_seconds: float = setting(
        "Longest time to open a connection to an engine, in seconds.", 3.0
    )
    stall_seconds: float = setting(
        "Longest time without data on a connection to an engine, in seconds.", 30.0
    )
    seconds_per_token: float = setting(
        "Time that a slow engine needs for a token, in seconds; the limit on silence "
        "is longer by this time for each token of an answer that is not streamed.",
        0.1,
    )
    probe_seconds: float = setting(
        "Longest time for an engine to answer a probe, in seconds.", 2.0
    )
    request_seconds: float = setting(
        "Longest time for a request with all its attempts, in seconds.", 600.0
    )
    max_attempts: int = setting("Largest number of attempts at a request.", 3)
