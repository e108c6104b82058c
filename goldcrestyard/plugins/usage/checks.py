"""Checks of the usage settings."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.usage.settings import UsageSettings
from goldcrestyard.wire.client import PeerAddress


def check_usage(settings: Settings) -> Iterable[Problem]:
    """Check the address, the window length and the grace period."""
    usage = settings.find(UsageSettings)
    if usage is None:
        return
    try:
        PeerAddress.parse(usage.address)
    except ValueError:
        yield Problem(
            Severity.ERROR,
            "usage.E001",
            "usage.address",
            f"{usage.address!r} is not host:port",
            "Give the address as host:port.",
        )
    if usage.window_seconds < 1:
        yield Problem(
            Severity.ERROR,
            "usage.E002",
            "usage.window_seconds",
            "must be at least 1",
            "Windows are commonly an hour, 3600 s.",
        )
    if usage.grace_seconds < 2 * usage.flush_seconds:
        yield Problem(
            Severity.WARNING,
            "usage.W001",
            "usage.grace_seconds",
            f"{usage.grace_seconds} is less than twice usage.flush_seconds",
            "Usage from the end of a window would be reported late.",
        )
