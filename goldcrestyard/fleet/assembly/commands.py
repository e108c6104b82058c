"""Commands, messages and snapshot of the machines slice."""

from dataclasses import dataclass

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.core.ids import InstanceId


@dataclass(frozen=True, slots=True)
class NameMachine:
    """The machine on which an instance runs."""

    instance: InstanceId
    machine: str


@dataclass(frozen=True, slots=True)
class RetireMachine:
    """A machine is to be emptied; its instance may be a member no longer."""

    machine: str


@dataclass(frozen=True, slots=True)
class MachinesSnapshot:
    """The whole slice."""

    names_by_instance: dict[InstanceId, str]
    retiring: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class JoinCluster:
    """A process asks to be a member of the replicated log."""

    member: MemberId
    instance: InstanceId
    address: str
    machine: str


@dataclass(frozen=True, slots=True)
class JoinNoted:
    """The leader will see to it."""
