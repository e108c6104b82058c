"""Kinds of records that operators declare, and subjects of the audit trail.

Each plug-in lists its kinds in its configuration object, so they disappear
together with the plug-in.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from goldcrestyard.state.commands import Command
from goldcrestyard.state.machine import StateMachine

Subject = Callable[[Any], str]
"""Returns the subject of a command, such as ``organisation/tejo-rail``.

The text is written to the audit trail, so it must not contain secrets.  A
command with an empty subject is left out of the trail.
"""


def no_warnings(machine: StateMachine, name: str, record: Any) -> Iterable[str]:
    """Return no warnings; the default of ``DeclaredKind.warn``."""
    return ()


def no_faults(record: Any) -> Iterable[str]:
    """Return no errors; the default of ``DeclaredKind.check``."""
    return ()


@dataclass(frozen=True)
class DeclaredKind:
    """A table of a declaration, and the commands that change its records.

    ``warn`` returns the harmful consequences of a change.  It is called with
    the name and the new record, or None if the record is to be removed.
    """

    table: str
    record_class: type
    key_field: str
    current: Callable[[StateMachine], Mapping[Any, Any]]
    put: Callable[[Any], Command]
    remove: Callable[[Any], Command]
    command_classes: tuple[type, ...]
    """All commands that change records of this kind."""
    warn: Callable[[StateMachine, str, Any], Iterable[str]] = no_warnings
    check: Callable[[Any], Iterable[str]] = no_faults
    """Returns the errors in a record.  It must find everything that the slice
    would reject, since a plan is confirmed as a whole."""
    served_by_targets: bool = False
    """Whether targets serve these records by name, like services or models."""
