"""Checks of the settings of the order sender."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.orders.settings import OrderSettings

MIN_ORDER_QUIET_SECONDS = 2.0
"""Covers the leader lease of 1.5 s with its margin for clock drift, and the
time on the network."""


def check_quiet_period(settings: Settings) -> Iterable[Problem]:
    """Check that the quiet period outlasts the previous leader's lease."""
    orders = settings.find(OrderSettings)
    if orders is not None and orders.order_quiet_seconds < MIN_ORDER_QUIET_SECONDS:
        yield Problem(
            Severity.ERROR,
            "orders.E001",
            "orders.order_quiet_seconds",
            f"{orders.order_quiet_seconds} is below {MIN_ORDER_QUIET_SECONDS}",
            "An order of the previous leader could still be in transit.",
        )


def check_concurrency(settings: Settings) -> Iterable[Problem]:
    """Check that at least one order can be sent at a time."""
    orders = settings.find(OrderSettings)
    if orders is not None and orders.concurrency < 1:
        yield Problem(
            Severity.ERROR,
            "orders.E002",
            "orders.concurrency",
            "must be at least 1",
            "930 engines need about 256 to activate a version within 9 s.",
        )
