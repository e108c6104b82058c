"""Plug-in that keeps a local view of the state and a link to the leader."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.subscription import Subscription
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.entry import checks
from goldcrestyard.plugins.entry.settings import EntrySettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.client import PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers


class EntryConfig(PluginConfig):
    """Subscribes to the leader; provides the view and the leader link."""

    name = "entry"
    requires = ("peers",)
    settings_section = "entry"
    settings_class = EntrySettings
    checks = (checks.check_lease,)

    def ready(self, app: Application) -> None:
        """Create the subscription and the view of fanned-out slices."""
        codec = app.get(Codec)
        machine = StateMachine(
            (slice_class() for slice_class in app.slice_classes if slice_class.fan_out),
            app.clock.monotonic,
        )
        view = app.provide(EntryView, EntryView(machine, codec, app.clock))
        instance = app.settings.section(InstanceSettings).id
        link = app.provide(LeaderLink, LeaderLink(instance, codec))
        settings = app.settings.section(EntrySettings)
        members = app.settings.section(ClusterSettings).control_members
        subscription = Subscription(
            view,
            link,
            app.get(PeerDialer),
            app.clock,
            app.provide(ControlAddresses, ControlAddresses(members)),
            app.provide(EntryDigests, EntryDigests()),
            settings.renew_seconds,
            settings.renew_timeout_seconds,
        )

        subscription.register(app.get(Handlers))
        app.provide(Subscription, subscription)

    async def serve(self, app: Application) -> None:
        """Start the subscription to the leader."""
        app.supervise(app.get(Subscription).run, "subscription")

    async def leave(self, app: Application) -> None:
        """Report this entry as draining with its next lease renewal."""
        app.get(Subscription).draining = True
