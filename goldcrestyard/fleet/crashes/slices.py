"""Replicated state: the requests that are rejected on every entry."""

from collections import OrderedDict

from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.fleet.crashes.commands import (
    RejectedRequest,
    RejectedRequestsSnapshot,
    RejectRequest,
)
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice

MAX_REJECTED_REQUESTS = 512
"""Maximum number of rejected requests; beyond it the one that was rejected
first is served again.  Each has cost several targets, so they are few."""


class RejectedRequestsSlice(Slice):
    """Rejected requests by their digest.

    They are replicated, so that neither a new leader nor an entry that has
    just started sends them to targets again.
    """

    name = "rejected_requests"
    fan_out = True
    commands = (RejectRequest,)

    def __init__(self) -> None:
        self.rejected_by_request: OrderedDict[RequestDigest, RejectedRequest] = (
            OrderedDict()
        )
        self.changes = 0
        """Number of changes so far, by which readers notice a new one."""

    def runs(self) -> frozenset[TargetRun]:
        """Return the runs of targets that rejected requests have crashed."""
        return frozenset(
            run
            for rejected in self.rejected_by_request.values()
            for run in rejected.runs
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case RejectRequest(request=request, runs=runs):
                self.rejected_by_request.pop(request, None)
                self._put(RejectedRequest(request, runs, context.time))
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> RejectedRequestsSnapshot:
        """Return the rejected requests."""
        return RejectedRequestsSnapshot(tuple(self.rejected_by_request.values()))

    def load_snapshot(self, snapshot: RejectedRequestsSnapshot) -> None:
        """Replace the rejected requests by those of a snapshot."""
        self.rejected_by_request.clear()
        self.changes += 1
        for rejected in snapshot.rejected:
            self._put(rejected)

    def _put(self, rejected: RejectedRequest) -> None:
        self.rejected_by_request[rejected.request] = rejected
        if len(self.rejected_by_request) > MAX_REJECTED_REQUESTS:
            self.rejected_by_request.popitem(last=False)
        self.changes += 1
