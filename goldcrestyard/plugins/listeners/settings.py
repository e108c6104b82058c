"""Settings of the HTTP listeners."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ListenerSettings:
    """The ``[listeners]`` section."""

    public: str = setting(
        "Address (host:port) for callers, trainers and targets; other instances "
        "hand it out, so it names the interface that callers reach."
    )
    admin: str = setting(
        "Address (host:port) for operators, health checks and metrics."
    )
    max_body_bytes: int = setting("Largest request body.", 16 * 1024 * 1024)
    header_seconds: float = setting(
        "Longest time a caller may take to send a request's headers.", 10.0
    )
    body_seconds: float = setting(
        "Longest time a caller may take to send a request's body.", 60.0
    )
