"""Settings of usage metering and reporting."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class UsageSettings:
    """The ``[usage]`` section; it must be the same on every instance."""

    OPTIONAL: ClassVar[bool] = True

    address: str = setting("Address (host:port) of the usage interface.")
    window_seconds: int = setting("Length of a usage window, in seconds.", 3600)
    grace_seconds: float = setting(
        "How long a window stays open after its end for records that have not "
        "arrived yet, in seconds.",
        120.0,
    )
    flush_seconds: float = setting(
        "Interval at which an entry sends its totals, in seconds.  An entry that "
        "crashes loses the usage that it has not sent.",
        30.0,
    )
    checks_fencing: bool = setting(
        "Whether the interface refuses stale fencing tokens.", False
    )
    honours_keys: bool = setting(
        "Whether the interface accepts a repeated window id only once.", True
    )
    can_look_up: bool = setting("Whether GET /reports/<window> finds a report.", True)
