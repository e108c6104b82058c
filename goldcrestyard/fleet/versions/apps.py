"""Plug-in that replicates weight versions and loads them onto engines."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.duties import DutySettings
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.commands import NameVersion, VersionsSnapshot
from goldcrestyard.fleet.versions.loading import LoadingModels, VersionLoader
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.fleet.versions.slices import VersionsSlice
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig


class VersionsConfig(PluginConfig):
    """Replicates the newest versions; the leader loads them onto engines."""

    name = "versions"
    requires = ("evacuations",)
    after = ("assembly", "tracking")
    slices = (VersionsSlice,)
    messages = (NameVersion, VersionsSnapshot)

    def ready(self, app: Application) -> None:
        """Provide what the version loader and the job runner share."""
        app.provide(LoadingModels, LoadingModels())
        app.provide(JobWork, JobWork())

    async def serve(self, app: Application) -> None:
        """Start the task that loads versions whenever this member leads."""
        member = app.find(ControlMember)
        if member is None:
            return
        loader = VersionLoader(
            member,
            app.get(TargetTracker),
            app.get(EngineControl),  # type: ignore[type-abstract]
            app.get(LoadingModels),
            app.get(JobWork),
            app.settings.section(DutySettings).quiet_seconds,
            app.clock,
            app.get(TargetExclusions).includes,
        )
        app.supervise(
            partial(while_leading, member, "load versions", loader.run),
            "load versions",
        )
