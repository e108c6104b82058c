"""Settings of the cluster and of connections between its instances."""

from dataclasses import dataclass
from pathlib import Path

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ClusterSettings:
    """The ``[cluster]`` section.

    It is the same on every instance except for ``peer_address``.
    """

    name: str = setting(
        "Name of the deployment; connections from instances of another one are refused."
    )
    secret_file: str = setting(
        "File with the secret by which instances authenticate each other; the "
        "same on every instance."
    )
    control_members: dict[InstanceId, str] = setting(
        "Peer address (host:port) of each control member, by instance id."
    )
    peer_address: str = setting("Address (host:port) of this instance's peer listener.")

    connect_seconds: float = setting(
        "Time-out for connecting to another instance, in seconds.", 3.0
    )

    def read_secret(self) -> bytes:
        """Return the secret; empty if no secret file is set.

        Raises ``OSError`` if the file cannot be read.
        """
        if not self.secret_file:
            return b""
        return Path(self.secret_file).read_bytes().strip()
