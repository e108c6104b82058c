"""Replicated state: machine names of control members, and retirements."""

from collections.abc import Set as AbstractSet

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.commands import (
    CompleteRetirement,
    MachinesSnapshot,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice


class MachinesSlice(Slice):
    """Machine names by instance, and the retiring and retired machines."""

    name = "machines"
    commands = (NameMachine, RetireMachine, CompleteRetirement)

    def __init__(self) -> None:
        self.names_by_instance: dict[InstanceId, str] = {}
        self.retiring: set[str] = set()
        """Machines that are ordered to retire, including those that have."""
        self.retired: set[str] = set()

    def instance_of(self, machine: str) -> InstanceId | None:
        """Return the instance that runs on a machine, or None."""
        for instance, name in self.names_by_instance.items():
            if name == machine:
                return instance
        return None

    def instances_of(self, machine: str) -> frozenset[InstanceId]:
        """Return the instances that run on a machine or ran on it.

        There are several if the machine's address has changed.
        """
        return self._instances_on({machine})

    def retiring_instances(self) -> frozenset[InstanceId]:
        """Return the instances that run on retiring or retired machines."""
        return self._instances_on(self.retiring)

    def retired_instances(self) -> frozenset[InstanceId]:
        """Return the instances that ran on retired machines."""
        return self._instances_on(self.retired)

    def _instances_on(self, machines: AbstractSet[str]) -> frozenset[InstanceId]:
        return frozenset(
            instance
            for instance, name in self.names_by_instance.items()
            if name in machines
        )

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case NameMachine(instance=instance, machine=machine):
                self.names_by_instance[instance] = machine
                return Accepted()
            case RetireMachine(machine=machine):
                self.retiring.add(machine)
                return Accepted()
            case CompleteRetirement(machine=machine):
                self.retired.add(machine)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> MachinesSnapshot:
        """Return the state as a snapshot."""
        return MachinesSnapshot(
            dict(self.names_by_instance),
            tuple(sorted(self.retiring)),
            tuple(sorted(self.retired)),
        )

    def load_snapshot(self, snapshot: MachinesSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.names_by_instance = dict(snapshot.names_by_instance)
        self.retiring = set(snapshot.retiring)
        self.retired = set(snapshot.retired)
