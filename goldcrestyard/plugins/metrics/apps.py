"""Plug-in that serves this instance's metrics to Prometheus."""

from functools import partial

from aiohttp import web
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.plugins.listeners.routes import AdminRoutes, PublicRoutes
from goldcrestyard.plugins.metrics.metrics import Metrics
from goldcrestyard.plugins.metrics.observers import (
    observe_application,
    observe_requests,
)


class MetricsConfig(PluginConfig):
    """Serves ``/metrics`` on the admin listener."""

    name = "metrics"
    requires = ("control", "entry", "listeners", "scheduling", "targets")

    def ready(self, app: Application) -> None:
        """Create the metrics of this application and add the route."""
        registry = CollectorRegistry()
        ProcessCollector(registry=registry)
        metrics = app.provide(Metrics, Metrics(registry))
        observe_application(metrics, app)
        for routes in (app.get(PublicRoutes), app.get(AdminRoutes)):
            routes.observers.append(partial(observe_requests, metrics))

        async def scrape(_: web.Request) -> web.StreamResponse:
            return web.Response(
                body=generate_latest(registry),
                headers={"content-type": CONTENT_TYPE_LATEST},
            )

        app.get(AdminRoutes).add("GET", "/metrics", scrape)
