"""Replicated state of the plain services that callers may use."""

from goldcrestyard.core.ids import ServiceName
from goldcrestyard.core.records import Service
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.services.commands import (
    PutService,
    RemoveService,
    ServicesSnapshot,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice


class ServicesSlice(Slice):
    """Services by name, replicated to control members and entries."""

    name = "services"
    fan_out = True
    commands = (PutService, RemoveService)

    def __init__(self) -> None:
        self.services_by_name: dict[ServiceName, Service] = {}

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case PutService(service=service):
                self.services_by_name[service.name] = service
                return Accepted()
            case RemoveService(name=name):
                if self.services_by_name.pop(name, None) is None:
                    return Rejected(RefusalReason.NOT_FOUND, f"no service {name}")
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> ServicesSnapshot:
        """Return a snapshot of all services."""
        return ServicesSnapshot(tuple(self.services_by_name.values()))

    def load_snapshot(self, snapshot: ServicesSnapshot) -> None:
        """Replace all services by those of a snapshot."""
        self.services_by_name = {item.name: item for item in snapshot.services}
