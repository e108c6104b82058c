"""Labels of samples: which weight versions made them, and their age."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import WeightVersion

VersionsBehind = Callable[[WeightVersion], int | None]
"""Returns how many published versions are newer than one, or None for a
version that is not known to have been published."""


@dataclass(frozen=True, slots=True)
class Span:
    """Consecutive tokens of a sample that one weight version produced."""

    version: WeightVersion
    tokens: int


def extend(
    spans: tuple[Span, ...], version: WeightVersion, tokens: int
) -> tuple[Span, ...]:
    """Return the spans after a further piece of the stream.

    A piece without tokens counts too: its version took part in the sample
    by ending it.
    """
    if spans and spans[-1].version == version:
        return (*spans[:-1], Span(version, spans[-1].tokens + tokens))
    return (*spans, Span(version, tokens))


def version_of(value: object) -> WeightVersion | None:
    """Return the version that a piece names, or None if it names none."""
    match value:
        case bool():
            return None
        case int() if value >= 0:
            return WeightVersion(value)
        case str() if value.isascii() and value.isdigit():
            return WeightVersion(int(value))
    return None


def barred_versions(
    versions: Iterable[WeightVersion],
    versions_behind: VersionsBehind,
    max_versions_behind: int,
) -> tuple[WeightVersion, ...]:
    """Return the versions with which a sample may not be handed out.

    These are the ones past the bound, and those that were never published:
    the age of such a sample is not known.
    """
    barred = []
    for version in sorted(set(versions)):
        behind = versions_behind(version)
        if behind is None or behind > max_versions_behind:
            barred.append(version)
    return tuple(barred)
