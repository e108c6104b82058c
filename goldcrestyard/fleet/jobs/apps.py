"""Plug-in that stores, runs and serves the batch jobs of trainers."""

from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.calls import TargetClient
from goldcrestyard.core.jobs import EndedItem, ItemResult, Job, JobItem, Progress
from goldcrestyard.fleet.evacuations.exclusions import TargetExclusions
from goldcrestyard.fleet.gateway.hedging import call_hedging
from goldcrestyard.fleet.gateway.router import CallRouter
from goldcrestyard.fleet.jobs.admission import JobAdmission
from goldcrestyard.fleet.jobs.commands import (
    ItemBody,
    JobHeld,
    JobRecord,
    JobsSnapshot,
    NoSuchJob,
    ReadItem,
    ReadResults,
    ResultsPage,
    StagedJobRecord,
)
from goldcrestyard.fleet.jobs.reading import JobReader
from goldcrestyard.fleet.jobs.rewards import RewardClient
from goldcrestyard.fleet.jobs.runner import JobRunner
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.fleet.limits.permits import TargetPermits
from goldcrestyard.fleet.observability.metrics import FleetMetrics
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.loading import LoadingModels
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.fleet.versions.work import JobWork
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings, process_bytes
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.call_routing import CallerLocation
from goldcrestyard.policy.memory import control_shares
from goldcrestyard.wire.connection import Handlers


class JobsConfig(PluginConfig):
    """Replicates jobs on control members; the leader runs and serves them."""

    name = "jobs"
    after = ("assembly", "tracking", "versions")
    requires = ("evacuations", "observability", "request_limits", "serving")
    slices = (JobsSlice,)
    messages = (
        *JobsSlice.commands,
        Job,
        JobItem,
        ItemResult,
        EndedItem,
        Progress,
        JobRecord,
        JobsSnapshot,
        StagedJobRecord,
        JobHeld,
        ReadResults,
        ResultsPage,
        ReadItem,
        ItemBody,
        NoSuchJob,
    )

    def ready(self, app: Application) -> None:
        """Register the handlers for messages of entries that read jobs."""
        member = app.find(ControlMember)
        if member is None:
            return
        JobReader(member, app.clock).register(app.get(Handlers))
        jobs = member.machine.get(JobsSlice)
        app.get(FleetMetrics).jobs_bytes.set_function(
            lambda: jobs.held_bytes(app.clock.wall())
        )
        admission = JobAdmission(
            jobs,
            control_shares(process_bytes(app.settings)),
            lambda: member.term,
            app.clock,
        )
        member.add_proposal_check(admission.check)
        member.machine.listen(admission.on_applied)

    async def serve(self, app: Application) -> None:
        """Start the task that runs items whenever this member leads."""
        member = app.find(ControlMember)
        if member is None:
            return
        instance = app.settings.section(InstanceSettings)
        location = CallerLocation(instance.data_centre, instance.region)
        client = app.get(TargetClient)  # type: ignore[type-abstract]
        permits = app.get(TargetPermits)
        exclusions = app.get(TargetExclusions)
        router = CallRouter(
            member.machine.get(TargetsSlice),
            location,
            app.clock,
            is_limited=permits.is_limited,
            is_excluded=exclusions.includes,
        )
        rewards = RewardClient(
            member.machine.get(ServingSlice),
            router,
            client,
            app.clock,
            hedging=call_hedging(app),
        )
        runner = JobRunner(
            member,
            app.get(TargetTracker),
            app.get(LoadingModels),
            app.get(JobWork),
            client,
            rewards,
            location,
            app.get(FleetMetrics),
            app.clock,
            permitted_runs=permits.available,
            is_excluded=exclusions.includes,
            shares=control_shares(process_bytes(app.settings)),
            control=app.get(EngineControl),  # type: ignore[type-abstract]
        )
        app.supervise(
            partial(while_leading, member, "run jobs", runner.run), "run jobs"
        )
