"""What operators declare of plain services."""

from collections.abc import Iterable

from goldcrestyard.core.records import Service
from goldcrestyard.plugins.services.commands import PutService, RemoveService
from goldcrestyard.plugins.services.slices import ServicesSlice
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.machine import StateMachine


def faults(record: Service) -> Iterable[str]:
    """Return what is wrong with a service's routes."""
    prefixes = [route.prefix for route in record.routes]
    for prefix in prefixes:
        if not prefix.startswith("/"):
            yield f"the prefix {prefix!r} must begin with '/'"
    for prefix in sorted({item for item in prefixes if prefixes.count(item) > 1}):
        yield f"the prefix {prefix!r} is given more than once"


def warnings(machine: StateMachine, name: str, record: Service | None) -> Iterable[str]:
    """Warn of routes that anyone may call from now on."""
    known = machine.get(ServicesSlice).services_by_name
    before = next((item for item in known.values() if item.name == name), None)
    open_before = {r.prefix for r in before.routes if r.open} if before else set()
    for route in record.routes if record is not None else ():
        if route.open and route.prefix not in open_before:
            yield f"services.{name}: {route.prefix} becomes open to callers without key"


SERVICES = DeclaredKind(
    table="services",
    record_class=Service,
    key_field="name",
    current=lambda machine: machine.get(ServicesSlice).services_by_name,
    put=PutService,
    remove=RemoveService,
    command_classes=(PutService, RemoveService),
    warn=warnings,
    check=faults,
    served_by_targets=True,
)
