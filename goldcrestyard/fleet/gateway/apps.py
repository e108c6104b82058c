"""Plug-in of entries: routes callers' requests to targets."""

from goldcrestyard.core.calls import TargetClient
from goldcrestyard.fleet.crashes.guard import RequestGuard
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.gateway.admission import Admission
from goldcrestyard.fleet.gateway.calls import CallRunner
from goldcrestyard.fleet.gateway.hedging import call_hedging
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.gateway.streams import StreamRunner
from goldcrestyard.fleet.limits.permits import TargetPermits
from goldcrestyard.fleet.metering.meter import UsageMeter
from goldcrestyard.fleet.resumption.entry_side import StreamOrigins
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.fleet.versions.recorded_runs import RecordedRuns
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation


class GatewayConfig(PluginConfig):
    """Provides admission, routing and the runners that front ends use."""

    name = "gateway"
    requires = (
        "crashing_requests",
        "entry",
        "evacuations",
        "metering",
        "observability",
        "request_limits",
        "serving",
        "stream_resumption",
        "target_client",
        "tracking",
    )

    def ready(self, app: Application) -> None:
        """Provide the admission, router, call runner and stream runner."""
        view = app.get(EntryView)
        instance = app.settings.section(InstanceSettings)
        admission = app.provide(Admission, Admission(view, app.clock))
        router = app.provide(
            CallRouter,
            CallRouter(
                view.machine.get(TargetsSlice),
                CallerLocation(instance.data_centre, instance.region),
                app.clock,
                is_limited=app.get(TargetPermits).is_limited,
                is_excluded=app.get(TargetExclusions).includes,
            ),
        )
        client = app.get(TargetClient)  # type: ignore[type-abstract]
        meter = app.get(UsageMeter)
        guard = app.get(RequestGuard)
        app.provide(
            CallRunner,
            CallRunner(
                admission,
                router,
                client,
                guard,
                meter,
                app.clock,
                hedging=call_hedging(app),
            ),
        )
        app.provide(
            StreamRunner,
            StreamRunner(
                admission,
                router,
                client,
                guard,
                meter,
                app.clock,
                origins=app.get(StreamOrigins),
                recorded_runs=RecordedRuns(
                    view.machine.get(TargetsSlice),
                    app.get(EngineControl),  # type: ignore[type-abstract]
                ),
            ),
        )
