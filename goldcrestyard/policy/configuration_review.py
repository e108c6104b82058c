"""Review of a serving configuration before it is sent.

Errors are what a control member refuses or ignores.  Warnings are entries
that can never match or serve, and limits that contradict each other: they are
accepted, but what they say cannot happen.  Changes are the differences from
the version in force.
"""

import dataclasses
from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from goldcrestyard.core.decoding import is_id, is_path
from goldcrestyard.core.ids import Region
from goldcrestyard.core.serving import (
    ServedOrganisation,
    ServedService,
    ServingConfig,
    ServingRoute,
)
from goldcrestyard.policy.residency import allowed_regions
from goldcrestyard.policy.serving import FaultId, located_faults

Entry = ServingRoute | ServedService | ServedOrganisation

MAX_NAMES = 5
"""Names that one message lists; deployments have over 80 organisations."""


class Level(Enum):
    """Weight of a finding."""

    ERROR = "error"
    """The control members refuse the document, or it has no effect."""
    WARNING = "warning"
    CHANGE = "change"
    """A difference from the version in force."""


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field of an entry that differs; the values are JSON values."""

    field: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True)
class Finding:
    """What a review has found.

    ``id`` is stable across releases, so that scripts can rely on it.
    ``about`` names the route, service or organisation, and ``hint`` says how
    to correct it.
    """

    level: Level
    id: str
    about: str
    message: str
    hint: str = ""
    fields: tuple[FieldChange, ...] = ()
    """Changed fields of an entry in both versions, in alphabetical order."""


_HINTS_BY_FAULT = {
    FaultId.UNKNOWN_SERVICE: "add the service, or correct its name in the route",
    FaultId.NEGATIVE_WEIGHT: "use weights of 0 or more",
    FaultId.TOTAL_WEIGHT: "give at least one service a finite weight above 0",
    FaultId.NO_TIMEOUT: "set a timeout above 0",
    FaultId.PREFIX: "let the prefix begin and end with a slash",
    FaultId.SAME_PREFIX: "requests can match one of them only; remove the others "
    "(hosts are compared in lower case and without their port)",
    FaultId.SHARED_KEY: "give each organisation keys of its own",
    FaultId.UNKNOWN_HOME: "name regions of the deployment",
}


def undecodable(details: Sequence[str]) -> list[Finding]:
    """Return an error for each value that could not be decoded."""
    hint = "correct the value; the rest is reviewed once all can be decoded"
    return [
        Finding(Level.ERROR, "config.E009", "configuration", detail, hint)
        for detail in details
    ]


def review(
    config: ServingConfig,
    in_force: ServingConfig | None = None,
    regions: Collection[Region] | None = None,
) -> list[Finding]:
    """Return all findings: errors, then warnings, then changes.

    ``in_force`` is the version to compare with, if any.  ``regions`` are those
    of the deployment; None does not check that home regions are known.
    """
    findings = [
        *errors(config, regions),
        *never_matching(config),
        *contradictions(config),
    ]
    if in_force is not None:
        findings += version_errors(config, in_force)
        findings += differences(in_force, config)
    levels = list(Level)
    return sorted(findings, key=lambda finding: levels.index(finding.level))


def errors(
    config: ServingConfig, regions: Collection[Region] | None = None
) -> Iterator[Finding]:
    """Yield what makes the control members refuse a configuration."""
    for fault in located_faults(config, regions):
        hint = _HINTS_BY_FAULT[fault.id]
        yield Finding(Level.ERROR, fault.id.value, fault.about, fault.message, hint)
    for organisation in config.organisations:
        if not is_id(organisation.id):
            yield Finding(
                Level.ERROR,
                "config.E010",
                f"organisation {organisation.id!r}",
                "the name of an organisation is not valid",
                "use 1 to 256 printable characters",
            )


def version_errors(config: ServingConfig, in_force: ServingConfig) -> Iterator[Finding]:
    """Yield an error if a configuration would not replace the one in force."""
    if config.version <= in_force.version:
        yield Finding(
            Level.ERROR,
            "config.E011",
            "configuration",
            f"version {config.version} is not higher than {in_force.version}, which "
            "is in force; sending it would change nothing",
            f"set a version above {in_force.version}",
        )


def never_matching(config: ServingConfig) -> Iterator[Finding]:
    """Yield entries that no request can match, or that can never serve one."""
    named = Counter(share.name for route in config.routes for share in route.services)
    for service in config.services:
        if service.name not in named:
            yield _warning(
                1,
                f"service {service.name}",
                "no route names the service",
                "name it in a route, or remove it",
            )
    for route in config.routes:
        for share in route.services:
            if share.weight == 0:
                yield _warning(
                    2,
                    f"route {route.name}",
                    f"service {share.name} has weight 0 and gets no request",
                    "remove it from the split, or give it a weight",
                )
        if not route.host or not is_path(route.prefix) or set(route.prefix) & {*"?#"}:
            yield _warning(
                3,
                f"route {route.name}",
                "no request has such a host and path",
                "name a host; a prefix has no spaces, queries or fragments, and "
                "other characters than ASCII are percent-encoded",
            )
    yield from _repeated_names(config)
    yield from _useless_keys(config)
    yield from _disjoint_homes(config)


def _repeated_names(config: ServingConfig) -> Iterator[Finding]:
    for kind, names in (
        ("route", [route.name for route in config.routes]),
        ("service", [service.name for service in config.services]),
        ("organisation", [item.id for item in config.organisations]),
    ):
        for name, count in Counter(names).items():
            if count > 1:
                yield _warning(
                    4,
                    f"{kind} {name}",
                    f"{count} entries have this name",
                    "give each entry a name of its own",
                )


def _useless_keys(config: ServingConfig) -> Iterator[Finding]:
    if not config.organisations:
        # Without organisations no route needs a key.
        return
    closed = [route.name for route in config.routes if not route.open]
    if closed and not any(item.keys for item in config.organisations):
        yield _warning(
            5,
            _listed("route", closed),
            "a key is needed, but no organisation has one",
            "give an organisation a key, or open the routes",
        )
    for organisation in config.organisations:
        about = f"organisation {organisation.id}"
        if not organisation.keys:
            yield _warning(
                6, about, "it has no key, so no caller can act for it", "add a key"
            )
        elif not closed:
            yield _warning(
                7, about, "it has keys, but no route needs one", "close a route"
            )


def _disjoint_homes(config: ServingConfig) -> Iterator[Finding]:
    for route in config.routes:
        apart = [
            item.id
            for item in config.organisations
            if allowed_regions(route.residency, item.residency) == frozenset()
        ]
        if apart:
            yield _warning(
                8,
                f"route {route.name}",
                f"it shares no home region with {_listed('organisation', apart)}; "
                "their requests on it are refused",
                "add a common home region, unless they are to be refused",
            )


def contradictions(config: ServingConfig) -> Iterator[Finding]:
    """Yield limits that contradict each other."""
    for route in config.routes:
        about = f"route {route.name}"
        timeout, objective = route.timeout_seconds, route.objective_seconds
        attempts = route.max_attempts
        if objective is not None and objective > timeout:
            yield _warning(
                11,
                about,
                f"the objective of {objective:g} s exceeds the timeout of "
                f"{timeout:g} s",
                "raise the timeout or lower the objective",
            )
        elif objective is not None and attempts * objective > timeout:
            yield _warning(
                12,
                about,
                f"{attempts} attempts of {objective:g} s (the objective) exceed the "
                f"timeout of {timeout:g} s",
                "raise the timeout, or lower the attempts or the objective",
            )
        due, abandoned = route.due_seconds, route.item_seconds
        if due is not None and abandoned is not None and due > abandoned:
            yield _warning(
                13,
                about,
                f"items are due after {due:g} s, but given up after {abandoned:g} s",
                "let items live at least until they are due",
            )
    for service in config.services:
        rental = service.rental
        if rental is not None and rental.least > rental.most:
            yield _warning(
                14,
                f"service {service.name}",
                f"at least {rental.least} targets, but at most {rental.most}",
                "raise the upper bound or lower the lower one",
            )


def differences(before: ServingConfig, after: ServingConfig) -> Iterator[Finding]:
    """Yield entries that were added, removed or changed, by name.

    Keys are counted, never shown.
    """
    if before.version != after.version:
        change = FieldChange("version", before.version, after.version)
        yield _changed("version", (change,))
    olds, news = _entries_by_name(before), _entries_by_name(after)
    for name in dict.fromkeys((*olds, *news)):
        old, new = olds.get(name), news.get(name)
        if old is None:
            yield Finding(Level.CHANGE, "config.C001", name, "added")
        elif new is None:
            yield Finding(Level.CHANGE, "config.C002", name, "removed")
        elif found := (*_field_changes(old, new), *_key_changes(old, new)):
            yield _changed(name, found)
    if found := tuple(_field_changes(before.limits, after.limits)):
        yield _changed("limits", found)


def _changed(about: str, fields: tuple[FieldChange, ...]) -> Finding:
    message = "; ".join(
        f"{change.field}: {_text(change.before)} -> {_text(change.after)}"
        for change in fields
    )
    return Finding(Level.CHANGE, "config.C003", about, message, fields=fields)


def _entries_by_name(config: ServingConfig) -> dict[str, Entry]:
    """Return all entries; those that repeat a name are numbered."""
    entries: list[tuple[str, Entry]] = [
        *((f"route {route.name}", route) for route in config.routes),
        *((f"service {service.name}", service) for service in config.services),
        *((f"organisation {item.id}", item) for item in config.organisations),
    ]
    seen: Counter[str] = Counter()
    by_name = {}
    for name, entry in entries:
        seen[name] += 1
        by_name[name if seen[name] == 1 else f"{name} ({seen[name]})"] = entry
    return by_name


def _field_changes(before: Any, after: Any) -> Iterator[FieldChange]:
    olds, news = dict(_flattened("", before)), dict(_flattened("", after))
    for field in sorted(olds.keys() | news.keys()):
        old, new = olds.get(field), news.get(field)
        if old != new:
            yield FieldChange(field, old, new)


def _flattened(name: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the fields of an entry, those inside others as ``outer.inner``."""
    match value:
        case ServedOrganisation(keys=keys) if keys:
            yield from _flattened(name, dataclasses.replace(value, keys=()))
        case dict():
            for inner, item in value.items():
                yield from _flattened(f"{name}.{inner}" if name else inner, item)
        case _ if dataclasses.is_dataclass(value):
            yield from _flattened(name, msgspec.to_builtins(value))
        case _:
            yield name, value


def _key_changes(before: Entry, after: Entry) -> Iterator[FieldChange]:
    match before, after:
        case ServedOrganisation(keys=olds), ServedOrganisation(keys=news):
            added, removed = set(news) - set(olds), set(olds) - set(news)
            if added or removed:
                counted = f"({len(added)} added, {len(removed)} removed)"
                before_count, after_count = len(set(olds)), len(set(news))
                yield FieldChange("keys", str(before_count), f"{after_count} {counted}")


def _text(value: Any) -> str:
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()


def _listed(kind: str, names: Sequence[str]) -> str:
    shown = ", ".join(names[:MAX_NAMES])
    more = len(names) - MAX_NAMES
    plural = "" if len(names) == 1 else "s"
    return f"{kind}{plural} {shown}" + (f" and {more} more" if more > 0 else "")


def _warning(number: int, about: str, message: str, hint: str) -> Finding:
    return Finding(Level.WARNING, f"config.W{number:03}", about, message, hint)
