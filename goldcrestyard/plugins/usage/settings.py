"""Settings of the usage reports."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class UsageSettings:
    """The ``[usage]`` section; the same on every instance."""

    OPTIONAL: ClassVar[bool] = True

    address: str = setting("Address (host:port) of the usage interface.")
    window_seconds: int = setting("Length of a window, in seconds.", 3600)
    grace_seconds: float = setting(
        "How long after its end a window stays open for records that are under "
        "way, in seconds.",
        120.0,
    )
    flush_seconds: float = setting(
        "How often an entry sends its totals, in seconds.  An entry that "
        "crashes loses what it has measured since.",
        30.0,
    )
    checks_fencing: bool = setting(
        "Whether the interface refuses stale fencing numbers.", False
    )
    honours_keys: bool = setting(
        "Whether the interface accepts a repeated window id only once.", True
    )
    can_look_up: bool = setting("Whether GET /reports/<window> finds a report.", True)
