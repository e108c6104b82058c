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
    max_head_bytes: int = setting(
        "Largest request line with all headers, in bytes; a longer one is refused "
        "with 400.",
        64 * 1024,
    )
    max_connections: int = setting(
        "Largest number of connections that clients may hold at all listeners of "
        "this instance together; further ones are refused with 503. 0 computes it "
        "from memory.process_bytes and memory.descriptors.",
        0,
    )
    header_seconds: float = setting(
        "Longest time for a caller to send a request's headers, in seconds.", 10.0
    )
    body_seconds: float = setting(
        "Longest time for a caller to send a request's body, in seconds.", 60.0
    )
