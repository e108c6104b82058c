"""Commands and snapshot of the rejected requests slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.policy.crashing_requests import TargetRun


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Rejects a request from now on, for the runs that crashed under it."""

    request: RequestDigest
    runs: tuple[TargetRun, ...]


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """A rejected request with the wall time of its rejection in seconds."""

    request: RequestDigest
    runs: tuple[TargetRun, ...]
    rejected_at: float


@dataclass(frozen=True, slots=True)
class RejectedRequestsSnapshot:
    """Snapshot of the rejected requests, those rejected first at the start."""

    rejected: tuple[RejectedRequest, ...]
