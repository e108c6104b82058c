"""Plug-in for connections between the instances of a deployment."""

from goldcrestyard.consensus.records import LoggedCommand
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.connection_places import open_files_limit
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.plugins.peers import checks
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.policy.unproved_peers import max_unproved
from goldcrestyard.state.commands import Accepted, Rejected
from goldcrestyard.wire.client import PeerAddress, PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import MESSAGES
from goldcrestyard.wire.server import PeerServer


class PeersConfig(PluginConfig):
    """Provides the codec, the handlers, the dialer and the peer listener."""

    name = "peers"
    settings_section = "cluster"
    settings_class = ClusterSettings
    messages = (*MESSAGES, LoggedCommand, Accepted, Rejected)
    checks = (checks.check_members, checks.check_secret)

    def ready(self, app: Application) -> None:
        """Create the codec for all plug-ins' messages, dialer and server."""
        cluster = app.settings.section(ClusterSettings)
        instance = app.settings.section(InstanceSettings)
        identity = Identity(
            cluster.name, InstanceId(instance.id), cluster.read_secret()
        )
        codec = app.provide(Codec, Codec())
        codec.register(*app.message_classes)
        handlers = app.provide(Handlers, Handlers())
        app.provide(
            PeerDialer, PeerDialer(identity, codec, handlers, cluster.connect_seconds)
        )
        limit = max_unproved(open_files_limit())
        app.provide(PeerServer, PeerServer(identity, codec, handlers, limit))

    async def serve(self, app: Application) -> None:
        """Open the peer listener."""
        cluster = app.settings.section(ClusterSettings)
        address = PeerAddress.parse(cluster.peer_address)
        await app.get(PeerServer).start(address.host, address.port)

    async def stop(self, app: Application) -> None:
        """Close the peer listener."""
        await app.get(PeerServer).stop()
