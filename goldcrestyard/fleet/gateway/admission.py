"""Admission of callers' requests: route, API key and deadline."""

from dataclasses import dataclass

from goldcrestyard.core.calls import Headers, TargetCall
from goldcrestyard.core.ids import (
    EventNumber,
    OrganisationId,
    Region,
    RequestId,
    ServiceName,
)
from goldcrestyard.core.keys import hash_secret
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.membership.view import EntryView
from goldcrestyard.policy.return_times import return_seconds
from goldcrestyard.policy.stream_origins import TakeUp

RETRY_AFTER_SECONDS = 0.3
"""Value of the Retry-After header of refused requests.  Targets report free
slots, and new targets register, within this time, and a caller still has time
for a second attempt."""


NO_TARGET_AT_HOME = Refusal(
    RefusalReason.RESIDENCY,
    "no target of the service is in the home regions",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)

MAX_START_WAIT_SECONDS = 1.0
MAX_START_WAIT_SHARE = 0.6
"""Longest wait of a request, in seconds and as a share of its time limit,
until a process that has just started holds the state and a lease.  After a
loss of all processes the members elect a leader within a second; callers that
are refused at once would have used up their retries by then, since no entry
holds the state.
"""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request with its whole body."""

    id: RequestId
    method: str
    host: str
    path: str
    path_and_query: str
    headers: Headers
    body: bytes
    key: str | None
    """API key, None if the request has none."""
    seconds_left: float | None
    """Time limit stated by the caller, None if it states none."""
    takes_up: TakeUp | None = None
    """The stream that the caller takes up; None if this is a new request."""

    @property
    def first_attempt(self) -> RequestId:
        """The attempt by whose id a stream of this request is recorded."""
        if self.takes_up is None:
            return self.id
        return self.takes_up.first or RequestId("")


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request with its route, its organisation and its deadline."""

    request: CallerRequest
    route: ServingRoute
    organisation: OrganisationId | None
    """Owner of the request's key, None if no key was required."""
    stream_owner: OrganisationId | None
    """Organisation by which the caller's streams are known; while no keys are
    configured, the last holder of the key, if there was one."""
    deadline: float
    """Monotonic time in seconds."""
    urgency: int | None = None
    """Urgency that targets are told; None to tell none."""
    priority: int = 0
    """Urgency; 0 is the highest."""

    def waited_share(self, now: float) -> float:
        """Return the share of the route's time that the caller has used.

        A caller that comes again names the time that it has left.
        """
        return 1 - (self.deadline - now) / self.route.timeout_seconds

    def to_call(self, resume_after: EventNumber | None = None) -> TargetCall:
        """Return the request to a target, resuming a stream after an event."""
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
            self.urgency,
        )


class Admission:
    """Finds the route of each request and checks its key."""

    def __init__(self, view: EntryView, clock: Clock) -> None:
        self._view = view
        self._serving = view.machine.get(ServingSlice)
        self._clock = clock

    async def wait_until_synchronized(self, seconds_left: float | None) -> None:
        """Wait until a newly started process holds the state and a lease.

        An entry that loses its lease later refuses requests at once, since it
        may have lost its connection to the leader, and other entries can serve
        the callers.
        """
        if self._view.synchronized.is_set():
            return
        max_wait_seconds = MAX_START_WAIT_SECONDS
        if seconds_left is not None:
            max_wait_seconds = min(
                max_wait_seconds, MAX_START_WAIT_SHARE * seconds_left
            )
        await wait_at_most(max_wait_seconds, self._view.synchronized.wait())

    def admit(
        self, request: CallerRequest, arrived_at: float
    ) -> AdmittedRequest | Refusal:
        """Find the route of a request and check its key.

        ``arrived_at`` is the monotonic time from which the deadline counts.
        """
        route = self.find_route(request.host, request.path)
        if isinstance(route, Refusal):
            return route
        organisation: OrganisationId | None = None
        if not route.open and self._keys_required():
            holder = self.authenticate(request.key)
            if isinstance(holder, Refusal):
                return holder
            organisation = holder
        seconds = route.timeout_seconds
        if request.seconds_left is not None:
            seconds = min(seconds, request.seconds_left)
        return AdmittedRequest(
            request,
            route,
            organisation,
            organisation or self._last_holder(request, route),
            arrived_at + seconds,
            self._sent_urgency(route, organisation),
            self._priority(route, organisation),
        )

    def _last_holder(
        self, request: CallerRequest, route: ServingRoute
    ) -> OrganisationId | None:
        if route.open or request.key is None:
            return None
        return self._serving.key_holder(hash_secret(request.key))

    def _sent_urgency(
        self, route: ServingRoute, organisation: OrganisationId | None
    ) -> int | None:
        table = self._serving.table
        return None if table is None else table.sent_urgency(route, organisation)

    def _priority(
        self, route: ServingRoute, organisation: OrganisationId | None
    ) -> int:
        table = self._serving.table
        return route.priority if table is None else table.urgency(route, organisation)

    def find_route(self, host: str, path: str) -> ServingRoute | Refusal:
        """Return the route of a path, or a refusal if there is none."""
        table = self._serving.table
        if table is None:
            return Refusal(
                RefusalReason.NO_LEADER,
                "no configuration is known yet",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        route = table.route(host, path)
        if route is None:
            return Refusal(RefusalReason.NOT_FOUND, f"no route for {host}{path}")
        return route

    def authenticate(self, key: str | None) -> OrganisationId | Refusal | None:
        """Return a key's organisation, or None if no keys are configured."""
        table = self._serving.table
        if table is None or not self._view.holds_lease():
            return Refusal(
                RefusalReason.ENTRY_LEASE,
                "keys cannot be checked without the leader",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        if not table.needs_keys:
            return None
        organisation = table.organisation(key) if key is not None else None
        if organisation is None:
            return Refusal(RefusalReason.INVALID_KEY, "missing or unknown API key")
        return organisation.id

    def identify(self, key: str | None) -> OrganisationId | Refusal | None:
        """Return a key's organisation, or a refusal, as ``authenticate`` does.

        While no keys are configured, it is the last holder of the key; None if
        that is not known.
        """
        organisation = self.authenticate(key)
        if organisation is None and key is not None:
            return self._serving.key_holder(hash_secret(key))
        return organisation

    def is_still_authorised(self, admitted: AdmittedRequest) -> bool:
        """Return whether the request's key is still valid, or not needed."""
        if admitted.organisation is None:
            return True
        holder = self.authenticate(admitted.request.key)
        return holder is None or holder == admitted.organisation

    def allowed_regions(self, admitted: AdmittedRequest) -> frozenset[Region] | None:
        """Return where a request may be served now; None if everywhere.

        A key on a route that needs none is not checked, but the homes of its
        organisation count nevertheless.
        """
        table = self._serving.table
        if table is None or not table.has_homes:
            return None
        request = admitted.request
        organisation = admitted.organisation
        if organisation is None and request.key is not None:
            holder = table.organisation(request.key)
            organisation = holder.id if holder is not None else None
        # The route may have got other homes since the request was admitted.
        route = table.route(request.host, request.path) or admitted.route
        return table.allowed_regions(route, organisation)

    def _keys_required(self) -> bool:
        table = self._serving.table
        return table is not None and table.needs_keys


def return_after(
    router: CallRouter,
    admitted: AdmittedRequest,
    service: ServiceName,
    now: float,
    regions: frozenset[Region] | None = None,
) -> float:
    """Return the seconds after which a caller may return that no target took.

    ``now`` is a monotonic time in seconds.  ``regions`` are those in which
    the request may be served; None if it may be served everywhere.
    """
    full_seconds = router.full_seconds(service, regions)
    if full_seconds is None:
        return RETRY_AFTER_SECONDS
    return return_seconds(full_seconds, admitted.priority, admitted.waited_share(now))
