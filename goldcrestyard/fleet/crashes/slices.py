"""Replicated state: the requests under which targets crash."""

from collections import OrderedDict

from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.fleet.crashes.commands import (
    CrashingRequest,
    CrashingRequestsSnapshot,
    RejectRequest,
    SuspectRequest,
)
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice

MAX_REQUESTS = 256
"""Maximum number of suspected and of rejected requests; beyond it the oldest
one is forgotten.  Each has cost several targets, so they are few."""

RequestsByDigest = OrderedDict[RequestDigest, CrashingRequest]


class CrashingRequestsSlice(Slice):
    """Suspected and rejected requests by their digest.

    They are replicated, so that neither a new leader nor an entry that has
    just started sends a rejected request to targets again.
    """

    name = "crashing_requests"
    fan_out = True
    commands = (SuspectRequest, RejectRequest)

    def __init__(self) -> None:
        self.suspected_by_request: RequestsByDigest = OrderedDict()
        self.rejected_by_request: RequestsByDigest = OrderedDict()
        self.changes = 0
        """Number of changes so far, by which readers notice a new one."""

    def rejected_runs(self) -> frozenset[TargetRun]:
        """Return the runs of targets that rejected requests have crashed."""
        return frozenset(
            run
            for rejected in self.rejected_by_request.values()
            for run in rejected.runs
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case SuspectRequest(request=request, runs=runs):
                _put(
                    self.suspected_by_request,
                    CrashingRequest(request, runs, context.time),
                )
            case RejectRequest(request=request, runs=runs):
                self.suspected_by_request.pop(request, None)
                _put(
                    self.rejected_by_request,
                    CrashingRequest(request, runs, context.time),
                )
            case _:
                raise TypeError(f"unexpected command {command!r}")
        self.changes += 1
        return Accepted()

    def to_snapshot(self) -> CrashingRequestsSnapshot:
        """Return the suspected and the rejected requests."""
        return CrashingRequestsSnapshot(
            tuple(self.suspected_by_request.values()),
            tuple(self.rejected_by_request.values()),
        )

    def load_snapshot(self, snapshot: CrashingRequestsSnapshot) -> None:
        """Replace all requests by those of a snapshot."""
        self.suspected_by_request = OrderedDict(
            (suspected.request, suspected) for suspected in snapshot.suspected
        )
        self.rejected_by_request = OrderedDict(
            (rejected.request, rejected) for rejected in snapshot.rejected
        )
        self.changes += 1


def _put(requests: RequestsByDigest, crashing: CrashingRequest) -> None:
    requests.pop(crashing.request, None)
    requests[crashing.request] = crashing
    if len(requests) > MAX_REQUESTS:
        requests.popitem(last=False)
