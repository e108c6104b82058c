"""Whether a caller's request may go to a target, and on whose behalf."""

from dataclasses import dataclass

from goldcrestyard.core.calls import Headers, TargetCall
from goldcrestyard.core.ids import EventNumber, OrganisationId, RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.membership.view import EntryView

RETRY_SECONDS = 0.3
"""When a refused caller may come back: targets report free slots and new
targets within this time, and it leaves room for a second attempt."""


START_SECONDS = 1.0
START_SHARE = 0.6
"""Longest wait of a request, in seconds and as a share of its time, at a
process that has just started.  After a loss of all processes the members
elect a leader within a second; a caller that is refused at once has spent its
retries by then, at entries that know nothing either."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, read whole."""

    id: RequestId
    method: str
    host: str
    path: str
    path_and_query: str
    headers: Headers
    body: bytes
    key: str | None
    seconds_left: float | None
    """How long the caller says it will wait."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request with its route, its organisation and its deadline."""

    request: CallerRequest
    route: ServingRoute
    organisation: OrganisationId | None
    deadline: float
    """On the monotonic clock."""

    def to_call(self, resume_after: EventNumber | None = None) -> TargetCall:
        """Return the request as it goes to a target."""
        return TargetCall(
            self.request.id,
            self.request.method,
            self.request.host,
            self.request.path_and_query,
            self.request.headers,
            self.request.body,
            self.organisation,
            resume_after,
            self.route.repeatable,
        )


class Admission:
    """Finds the route of each request and checks its key."""

    def __init__(self, view: EntryView, clock: Clock) -> None:
        self._view = view
        self._serving = view.machine.get(ServingSlice)
        self._clock = clock

    async def wait_start(self, seconds_left: float | None) -> None:
        """Wait for the state and the lease that a started process lacks.

        An entry that loses its lease later refuses at once: it may be cut
        off, and callers then fare better elsewhere.
        """
        if self._view.informed.is_set():
            return
        longest = START_SECONDS
        if seconds_left is not None:
            longest = min(longest, START_SHARE * seconds_left)
        await wait_at_most(longest, self._view.informed.wait())

    def admit(self, request: CallerRequest, arrived_at: float) -> Admitted | Refusal:
        """Return the request with what decides about it, or a refusal."""
        route = self.find_route(request.host, request.path)
        if isinstance(route, Refusal):
            return route
        organisation: OrganisationId | None = None
        if not route.open and self._needs_keys():
            holder = self.authenticate(request.key)
            if isinstance(holder, Refusal):
                return holder
            organisation = holder
        seconds = route.timeout_seconds
        if request.seconds_left is not None:
            seconds = min(seconds, request.seconds_left)
        return Admitted(request, route, organisation, arrived_at + seconds)

    def find_route(self, host: str, path: str) -> ServingRoute | Refusal:
        """Return the route of a path, or why there is none."""
        table = self._serving.table
        if table is None:
            return Refusal(
                RefusalReason.NO_LEADER,
                "no configuration is known yet",
                retry_after_seconds=RETRY_SECONDS,
            )
        route = table.route(host, path)
        if route is None:
            return Refusal(RefusalReason.NOT_FOUND, f"no route for {host}{path}")
        return route

    def authenticate(self, key: str | None) -> OrganisationId | Refusal | None:
        """Return whose key it is; None where no keys are needed."""
        table = self._serving.table
        if table is None or not self._view.holds_lease():
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "keys cannot be checked without the leader",
                retry_after_seconds=RETRY_SECONDS,
            )
        if not table.needs_keys:
            return None
        holder = table.organisation(key) if key is not None else None
        if holder is None:
            return Refusal(RefusalReason.INVALID_KEY, "the key is not known")
        return holder.id

    def may_still_run(self, admitted: Admitted) -> bool:
        """Return whether the key still stands, at the moment of sending."""
        if admitted.organisation is None:
            return True
        return self.authenticate(admitted.request.key) == admitted.organisation

    def _needs_keys(self) -> bool:
        table = self._serving.table
        return table is not None and table.needs_keys
