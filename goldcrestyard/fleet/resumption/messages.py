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
    """Asks the leader for the origin of a stream.

    ``host`` and ``prefix`` are those of its route.  ``stream`` is empty if the
    caller does not name the attempt that began it.
    """

    stream: StreamDigest
    host: str = ""
    prefix: str = ""


@dataclass(frozen=True, slots=True)
class OriginReply:
    """Reply to ``AskOrigin``."""

    service: ServiceName
    software: SoftwareVersion


@dataclass(frozen=True, slots=True)
class OriginNotKnown:
    """Reply to ``AskOrigin``: no such stream is recorded.

    If nothing else can have begun a stream of the route, the service and the
    software version that did are named.
    """

    only_service: ServiceName = ServiceName("")
    only_software: SoftwareVersion = SoftwareVersion("")


MESSAGES = (RecordOrigins, OriginsRecorded, AskOrigin, OriginReply, OriginNotKnown)
