"""Settings for bootstrapping the control cluster."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class AssemblySettings:
    """Initial members and fault tolerance of the control cluster."""

    machine_name: str = setting("Name of the machine in the operators' commands.")
    founders: dict[InstanceId, str] = setting(
        "Peer address of each founder of the cluster by instance; empty unless "
        "the whole deployment starts for the first time."
    )
    tolerated_losses: int = setting(
        "Number of machines that may be lost at the same time.", 1
    )

    @property
    def wanted_voters(self) -> int:
        """Number of voters that keep a majority after the tolerated losses."""
        return 2 * self.tolerated_losses + 1
