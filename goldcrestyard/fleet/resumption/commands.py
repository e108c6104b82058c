"""Command and snapshot of the stream origins slice."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from goldcrestyard.core.calls import STREAM_DIGEST_BYTES
from goldcrestyard.core.ids import ServiceName, SoftwareVersion, StreamDigest
from goldcrestyard.policy.stream_origins import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginGroup:
    """Streams of one origin; their digests stand one after another."""

    service: ServiceName
    software: SoftwareVersion
    digests: bytes


@dataclass(frozen=True, slots=True)
class KeepOrigins:
    """Records streams that have begun, or have been taken up, lately."""

    groups: tuple[OriginGroup, ...]


@dataclass(frozen=True, slots=True)
class KeptOrigins:
    """The streams that were recorded at one time."""

    at: float
    """Age of the slice in seconds."""
    groups: tuple[OriginGroup, ...]


@dataclass(frozen=True, slots=True)
class OriginsSnapshot:
    """Snapshot of the slice, the oldest first."""

    kept: tuple[KeptOrigins, ...]
    age: float = 0.0
    """Age of the slice in seconds; see ``MAX_STEP_SECONDS``."""
    time: float = 0.0
    """Unix time in seconds of the latest command."""


def to_groups(
    origins: Iterable[tuple[StreamDigest, StreamOrigin]],
) -> tuple[OriginGroup, ...]:
    """Return streams grouped by their origin, which is then named once."""
    digests_by_origin: dict[StreamOrigin, list[bytes]] = {}
    for digest, origin in origins:
        digests_by_origin.setdefault(origin, []).append(digest)
    return tuple(
        OriginGroup(origin.service, origin.software, b"".join(digests))
        for origin, digests in digests_by_origin.items()
    )


def streams_of(
    groups: Iterable[OriginGroup],
) -> Iterator[tuple[StreamDigest, StreamOrigin]]:
    """Yield the streams of groups, each with its origin."""
    for group in groups:
        origin = StreamOrigin(group.service, group.software)
        for start in range(0, len(group.digests), STREAM_DIGEST_BYTES):
            digest = group.digests[start : start + STREAM_DIGEST_BYTES]
            yield StreamDigest(digest), origin
