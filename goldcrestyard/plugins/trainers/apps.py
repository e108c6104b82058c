"""Plug-in: steps, samples and batches of the trainers."""

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.bodies.serving import BodyServer
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.trainers.commands import (
    Batch,
    BatchReady,
    Step,
    StepFloor,
    StepKey,
    StepOpen,
    StepsSnapshot,
    VersionsBarred,
)
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.generation import Tools
from goldcrestyard.plugins.trainers.references import referenced_bodies
from goldcrestyard.plugins.trainers.settings import TrainerSettings
from goldcrestyard.plugins.trainers.slices import StepsSlice
from goldcrestyard.plugins.trainers.steps import Steps
from goldcrestyard.plugins.trainers.views import TrainerViews
from goldcrestyard.plugins.weights.slices import WeightsSlice


class TrainersConfig(PluginConfig):
    """Serves ``/trainer/v1``."""

    name = "trainers"
    requires = (
        "bodies",
        "control",
        "engines",
        "entry",
        "listeners",
        "organisations",
        "weights",
    )
    settings_section = "trainers"
    settings_class = TrainerSettings
    slices = (StepsSlice,)
    messages = (
        *StepsSlice.commands,
        StepKey,
        Step,
        Batch,
        StepOpen,
        BatchReady,
        VersionsBarred,
        StepFloor,
        StepsSnapshot,
    )

    async def start(self, app: Application) -> None:
        """Create the steps and add the routes."""
        settings = app.settings.section(TrainerSettings)
        weights = app.get(EntryView).machine.get(WeightsSlice)
        bodies = app.get(BodyClient)
        authenticator = app.get(Authenticator)
        committer = Committer(app.get(LeaderLink), app.clock)
        tools = Tools(
            app.get(Dispatcher),
            bodies,
            committer,
            weights,
            app.clock,
            settings.concurrent_samples,
        )
        steps = app.provide(Steps, Steps(tools, authenticator, settings.step_seconds))
        views = TrainerViews(
            authenticator, steps, committer, bodies, weights, settings.max_wait_seconds
        )
        routes = app.get(PublicRoutes)
        routes.add("POST", "/trainer/v1/steps/{step}/samples", views.samples)
        routes.add("POST", "/trainer/v1/batches/{batch}/ack", views.acknowledge)
        routes.add("POST", "/trainer/v1/weights", views.publish)
        member, server = app.find(ControlMember), app.find(BodyServer)
        if member is not None and server is not None:
            replicated_steps = member.machine.get(StepsSlice)
            server.keep(lambda: referenced_bodies(replicated_steps, bodies))

    async def drain(self, app: Application) -> None:
        """Wait for the steps that are being generated."""
        await app.get(Steps).drain()

    async def stop(self, app: Application) -> None:
        """Cancel the steps that are being generated."""
        await app.get(Steps).stop()
