"""A serving configuration with a route of each kind, for an entry's view."""

from prometheus_client import CollectorRegistry

from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.ids import (
    ConfigVersion,
    ItemId,
    ModelName,
    OrganisationId,
    RequestId,
    RouteName,
    ServiceName,
)
from goldcrestyard.core.serving import (
    EngineShape,
    RouteKind,
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
    WeightedService,
)
from goldcrestyard.fleet.crashes.guard import RequestGuard
from goldcrestyard.fleet.crashes.slices import CrashingRequestsSlice
from goldcrestyard.fleet.crashes.suspects import Suspects
from goldcrestyard.fleet.gateway.admission import CallerRequest
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from tests.fakes.announcements import announce
from tests.fakes.state import apply
from tests.fakes.targets import target

HOST = "h.example"
MODEL = ModelName("m")


def route(
    kind: RouteKind, prefix: str, service: str = "quotes", **rest: object
) -> ServingRoute:
    """Return a route that allows three attempts within two seconds."""
    return ServingRoute(
        RouteName(prefix.strip("/")),
        HOST,
        prefix,
        kind,
        (WeightedService(ServiceName(service), 1.0),),
        2.0,
        3,
        objective_seconds=0.25,
        **rest,  # type: ignore[arg-type]
    )


CONFIG = ServingConfig(
    ConfigVersion(1),
    (
        route(RouteKind.IDEMPOTENT, "/again/"),
        route(RouteKind.NON_IDEMPOTENT, "/once/"),
        route(RouteKind.STREAMING, "/stream/"),
        route(RouteKind.STREAMING, "/resumed/", resumable=True),
        route(RouteKind.IDEMPOTENT, "/open/", open=True),
        route(RouteKind.ROLLOUT, "/jobs/", "engines", item_seconds=60.0),
        route(
            RouteKind.ROLLOUT,
            "/single/",
            "engines",
            item_seconds=60.0,
            single_version=True,
        ),
        route(RouteKind.IDEMPOTENT, "/score/", open=True),
    ),
    (
        ServedService(ServiceName("quotes")),
        ServedService(ServiceName("engines"), EngineShape(8, (MODEL,))),
    ),
    organisations=(ServedOrganisation(OrganisationId("tejo"), ("key",)),),
)


def entry_view(clock: Clock, targets: tuple[str, ...]) -> EntryView:
    """Return an entry's view, with a lease, of ``CONFIG`` and the targets."""
    machine = StateMachine([ServingSlice(), TargetsSlice(), CrashingRequestsSlice()])
    apply(machine, PutServing(CONFIG, b""))
    for name in targets:
        announce(machine.get(TargetsSlice), target(name))
    view = EntryView(machine, Codec(), clock)
    view.grant(clock.monotonic(), 1000.0)
    return view


def request_guard(
    view: EntryView,
    client: TargetClient,
    clock: Clock,
    suspects: Suspects | None = None,
) -> RequestGuard:
    """Return an entry's guard, whose crashes nobody else learns of."""
    machine = view.machine
    if suspects is None:
        metrics = FleetMetrics(CollectorRegistry())
        suspects = Suspects(machine.get(CrashingRequestsSlice), metrics, clock)
    return RequestGuard(
        suspects, machine.get(TargetsSlice), client, clock, lambda: None
    )


def request(prefix: str, key: str | None = "key") -> CallerRequest:
    """Return a caller's request under a route's prefix."""
    path = f"{prefix}x"
    return CallerRequest(
        RequestId("request"), "POST", HOST, path, path, (), b"body", key, None
    )


def item_id(number: int) -> ItemId:
    """Return the id of an item of a job."""
    return ItemId(f"item-{number}")
