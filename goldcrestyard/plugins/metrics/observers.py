"""Functions that update the metrics from the objects of other plug-ins."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.states import TargetState
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.kernel.connection_places import ConnectionPlaces
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.middleware import ServedRequest
from goldcrestyard.plugins.metrics.metrics import Metrics
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.targets.slices import TargetsSlice

_KINDS_BY_PREFIX = {
    "addresses": "addresses",
    "operator": "operator",
    "services": "service",
    "targets": "target",
    "trainer": "trainer",
    "v1": "inference",
}


def route_kind(route: str) -> str:
    """Return the label value for a route, such as ``/v1/completions``."""
    return _KINDS_BY_PREFIX.get(route.strip("/").partition("/")[0], "other")


def observe_requests(metrics: Metrics, served: ServedRequest) -> None:
    """Count a completed request and record its duration."""
    kind = route_kind(served.route)
    metrics.requests.labels(kind, str(served.status), served.verdict).inc()
    metrics.duration.labels(kind).observe(served.seconds)


def observe_application(metrics: Metrics, app: Application) -> None:
    """Connect the metrics to the application's objects.

    Gauges are read at each scrape; counters are updated by callbacks.
    """
    view = app.get(EntryView)
    metrics.entry_lease.set_function(view.lease_remaining)
    metrics.revision.set_function(lambda: view.revision)
    places = app.get(ConnectionPlaces)
    metrics.connections.set_function(lambda: places.open)
    places.observers.append(
        lambda reason: metrics.refused_connections.labels(reason.value).inc()
    )
    room = app.get(ByteRoom)
    metrics.bodies_bytes.set_function(lambda: room.held)
    room.observers.append(metrics.slow_bodies.inc)
    scheduler = app.get(Scheduler)
    metrics.in_flight.set_function(lambda: scheduler.in_flight)
    scheduler.observe_retries(metrics.retries.inc)
    app.get(LeaderLink).observe_proposals(
        lambda result: metrics.proposals.labels(type(result).__name__).inc()
    )
    targets = view.machine.get(TargetsSlice)
    for state in (TargetState.READY, TargetState.DRAINING):
        metrics.targets.labels(state.value).set_function(
            partial(count_targets, targets, state)
        )
    member = app.find(ControlMember)
    if member is not None:
        observe_member(metrics, member, app)


def count_targets(targets: TargetsSlice, state: TargetState) -> int:
    """Return the number of targets in a state."""
    return sum(homed.target.state is state for homed in targets.homed_by_id.values())


def observe_member(metrics: Metrics, member: ControlMember, app: Application) -> None:
    """Connect the gauges of a control member, read at each scrape."""
    sessions = app.get(EntrySessions)
    feed = app.get(ChangeFeed)

    def change_lag() -> float:
        if not member.holds_lease():
            return 0.0
        now = app.clock.monotonic()
        lags = (
            feed.lag_seconds(lease.applied)
            for lease in sessions.leases_by_entry.values()
            if now < lease.expires_at
        )
        return max(lags, default=0.0)

    metrics.log_index.set_function(lambda: member.machine.applied_index)
    metrics.leader.set_function(lambda: member.is_leader)
    metrics.disk_failing.set_function(lambda: member.is_suspended)
    metrics.disk_outages.set_function(lambda: member.disk_outages.count)
    metrics.disk_outage_seconds.set_function(lambda: member.disk_outages.seconds)
    metrics.term.set_function(lambda: member.term)
    metrics.change_lag.set_function(change_lag)
