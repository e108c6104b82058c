"""Weight versions of samples, and the limit on their age.

A sample is labelled with the weight versions that generated it.  It is handed
out only if none of them is too many published versions behind.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from goldcrestyard.core.decoding import MAX_WHOLE_NUMBER, parse_count
from goldcrestyard.core.ids import WeightVersion

VersionsBehind = Callable[[WeightVersion], int | None]
"""Returns how many published versions are newer than the given one, or None if
the given version is not known to have been published."""


@dataclass(frozen=True, slots=True)
class Span:
    """Consecutive tokens of a sample that one weight version generated."""

    version: WeightVersion
    tokens: int


def extend_spans(
    spans: tuple[Span, ...], version: WeightVersion, tokens: int
) -> tuple[Span, ...]:
    """Return the spans with a further piece of the stream added.

    A piece without tokens counts as well, since its version decided to end
    the sample.
    """
    if spans and spans[-1].version == version:
        return (*spans[:-1], Span(version, spans[-1].tokens + tokens))
    return (*spans, Span(version, tokens))


def parse_version(value: object) -> WeightVersion | None:
    """Return the weight version in a field of a piece, or None without one."""
    match value:
        case bool():
            return None
        case int() if 0 <= value <= MAX_WHOLE_NUMBER:
            return WeightVersion(value)
        case str() if (version := parse_count(value)) is not None:
            return WeightVersion(version)
    return None


def barred_versions(
    versions: Iterable[WeightVersion],
    versions_behind: VersionsBehind,
    max_versions_behind: int,
) -> tuple[WeightVersion, ...]:
    """Return the versions because of which a sample must not be handed out.

    These are the versions that are too far behind and those that are not
    known to be published, since their age is unknown.
    """
    result = []
    for version in sorted(set(versions)):
        behind = versions_behind(version)
        if behind is None or behind > max_versions_behind:
            result.append(version)
    return tuple(result)


def too_old_versions(
    versions: Iterable[WeightVersion],
    versions_behind: VersionsBehind,
    max_versions_behind: int,
) -> tuple[WeightVersion, ...]:
    """Return the versions that are certainly too far behind.

    An unknown version does not count, since it may just have been published.
    """
    return tuple(
        version
        for version in sorted(set(versions))
        if (behind := versions_behind(version)) is not None
        and behind > max_versions_behind
    )
