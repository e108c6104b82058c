"""Plug-in that runs a control member, which replicates the log."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import ClassVar

from goldcrestyard.consensus.bootstrap import FoundingRule
from goldcrestyard.consensus.configuration import Configuration
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.leader_watch import LeaderWatch
from goldcrestyard.consensus.link import MemberBatch, MemberIdentity, Received
from goldcrestyard.consensus.messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    PreVote,
    PreVoteReply,
    SnapshotReply,
    Vote,
    VoteReply,
)
from goldcrestyard.consensus.records import MachineSnapshot
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.checks import Check
from goldcrestyard.kernel.default_settings import InstanceSettings, process_bytes
from goldcrestyard.membership.change_feed import ChangeFeed
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.control import checks
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.policy.leases import MAX_CLOCK_DRIFT
from goldcrestyard.policy.memory import control_shares
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.client import PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers


class ControlConfig(PluginConfig):
    """Runs a control member if the settings have a ``[control]`` section."""

    name = "control"
    requires: ClassVar[Sequence[str]] = ("peers", "entry")
    settings_section = "control"
    settings_class = ControlSettings
    messages: ClassVar[Sequence[type]] = (
        Configuration,
        MachineSnapshot,
        MemberIdentity,
        MemberBatch,
        Received,
        PreVote,
        PreVoteReply,
        Vote,
        VoteReply,
        Append,
        AppendReply,
        InstallSnapshot,
        SnapshotReply,
    )
    checks: ClassVar[Sequence[Check]] = (
        checks.check_timing,
        checks.check_snapshots,
        checks.check_member,
    )

    def ready(self, app: Application) -> None:
        """Create the member, the change feed and the entry sessions."""
        control = app.settings.find(ControlSettings)
        if control is None:
            return
        cluster = app.settings.section(ClusterSettings)
        provide_member(app, control, cluster.control_members)

    async def start(self, app: Application) -> None:
        """Load the log and join the cluster."""
        member = app.find(ControlMember)
        if member is not None:
            await member.start()
            app.spawn(member.wait_for_failure(), "control member")

    async def serve(self, app: Application) -> None:
        """Log the member's state at the start and without a leader."""
        member = app.find(ControlMember)
        if member is not None:
            app.supervise(LeaderWatch(member, app.clock).run, "leader watch")

    async def stop(self, app: Application) -> None:
        """Close the log."""
        member = app.find(ControlMember)
        if member is not None:
            await member.stop()


def provide_member(
    app: Application,
    control: ControlSettings,
    initial_addresses: Mapping[InstanceId, str],
    founding_rule: FoundingRule = FoundingRule.ALL,
) -> ControlMember:
    """Create this instance's member, its change feed and the entry sessions.

    ``initial_addresses`` are the peer addresses of the members with which the
    cluster is bootstrapped.
    """
    codec = app.get(Codec)
    handlers = app.get(Handlers)
    machine = StateMachine(
        (slice_class() for slice_class in app.slice_classes), app.clock.monotonic
    )
    member = app.provide(
        ControlMember,
        ControlMember(
            app.settings.section(InstanceSettings).id,
            Path(control.data_folder),
            machine,
            codec,
            app.clock,
            app.get(PeerDialer),
            initial_addresses,
            own_address=app.settings.section(ClusterSettings).peer_address,
            founding_rule=founding_rule,
            timing=_timing(control),
            snapshot_entries=control.snapshot_entries,
            shares=control_shares(process_bytes(app.settings)),
        ),
    )
    member.register(handlers)
    feed = app.provide(ChangeFeed, ChangeFeed(codec, app.clock))
    machine.listen(feed.add)
    member.add_restore_listener(feed.reset)
    lease_seconds = app.settings.section(EntrySettings).lease_seconds
    digests = app.provide(LeaderDigests, LeaderDigests())
    sessions = EntrySessions(member, feed, codec, app.clock, lease_seconds, digests)
    sessions.register(handlers)
    app.provide(EntrySessions, sessions)
    return member


def _timing(control: ControlSettings) -> Timing:
    return Timing(
        control.heartbeat_seconds,
        control.lease_seconds,
        control.election_timeout_seconds,
        control.election_timeout_max_seconds,
        MAX_CLOCK_DRIFT,
        control.start_quiet_seconds,
    )
