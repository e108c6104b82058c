"""Messages between entries and the leader about the origins of streams."""

from dataclasses import dataclass

from goldcrestyard.core.ids import ServiceName, SoftwareVersion, StreamDigest
from goldcrestyard.fleet.resumption.commands import OriginGroup


@dataclass(frozen=True, slots=True)
class RecordOrigins:
    """Streams whose first event an entry has passed on."""

    groups: tuple[OriginGroup, ...]


@dataclass(frozen=True, slots=True)
class OriginsRecorded:
    """Reply to ``RecordOrigins``: the streams are committed."""


@dataclass(frozen=True, slots=True)
class AskOrigin:
    """Asks the leader for the origin of a stream."""

    stream: StreamDigest


@dataclass(frozen=True, slots=True)
class OriginReply:
    """Reply to ``AskOrigin``."""

    service: ServiceName
    software: SoftwareVersion


@dataclass(frozen=True, slots=True)
class OriginNotKnown:
    """Reply to ``AskOrigin``: no such stream is recorded."""


MESSAGES = (RecordOrigins, OriginsRecorded, AskOrigin, OriginReply, OriginNotKnown)
