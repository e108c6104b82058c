"""Reads declarations and computes the changes that they make.

A declaration is a TOML document with the desired configuration.  A table that
is left out is not touched; an empty one removes all its records.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from goldcrestyard.core.decoding import Malformed, decode_toml
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy import plans
from goldcrestyard.policy.plans import PlannedChange
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.machine import StateMachine


@dataclass(frozen=True)
class Declaration:
    """A valid declaration: its records by table and name."""

    records_by_table: Mapping[str, Mapping[str, Any]]


@dataclass(frozen=True)
class DeclarationFaults:
    """Every error in a declaration, each with the key concerned."""

    messages: tuple[str, ...]


def read(text: str, kinds: Sequence[DeclaredKind]) -> Declaration | DeclarationFaults:
    """Parse and validate a declaration; return all its faults at once."""
    document = decode_toml(text)
    if isinstance(document, Malformed):
        return DeclarationFaults((f"not valid TOML: {document.detail}",))
    kinds_by_table = {kind.table: kind for kind in kinds}
    faults = [
        f"{table}: not a known table; known tables: {', '.join(sorted(kinds_by_table))}"
        for table in sorted(document.keys() - kinds_by_table.keys())
    ]
    records_by_table: dict[str, Mapping[str, Any]] = {}
    for table in sorted(document.keys() & kinds_by_table.keys()):
        records, found = _read_table(document[table], kinds_by_table[table])
        records_by_table[table] = records
        faults.extend(found)
    return DeclarationFaults(tuple(faults)) if faults else Declaration(records_by_table)


def compute_changes(
    declaration: Declaration, kinds: Iterable[DeclaredKind], machine: StateMachine
) -> tuple[tuple[PlannedChange, ...], tuple[str, ...]]:
    """Return the changes from the current state, and their warnings."""
    changes: list[PlannedChange] = []
    warnings: list[str] = []
    for kind in kinds:
        declared = declaration.records_by_table.get(kind.table)
        if declared is None:
            continue
        found = plans.difference(
            kind.table, _to_plain(declared), _to_plain(kind.current(machine))
        )
        changes.extend(found)
        for change in found:
            warnings.extend(kind.warn(machine, change.name, declared.get(change.name)))
            if kind.served_by_targets and change.verb is plans.Verb.REMOVE:
                warnings.extend(
                    _warn_of_serving_targets(machine, kind.table, change.name)
                )
    return tuple(changes), tuple(warnings)


def _warn_of_serving_targets(
    machine: StateMachine, table: str, name: str
) -> Iterable[str]:
    """Warn of targets that serve a record which is to be removed."""
    targets = machine.get(TargetsSlice).serving(name)
    if targets:
        listed = ", ".join(sorted(target.id for target in targets))
        yield (
            f"{table}.{name}: running work is stranded on the targets that serve "
            f"it: {listed}; drain them first"
        )


def _read_table(table: object, kind: DeclaredKind) -> tuple[dict[str, Any], list[str]]:
    if not isinstance(table, Mapping):
        return {}, [f"{kind.table}: must be a table of records by name"]
    records: dict[str, Any] = {}
    faults: list[str] = []
    for name, fields in table.items():
        key = f"{kind.table}.{name}"
        if not isinstance(fields, Mapping):
            faults.append(f"{key}: must be a table")
            continue
        if kind.key_field in fields:
            faults.append(f"{key}.{kind.key_field}: is given by the table's name")
            continue
        given = {kind.key_field: name, **fields}
        try:
            record: Any = msgspec.convert(given, kind.record_class)
        except msgspec.ValidationError as error:
            faults.append(f"{key}: {error}")
            continue
        faults.extend(_unknown_keys(key, given, msgspec.to_builtins(record)))
        faults.extend(f"{key}: {fault}" for fault in kind.check(record))
        records[name] = record
    return records, faults


def _unknown_keys(key: str, given: Any, known: Any) -> list[str]:
    """Return a fault for each given key that the record has no field for."""
    if isinstance(given, Mapping) and isinstance(known, Mapping):
        faults = [
            f"{key}.{name}: is not a known field"
            for name in sorted(given.keys() - known.keys())
        ]
        for name in given.keys() & known.keys():
            faults.extend(_unknown_keys(f"{key}.{name}", given[name], known[name]))
        return faults
    if isinstance(given, list) and isinstance(known, list | tuple):
        return [
            fault
            for position, pair in enumerate(zip(given, known, strict=False))
            for fault in _unknown_keys(f"{key}[{position}]", *pair)
        ]
    return []


def _to_plain(records_by_name: Mapping[Any, Any]) -> dict[str, dict[str, Any]]:
    return {
        str(name): msgspec.to_builtins(record)
        for name, record in records_by_name.items()
    }
