"""Checks of the platform settings."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.rentals.settings import RentalSettings
from goldcrestyard.wire.client import PeerAddress


def check_address(settings: Settings) -> Iterable[Problem]:
    """Check that the platform's address can be parsed."""
    platform = settings.find(RentalSettings)
    if platform is None:
        return
    try:
        PeerAddress.parse(platform.address)
    except ValueError:
        yield Problem(
            Severity.ERROR,
            "platform.E001",
            "platform.address",
            f"{platform.address!r} is not host:port",
            "Give the address as host:port.",
        )


def check_guards(settings: Settings) -> Iterable[Problem]:
    """Warn if a lost answer would leave an order in doubt."""
    platform = settings.find(RentalSettings)
    if platform is not None and not (
        platform.checks_fencing or platform.honours_keys or platform.can_look_up
    ):
        yield Problem(
            Severity.WARNING,
            "platform.W001",
            "platform",
            "the platform neither detects repeated orders nor looks them up",
            "An order whose answer is lost stays in doubt until an operator "
            "has compared it with the platform.",
        )
