"""Declarations of plain services by operators, with their checks."""

from collections.abc import Iterable

from goldcrestyard.core.records import Service
from goldcrestyard.plugins.services.commands import PutService, RemoveService
from goldcrestyard.plugins.services.slices import ServicesSlice
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.machine import StateMachine


def check_routes(record: Service) -> Iterable[str]:
    """Yield an error for each invalid or repeated route prefix."""
    prefixes = [route.prefix for route in record.routes]
    for prefix in prefixes:
        if not prefix.startswith("/"):
            yield f"the prefix {prefix!r} must begin with '/'"
    for prefix in sorted({item for item in prefixes if prefixes.count(item) > 1}):
        yield f"the prefix {prefix!r} is given more than once"


def warn_about_open_routes(
    machine: StateMachine, name: str, record: Service | None
) -> Iterable[str]:
    """Yield a warning for each route that no longer requires a key."""
    services_by_name = machine.get(ServicesSlice).services_by_name
    current = next(
        (item for item in services_by_name.values() if item.name == name), None
    )
    open_before = {r.prefix for r in current.routes if r.open} if current else set()
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
    warn=warn_about_open_routes,
    check=check_routes,
    served_by_targets=True,
)
