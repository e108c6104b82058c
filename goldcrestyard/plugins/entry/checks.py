"""Checks of the entry settings."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.entry.settings import EntrySettings

MIN_LEASE_SECONDS = 3.0
MAX_LEASE_SECONDS = 8.0


def check_lease(settings: Settings) -> Iterable[Problem]:
    """Check the entry lease against the bounds that promises rest on."""
    entry = settings.find(EntrySettings)
    if entry is None:
        return
    if not MIN_LEASE_SECONDS <= entry.lease_seconds <= MAX_LEASE_SECONDS:
        yield Problem(
            Severity.ERROR,
            "entry.E001",
            "entry.lease_seconds",
            f"{entry.lease_seconds} is outside "
            f"{MIN_LEASE_SECONDS} to {MAX_LEASE_SECONDS}",
            "A shorter lease runs out during an election; a longer one keeps a "
            "change from being in force everywhere within 10 s.",
        )
