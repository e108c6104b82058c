"""Settings: reads a TOML file and validates it against data classes.

Each section is a data class that declares its settings with help texts and
defaults.  All faults in a file are collected and reported together.
"""

import dataclasses
import typing
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar, cast

import msgspec

from goldcrestyard.core.decoding import Malformed, decode_toml, has_usable_numbers
from goldcrestyard.kernel.checks import Problem, Severity

T = TypeVar("T")

REQUIRED: Any = dataclasses.MISSING


def setting(help_text: str, default: Any = REQUIRED) -> Any:
    """Declare a setting, that is, a field of a section's data class.

    Without a default the setting is required.
    """
    metadata = {"help": help_text}
    if isinstance(default, list | dict):
        raise TypeError("A default must be immutable; use a tuple.")
    if default is REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


@dataclass(frozen=True)
class Settings:
    """All sections of a settings file, by TOML table name."""

    sections_by_name: Mapping[str, object]

    def section(self, section_class: type[T]) -> T:
        """Return the section of a given class; ``LookupError`` if absent."""
        for section in self.sections_by_name.values():
            if isinstance(section, section_class):
                return section
        raise LookupError(f"No settings section {section_class.__name__}.")

    def find(self, section_class: type[T]) -> T | None:
        """Return the section of a given class, or None if it is absent."""
        for section in self.sections_by_name.values():
            if isinstance(section, section_class):
                return section
        return None


def load(
    path: Path, section_classes_by_name: Mapping[str, type]
) -> tuple[Settings, list[Problem]]:
    """Read a settings file; return the settings and all problems in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Settings({}), [
            _error("settings.E001", str(path), f"cannot be read: {error.strerror}")
        ]
    except UnicodeDecodeError as error:
        return Settings({}), [
            _error("settings.E002", str(path), f"is not valid TOML: {error}")
        ]
    document = decode_toml(text)
    if isinstance(document, Malformed):
        return Settings({}), [
            _error("settings.E002", str(path), f"is not valid TOML: {document.detail}")
        ]
    if not has_usable_numbers(document):
        detail = "a number is too large, infinite or NaN"
        return Settings({}), [_error("settings.E002", str(path), detail)]
    return build(document, section_classes_by_name)


def build(
    document: Mapping[str, Any], section_classes_by_name: Mapping[str, type]
) -> tuple[Settings, list[Problem]]:
    """Build the settings from a parsed document.

    Returns them with all problems found.  Sections with problems are left
    out, and so are absent sections whose class sets ``OPTIONAL``.
    """
    problems: list[Problem] = []
    sections: dict[str, object] = {}
    for name in sorted(document.keys() - section_classes_by_name.keys()):
        problems.append(
            _error(
                "settings.E003",
                name,
                "is not a known section",
                "Known sections: " + ", ".join(sorted(section_classes_by_name)) + ".",
            )
        )
    for name, section_class in section_classes_by_name.items():
        optional = getattr(section_class, "OPTIONAL", False)
        if optional and name not in document:
            continue
        section, found = _build_section(name, section_class, document.get(name, {}))
        problems.extend(found)
        if section is not None:
            sections[name] = section
    return Settings(sections), problems


def _build_section(
    name: str, section_class: type, table: object
) -> tuple[object | None, list[Problem]]:
    if not isinstance(table, Mapping):
        return None, [_error("settings.E004", name, "must be a table")]
    fields_by_name = {
        field.name: field for field in dataclasses.fields(cast(Any, section_class))
    }
    types_by_name = typing.get_type_hints(section_class)
    problems = [
        _error(
            "settings.E005",
            f"{name}.{key}",
            "is not a known setting",
            "Known settings: " + ", ".join(sorted(fields_by_name)) + ".",
        )
        for key in sorted(table.keys() - fields_by_name.keys())
    ]
    values: dict[str, Any] = {}
    for key, field in fields_by_name.items():
        if key in table:
            try:
                values[key] = msgspec.convert(table[key], types_by_name[key])
            except msgspec.ValidationError as error:
                problems.append(
                    _error(
                        "settings.E006",
                        f"{name}.{key}",
                        str(error),
                        help_text_of(field),
                    )
                )
        elif field.default is dataclasses.MISSING:
            problems.append(
                _error(
                    "settings.E007", f"{name}.{key}", "is missing", help_text_of(field)
                )
            )
    if problems:
        return None, problems
    return section_class(**values), []


def help_text_of(field: "dataclasses.Field[Any]") -> str:
    """Return the help text of a setting."""
    return str(field.metadata.get("help", ""))


def iter_settings(
    section_classes_by_name: Mapping[str, type],
) -> Iterator[tuple[str, "dataclasses.Field[Any]"]]:
    """Yield each setting's full key and field, for the settings reference."""
    for name, section_class in section_classes_by_name.items():
        for field in dataclasses.fields(cast(Any, section_class)):
            yield f"{name}.{field.name}", field


def _error(problem_id: str, key: str, message: str, hint: str = "") -> Problem:
    return Problem(
        Severity.ERROR, problem_id, key, message, hint or "See docs/settings.md."
    )
