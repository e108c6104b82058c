"""Commands and snapshot of the machines slice, and the join messages."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId


@dataclass(frozen=True, slots=True)
class NameMachine:
    """Records the name of the machine on which an instance runs."""

    instance: InstanceId
    machine: str


@dataclass(frozen=True, slots=True)
class RetireMachine:
    """Marks a machine as retiring; its instance leaves the cluster."""

    machine: str


@dataclass(frozen=True, slots=True)
class CompleteRetirement:
    """Records that a retiring machine may be taken away with its disk."""

    machine: str


@dataclass(frozen=True, slots=True)
class MachinesSnapshot:
    """Snapshot of the machines slice.

    ``retiring`` has the retired machines as well.
    """

    names_by_instance: dict[InstanceId, str]
    retiring: tuple[str, ...]
    retired: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JoinCluster:
    """Asks the leader to add the sending process to the control cluster."""

    member: MemberId
    instance: InstanceId
    address: str
    machine: str
    cluster: str | None = None
    """Cluster of the sender's disk, empty if it has none; None in a request of
    an earlier release."""


@dataclass(frozen=True, slots=True)
class JoinNoted:
    """The leader has recorded the join request and will act on it."""
