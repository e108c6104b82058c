"""Plug-in: a control member that finds and joins its cluster by itself."""

from functools import partial

from goldcrestyard.consensus.bootstrap import FoundingRule
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.assembly.commands import (
    CompleteRetirement,
    JoinCluster,
    JoinNoted,
    MachinesSnapshot,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.fleet.assembly.joining import ClusterJoiner
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.assembly.settings import AssemblySettings
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.kernel.application import Application
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.plugins.control.apps import ControlConfig, provide_member
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.wire.client import PeerDialer
from goldcrestyard.wire.connection import Handlers


class AssemblyConfig(ControlConfig):
    """Runs the control member, its join requests and membership manager."""

    name = "assembly"
    requires = ("peers",)
    slices = (MachinesSlice,)
    messages = (
        *ControlConfig.messages,
        NameMachine,
        RetireMachine,
        CompleteRetirement,
        MachinesSnapshot,
        JoinCluster,
        JoinNoted,
    )
    checks = ()

    def ready(self, app: Application) -> None:
        """Create the control member, the membership manager and the joiner."""
        settings = app.settings.section(AssemblySettings)
        cluster = app.settings.section(ClusterSettings)
        control = app.settings.section(ControlSettings)
        member = provide_member(app, control, settings.founders, FoundingRule.MAJORITY)
        manager = MembershipManager(member, settings.wanted_voters, app.clock)
        manager.register(app.get(Handlers))
        app.provide(MembershipManager, manager)
        addresses = app.provide(
            ControlAddresses, ControlAddresses(cluster.control_members)
        )
        app.provide(
            ClusterJoiner,
            ClusterJoiner(
                member,
                cluster.peer_address,
                settings.machine_name,
                addresses,
                app.get(PeerDialer),
                manager.record_join,
            ),
        )

    async def serve(self, app: Application) -> None:
        """Request membership; manage the cluster while this member leads."""
        await super().serve(app)
        member = app.get(ControlMember)
        app.supervise(app.get(ClusterJoiner).run, "join the cluster")
        manager = app.get(MembershipManager)
        app.supervise(
            partial(while_leading, member, "manage members", manager.run),
            "membership manager",
        )
