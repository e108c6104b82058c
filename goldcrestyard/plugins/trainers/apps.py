"""Plug-in that serves trainers: steps, samples, batches and new weights."""

import asyncio

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.bodies.serving import BodyServer
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.targets.slices import TargetsSlice
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
from goldcrestyard.plugins.trainers.dependencies import GenerationDependencies
from goldcrestyard.plugins.trainers.parts import PART_MESSAGES, PartServer
from goldcrestyard.plugins.trainers.references import referenced_bodies
from goldcrestyard.plugins.trainers.settings import TrainerSettings
from goldcrestyard.plugins.trainers.slices import StepsSlice
from goldcrestyard.plugins.trainers.steps import JOIN_MESSAGES, Steps
from goldcrestyard.plugins.trainers.views import TrainerViews
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.wire.client import PeerDialer
from goldcrestyard.wire.connection import Handlers


class TrainersConfig(PluginConfig):
    """Provides the trainers' interface under ``/trainer/v1``."""

    name = "trainers"
    requires = (
        "addresses",
        "bodies",
        "control",
        "engines",
        "entry",
        "listeners",
        "organisations",
        "peers",
        "targets",
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
        *PART_MESSAGES,
        *JOIN_MESSAGES,
    )

    async def start(self, app: Application) -> None:
        """Create the services of this plug-in and add its routes and handlers.

        Control members also keep the bodies that open batches refer to.
        """
        settings = app.settings.section(TrainerSettings)
        weights = app.get(EntryView).machine.get(WeightsSlice)
        bodies = app.get(BodyClient)
        authenticator = app.get(Authenticator)
        committer = Committer(app.get(LeaderLink), app.clock)
        dependencies = GenerationDependencies(
            app.settings.section(InstanceSettings).id,
            app.get(Dispatcher),
            bodies,
            committer,
            weights,
            app.get(EntryView).machine.get(EntriesSlice),
            app.get(EntryView).machine.get(TargetsSlice),
            app.get(PeerDialer),
            app.clock,
            settings.concurrent_samples,
            settings.step_seconds,
        )
        parts = app.provide(PartServer, PartServer(dependencies))
        parts.register(app.get(Handlers))
        steps = app.provide(Steps, Steps(dependencies, authenticator))
        steps.register(app.get(Handlers))
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
        """Wait for the running generations and the parts of other entries."""
        await asyncio.gather(app.get(Steps).drain(), app.get(PartServer).drain())

    async def stop(self, app: Application) -> None:
        """Cancel the running generations."""
        await app.get(Steps).stop()
