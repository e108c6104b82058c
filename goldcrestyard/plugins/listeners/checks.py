"""Checks of the listener settings."""

from collections.abc import Iterable

from goldcrestyard.core.decoding import is_address
from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.listeners.settings import ListenerSettings


def check_addresses(settings: Settings) -> Iterable[Problem]:
    """Check that the listeners' addresses are valid and differ."""
    listeners = settings.find(ListenerSettings)
    if listeners is None:
        return
    for name, address in (("public", listeners.public), ("admin", listeners.admin)):
        if not is_address(address):
            yield Problem(
                Severity.ERROR,
                "listeners.E001",
                f"listeners.{name}",
                f"{address!r} is not host:port",
                "Write an IP address and a port, such as 10.0.1.7:8080.",
            )
    if listeners.public == listeners.admin:
        yield Problem(
            Severity.ERROR,
            "listeners.E002",
            "listeners.admin",
            "is the same address as listeners.public",
            "Set an address for operators that callers cannot reach, such as another "
            "port on an internal interface.",
        )
