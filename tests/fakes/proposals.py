"""Commits commands that no interface of a deployment accepts."""

from demo.deployment import Deployment
from goldcrestyard.core.ids import CorrelationId, InstanceId
from goldcrestyard.kernel import registry
from goldcrestyard.state.commands import Command
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import Propose, ProposeReply


async def commit(deployment: Deployment, command: Command) -> None:
    """Propose a command to the control members until one commits it."""
    codec = Codec()
    for plugin in registry.discover_plugins():
        codec.register(*plugin.messages)
    secret = (deployment.folder / "secret").read_bytes().strip()
    identity = Identity("demo", InstanceId("test"), secret)
    dialer = PeerDialer(identity, codec, Handlers())
    message = Propose(codec.encode(command), "test", CorrelationId("test"))
    replies = []
    for instance in deployment.instances:
        if not instance.control:
            continue
        try:
            async with dialer.connect(PeerAddress.parse(instance.peer)) as connection:
                reply = await connection.request(message, 10.0)
        except PeerUnavailableError as error:
            reply = error
        replies.append(reply)
        if isinstance(reply, ProposeReply):
            return
    raise RuntimeError(f"{command} was not committed: {replies}")
