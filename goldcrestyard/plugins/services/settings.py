"""Settings of the plug-in for plain services."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ServiceSettings:
    """The ``[services]`` section."""

    connect_seconds: float = setting(
        "Longest time to open a connection to a service's target, in seconds.", 3.0
    )
    request_seconds: float = setting(
        "Longest time for a request with all its attempts, in seconds.", 60.0
    )
    max_attempts: int = setting("Largest number of attempts at a request.", 3)
    max_answer_bytes: int = setting(
        "Largest body of a target's answer, in bytes.", 16 * 1024 * 1024
    )
