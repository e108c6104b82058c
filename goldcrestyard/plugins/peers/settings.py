"""Settings of the connections between the system's own processes."""

from dataclasses import dataclass
from pathlib import Path

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ClusterSettings:
    """The ``[cluster]`` section: the same on every instance."""

    name: str = setting("Name of the deployment; peers of another are refused.")
    secret_file: str = setting(
        "File with the secret by which the processes know each other."
    )
    control_members: dict[InstanceId, str] = setting(
        "Peer address (host:port) of each control member, by instance id."
    )
    peer_address: str = setting("Address (host:port) of this instance's peer listener.")

    connect_seconds: float = setting(
        "Longest time to connect to another instance, in seconds.", 3.0
    )

    def read_secret(self) -> bytes:
        """Return the secret; empty where the deployment has none."""
        if not self.secret_file:
            return b""
        return Path(self.secret_file).read_bytes().strip()
