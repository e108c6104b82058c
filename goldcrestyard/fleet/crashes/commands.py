"""Commands and snapshot of the crashing requests slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.policy.crashing_requests import TargetRun


@dataclass(frozen=True, slots=True)
class SuspectRequest:
    """Tells all entries at once that runs have crashed under a request."""

    request: RequestDigest
    runs: tuple[TargetRun, ...]


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Rejects a request from now on, for the runs that crashed under it."""

    request: RequestDigest
    runs: tuple[TargetRun, ...]


@dataclass(frozen=True, slots=True)
class CrashingRequest:
    """A request with the runs that have crashed under it."""

    request: RequestDigest
    runs: tuple[TargetRun, ...]
    since: float
    """Wall time in seconds of the latest command for it."""


@dataclass(frozen=True, slots=True)
class CrashingRequestsSnapshot:
    """Snapshot of the slice, in both lists the oldest first."""

    suspected: tuple[CrashingRequest, ...]
    rejected: tuple[CrashingRequest, ...]
