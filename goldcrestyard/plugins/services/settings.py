"""Settings of the plain services' front end."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ServiceSettings:
    """The ``[services]`` section."""

    connect_seconds: float = setting(
        "Longest time to connect to a service's target, in seconds.", 3.0
    )
    request_seconds: float = setting(
        "Longest time for a whole request with all its attempts, in seconds.", 60.0
    )
    max_attempts: int = setting("How often a request is sent at most.", 3)
    max_answer_bytes: int = setting(
        "Largest answer of a target that is passed on.", 16 * 1024 * 1024
    )
