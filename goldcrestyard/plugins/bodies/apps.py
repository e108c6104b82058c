"""Plug-in for the store of sample and outcome bodies."""

from pathlib import Path

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.membership.body_messages import BODY_MESSAGES
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.bodies.serving import BodyServer
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.storage.bodies import BodyStore
from goldcrestyard.wire.client import PeerAddress, PeerDialer
from goldcrestyard.wire.connection import Handlers


class BodiesConfig(PluginConfig):
    """Provides the client of the body store; serves it on control members."""

    name = "bodies"
    requires = ("peers", "control", "entry", "addresses")
    messages = BODY_MESSAGES

    def ready(self, app: Application) -> None:
        """Create the client, and the server on a control member."""
        members = app.settings.section(ClusterSettings).control_members
        region = app.settings.section(InstanceSettings).region
        entries = app.get(EntryView).machine.get(EntriesSlice)

        def is_near(member: InstanceId) -> bool:
            entry = entries.entries_by_id.get(member)
            return entry is not None and entry.region == region

        client = BodyClient(
            app.get(PeerDialer),
            {member: PeerAddress.parse(address) for member, address in members.items()},
            is_near,
        )
        app.provide(BodyClient, client)
        control = app.settings.find(ControlSettings)
        if control is not None:
            server = BodyServer(
                BodyStore(Path(control.data_folder) / "bodies"), client, app.clock
            )
            server.register(app.get(Handlers))
            app.provide(BodyServer, server)

    async def start(self, app: Application) -> None:
        """Start the client's connections, and sweeps of expired bodies."""
        client = app.get(BodyClient)
        for link in client.links:
            app.supervise(link.run, f"body store on {link.member}")
        server = app.find(BodyServer)
        if server is not None:
            app.supervise(server.run, "delete old bodies")

    async def stop(self, app: Application) -> None:
        """Cancel the client's unfinished transfers."""
        await app.get(BodyClient).close()
