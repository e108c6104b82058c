"""Plug-in that provides the scheduler and shares its statistics.

Entries exchange target loads and token use through the leader, as digests on
their lease renewals.
"""

from collections.abc import Iterator
from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.core.ids import InstanceId, Region, TargetId
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.scheduling.load_digests import (
    TargetLoadChannel,
    TargetLoadDigest,
    TargetLoadMerger,
    TargetLoadSummary,
)
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.scheduling.use_digests import (
    TokenUseChannel,
    TokenUseDigest,
    TokenUseMerger,
)
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.wire.codec import Codec

TOKENS_PER_QUEUED_REQUEST = 256
"""Estimate, since targets report the length of their queue in requests."""


def load_reports(home: TargetHome) -> Iterator[tuple[TargetId, LoadReport]]:
    """Yield a load report for each target that renews its lease here."""
    for target_id, load in home.loads_by_id().items():
        waiting = load.running_tokens + load.queue_length * TOKENS_PER_QUEUED_REQUEST
        yield target_id, LoadReport(float(waiting), load.measured_at)


def region_of_target(targets: TargetsSlice, target_id: TargetId) -> Region | None:
    """Return a target's region, or None if the target is not registered."""
    target = targets.find(target_id)
    return target.region if target is not None else None


def region_of_entry(entries: EntriesSlice, instance: InstanceId) -> Region | None:
    """Return an entry's region, or None if the entry is not registered."""
    entry = entries.entries_by_id.get(instance)
    return entry.region if entry is not None else None


class SchedulingConfig(PluginConfig):
    """Provides the scheduler on entries and the mergers on control members."""

    name = "scheduling"
    requires = ("addresses", "control", "entry", "targets")
    settings_section = "scheduling"
    settings_class = SchedulingSettings
    messages = (TokenUseDigest, TargetLoadDigest, TargetLoadSummary)

    def ready(self, app: Application) -> None:
        """Create the scheduler and register its digests."""
        view = app.get(EntryView)
        scheduler = Scheduler(
            view.machine.get(TargetsSlice),
            app.clock,
            app.settings.section(InstanceSettings).region,
            app.settings.section(SchedulingSettings),
        )
        view.listen(scheduler.on_targets_changed)
        app.provide(Scheduler, scheduler)
        codec = app.get(Codec)
        channel = TokenUseChannel(scheduler.use, codec, app.clock)
        home = app.get(TargetHome)
        digests = app.get(EntryDigests)
        digests.add(channel)
        digests.add(
            TargetLoadChannel(
                partial(load_reports, home), scheduler.record_load, codec, app.clock
            )
        )
        leader_digests = app.find(LeaderDigests)
        if leader_digests is not None:
            leader_digests.add(TokenUseMerger(codec, app.clock))
            machine = app.get(ControlMember).machine
            leader_digests.add(
                TargetLoadMerger(
                    codec,
                    app.clock,
                    partial(region_of_target, machine.get(TargetsSlice)),
                    partial(region_of_entry, machine.get(EntriesSlice)),
                )
            )

    async def start(self, app: Application) -> None:
        """Start the task that serves queues again after an ejection ends."""
        app.supervise(app.get(Scheduler).run, "scheduler")
