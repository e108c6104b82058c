"""Where a stream may go on, by the software version that began it.

What two software versions of a service generate does not fit together, so
the later events of a stream come from the version that wrote the first one.
"""

from collections.abc import Collection
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.core.ids import (
    EventNumber,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from goldcrestyard.core.records import Target

TAKE_UP_SECONDS = 60.0
"""Time in seconds after the first event within which a caller may still take a
stream up.  Callers give up at their deadline, 12 s on the routes in use; the
rest covers longer routes and the difference between the clocks."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that wrote the first event of a stream."""

    service: ServiceName
    software: SoftwareVersion

    def fits(self, target: Target) -> bool:
        """Return whether the present run of a target may continue the stream.

        A version that is not known may be another one each time.
        """
        return (
            self.software != ""
            and target.software == self.software
            and self.service in target.serves
        )


@dataclass(frozen=True, slots=True)
class TakeUp:
    """A caller's wish to go on with a stream after its last event."""

    first: RequestId | None
    """The attempt that brought the first event; None if none is named."""
    after: EventNumber | None
    """The last event that the caller has; None if no number is named."""


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """The stream's first event is recorded with its origin."""

    origin: StreamOrigin


@dataclass(frozen=True, slots=True)
class OnlyVersion:
    """Nothing else can have begun the stream."""

    origin: StreamOrigin


@dataclass(frozen=True, slots=True)
class UnknownOrigin:
    """The stream may have been begun by another version; it cannot go on."""


OriginDecision = KnownOrigin | OnlyVersion | UnknownOrigin


def only_origin(
    services: Collection[ServiceName],
    software: AbstractSet[SoftwareVersion] | None,
) -> StreamOrigin | None:
    """Return the only possible origin of a route's streams, or None.

    ``software`` are all versions that served the first of the services within
    ``TAKE_UP_SECONDS``; None if that is not known.
    """
    if len(services) != 1 or software is None or len(software) != 1:
        return None
    (service,), (version,) = services, software
    return StreamOrigin(service, version) if version else None


def decide_origin(
    take_up: TakeUp,
    only: StreamOrigin | None,
    recorded: StreamOrigin | None,
    services: Collection[ServiceName],
) -> OriginDecision:
    """Return the origin of a stream that a caller takes up.

    ``recorded`` is what is known of the first attempt, and ``services`` are
    those of the route at present.
    """
    match take_up, only, recorded:
        case TakeUp(after=None), _, _:
            return UnknownOrigin()
        case _, _, StreamOrigin(service=service) if (
            recorded.software and service in services
        ):
            return KnownOrigin(recorded)
        case _, StreamOrigin(), None:
            return OnlyVersion(only)
        case _:
            return UnknownOrigin()


def merge_origins(known: StreamOrigin | None, noted: StreamOrigin) -> StreamOrigin:
    """Return what is known of a stream that is recorded once more.

    Two streams of one attempt id cannot be told apart, so neither goes on.
    """
    if known is None or known == noted:
        return noted
    return StreamOrigin(noted.service, SoftwareVersion(""))
