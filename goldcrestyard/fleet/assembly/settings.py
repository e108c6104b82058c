"""Settings of a deployment that assembles itself."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class AssemblySettings:
    """How the control members find each other."""

    machine_name: str = setting("Name of the machine, as operators know it.")
    founders: dict[InstanceId, str] = setting(
        "Peer address of each founder of the cluster by instance; empty unless "
        "the whole deployment starts for the first time."
    )
    tolerated_losses: int = setting("Machines whose loss at once is borne.", 1)

    @property
    def wanted_voters(self) -> int:
        """The number of voters that bears the tolerated losses."""
        return 2 * self.tolerated_losses + 1
