"""Settings of the order sender."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class OrderSettings:
    """The ``[orders]`` section; the same on every control member."""

    order_quiet_seconds: float = setting(
        "How long a new leader waits before its first order, and the longest "
        "time that sent bytes may stay unacknowledged, in seconds.",
        3.0,
    )
    connect_seconds: float = setting(
        "Longest time to connect to a receiver, in seconds.", 2.0
    )
    answer_seconds: float = setting(
        "Longest wait for a receiver's answer, in seconds.", 5.0
    )
    concurrency: int = setting("How many orders are sent at the same time.", 256)
