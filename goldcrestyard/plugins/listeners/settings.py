"""Settings of the HTTP listeners."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ListenerSettings:
    """The ``[listeners]`` section."""

    public: str = setting(
        "Address (host:port) for callers, trainers and targets. Other instances "
        "pass it on to callers, so use an address that callers can reach, not "
        "0.0.0.0."
    )
    admin: str = setting(
        "Address (host:port) for operators, health checks and metrics."
    )
    max_body_bytes: int = setting(
        "Largest request body, in bytes; a larger one is refused with 413.",
        16 * 1024 * 1024,
    )
    header_seconds: float = setting(
        "Longest time for a caller to send a request's headers, in seconds.", 10.0
    )
    body_seconds: float = setting(
        "Longest time for a caller to send a request's body, in seconds.", 60.0
    )
