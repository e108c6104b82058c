"""Kinds of records that operators declare, and commands worth an audit.

Each plug-in names its own in its configuration object, so a plug-in that is
removed takes its kinds with it.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from goldcrestyard.state.commands import Command
from goldcrestyard.state.machine import StateMachine

Subject = Callable[[Any], str]
"""Returns what a command is about, such as ``organisation/tejo-rail``.

The text goes into the audit trail, so it must not contain secrets.  An empty
text keeps the command out of the trail.
"""


def no_warnings(machine: StateMachine, name: str, record: Any) -> Iterable[str]:
    """Return no warnings."""
    return ()


def no_faults(record: Any) -> Iterable[str]:
    """Return no faults."""
    return ()


@dataclass(frozen=True)
class DeclaredKind:
    """One table of a declaration and the commands that bring it about.

    ``warn`` is called with the name and the new record, or None where the
    record is to be removed, and returns what the change would harm.
    """

    table: str
    record_class: type
    key_field: str
    current: Callable[[StateMachine], Mapping[Any, Any]]
    put: Callable[[Any], Command]
    remove: Callable[[Any], Command]
    command_classes: tuple[type, ...]
    """Every command that changes records of this kind."""
    warn: Callable[[StateMachine, str, Any], Iterable[str]] = no_warnings
    check: Callable[[Any], Iterable[str]] = no_faults
    """Returns what is wrong with a record.  It must find all that the slice
    would reject, since a plan is confirmed as a whole."""
    served_by_targets: bool = False
    """Whether targets serve records of this kind under their names."""
