"""Checks of the settings of the order sender."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.orders.settings import OrderSettings

MIN_QUIET_SECONDS = 2.0
"""The leader lease of 1.5 s with its drift margin, and time on the network."""


def check_quiet(settings: Settings) -> Iterable[Problem]:
    """Check the quiet period against the lease of an earlier leader."""
    orders = settings.find(OrderSettings)
    if orders is not None and orders.order_quiet_seconds < MIN_QUIET_SECONDS:
        yield Problem(
            Severity.ERROR,
            "orders.E001",
            "orders.order_quiet_seconds",
            f"{orders.order_quiet_seconds} is below {MIN_QUIET_SECONDS}",
            "An order of the previous leader could still be under way.",
        )


def check_concurrency(settings: Settings) -> Iterable[Problem]:
    """Check that orders can be sent at all."""
    orders = settings.find(OrderSettings)
    if orders is not None and orders.concurrency < 1:
        yield Problem(
            Severity.ERROR,
            "orders.E002",
            "orders.concurrency",
            "must be at least 1",
            "930 engines need about 256 to activate a version within 9 s.",
        )
