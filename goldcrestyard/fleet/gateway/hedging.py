"""Budgets and latencies by which the calls of this process are hedged."""

from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.gateway.settings import DEFAULT_HEDGE_SHARE, HedgingSettings
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.hedging import (
    HEDGE_QUANTILE,
    HedgeBudget,
    HedgePace,
    HedgeWithheld,
    LatencyHistogram,
    hedge_pace,
)

MAX_ROUTES = 1024
"""Maximum number of routes whose latencies are kept, each with 4 KB.  Beyond
it the route that came first is forgotten, and begins anew."""


class RouteHedging:
    """Budget and latencies of one route."""

    def __init__(
        self, share: float, clock: Clock, metrics: FleetMetrics | None
    ) -> None:
        self._budget = HedgeBudget(share)
        self._latencies = LatencyHistogram()
        self._clock = clock
        self._metrics = metrics

    def note_request(self) -> None:
        """Count a request, which adds to the budget."""
        self._budget.note_request()

    def note_latency(self, seconds: float) -> None:
        """Record the time of an answer, or that of a loser until its end."""
        self._latencies.record(seconds, self._clock.monotonic())

    def pace(self, objective_seconds: float | None) -> HedgePace:
        """Return the present delays of second attempts."""
        quantile = self._latencies.quantile(HEDGE_QUANTILE, self._clock.monotonic())
        return hedge_pace(objective_seconds, quantile)

    def take(self) -> bool:
        """Return whether the budget allows a hedge, and take it."""
        withheld = self._budget.take()
        if withheld is not None:
            self.note_withheld(withheld)
        elif self._metrics is not None:
            self._metrics.hedges.labels("sent").inc()
        return withheld is None

    def note_withheld(self, reason: HedgeWithheld) -> None:
        """Count a hedge that was due and has not been sent."""
        if self._metrics is not None:
            self._metrics.hedges_withheld.labels(reason.value).inc()

    def note_won(self) -> None:
        """Count a hedge whose answer came first."""
        if self._metrics is not None:
            self._metrics.hedges.labels("won").inc()


class CallHedging:
    """The budget and the latencies of each route."""

    def __init__(
        self,
        clock: Clock,
        share: float = DEFAULT_HEDGE_SHARE,
        metrics: FleetMetrics | None = None,
    ) -> None:
        self._clock = clock
        self._share = share
        self._metrics = metrics
        self._by_route: dict[tuple[str, str], RouteHedging] = {}

    def of_route(self, route: ServingRoute) -> RouteHedging:
        """Return the budget and the latencies of a route."""
        key = (route.host, route.prefix)
        hedging = self._by_route.get(key)
        if hedging is None:
            if len(self._by_route) >= MAX_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            hedging = self._by_route[key] = RouteHedging(
                self._share, self._clock, self._metrics
            )
        return hedging


def call_hedging(app: Application) -> CallHedging:
    """Return the hedging of calls as the settings say."""
    settings = app.settings.find(HedgingSettings) or HedgingSettings()
    return CallHedging(app.clock, settings.share, app.get(FleetMetrics))
