"""Checks of the entry settings."""

from collections.abc import Iterable

from goldcrestyard.kernel.checks import Problem, Severity
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.entry.settings import EntrySettings

MIN_LEASE_SECONDS = 3.0
MAX_LEASE_SECONDS = 8.0


def check_lease(settings: Settings) -> Iterable[Problem]:
    """Check that the entry lease is within its safe limits."""
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
            f"Set a value from {MIN_LEASE_SECONDS} to {MAX_LEASE_SECONDS}: a shorter "
            "lease expires during an election; with a longer one, a change may "
            "not be in force everywhere within 10 s.",
        )
