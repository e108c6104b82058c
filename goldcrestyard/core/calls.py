"""Interface of the clients that send requests to targets.

The gateway and the job runner depend on ``TargetClient`` only; an adapter
for the protocol of the targets implements it.
"""

import hashlib
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from goldcrestyard.core.attempts import AttemptFailure, Broken
from goldcrestyard.core.decoding import bytes_of
from goldcrestyard.core.ids import (
    EventNumber,
    OrganisationId,
    RequestDigest,
    RequestId,
    StreamDigest,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServingRoute

Headers = tuple[tuple[str, str], ...]

REQUEST_DIGEST_BYTES = 16
STREAM_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class TargetCall:
    """A request as it is sent to a target."""

    request: RequestId
    method: str
    host: str
    path_and_query: str
    headers: Headers
    body: bytes
    organisation: OrganisationId | None = None
    resume_after: EventNumber | None = None
    """Number of the last event that an earlier attempt delivered; the stream
    resumes after it.  None means that the stream starts at the beginning."""
    repeatable: bool = False
    """Whether the client may send the request again on a new connection when
    a reused one fails, at the risk that the target runs it twice."""
    urgency: int | None = None
    """Urgency that the target is told, 0 the highest; None to tell none."""


def request_digest(call: TargetCall) -> RequestDigest:
    """Return the digest by which a request is recognised when it comes again.

    It covers the organisation, the path and the body; the id differs from
    attempt to attempt.
    """
    digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
    parts = (call.organisation or "", call.method, call.host, call.path_and_query)
    _update(digest, parts)
    digest.update(call.body)
    return RequestDigest(digest.digest())


def stream_digest(
    organisation: OrganisationId | None, route: ServingRoute, attempt: RequestId
) -> StreamDigest:
    """Return the digest by which a stream is recognised when it is taken up.

    It covers the organisation and the route, so that the id of another one's
    stream finds nothing.
    """
    digest = hashlib.blake2b(digest_size=STREAM_DIGEST_BYTES)
    _update(digest, (organisation or "", route.host, route.prefix, attempt))
    return StreamDigest(digest.digest())


def _update(digest: hashlib.blake2b, parts: Iterable[str]) -> None:
    """Add texts to a digest; their lengths keep them apart."""
    for part in parts:
        encoded = bytes_of(part)
        digest.update(len(encoded).to_bytes(8))
        digest.update(encoded)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a target's event stream."""

    number: EventNumber
    data: bytes
    raw: bytes
    """The event's bytes as received, including its terminator."""
    version: WeightVersion | None = None
    """The weight version that generates from this event on; None if the event
    does not name one."""


class TargetReply(ABC):
    """A target's answer: status and headers received, body still to read."""

    status: int
    headers: Headers
    signature: str
    """The target's signature of its answer; empty if there is none."""
    version: WeightVersion | None
    """The weight version at the start of the answer; None if not named."""

    @abstractmethod
    async def read(self) -> bytes | Broken:
        """Return the complete body, or ``Broken`` if it is truncated."""

    @abstractmethod
    async def read_to_end(self, max_bytes: int) -> Broken | None:
        """Read the body without keeping it.

        ``Broken`` is returned if it is truncated or longer than ``max_bytes``.
        """

    @abstractmethod
    def events(self) -> AsyncIterator[StreamEvent | Broken]:
        """Yield the events; ``Broken`` comes last if the stream is cut off."""


class TargetClient(Protocol):
    """Sends requests to targets."""

    def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AbstractAsyncContextManager[TargetReply | AttemptFailure]:
        """Make one attempt; leaving the block cancels it at the target.

        An answer which proves that the target did not run the request is
        returned as ``TurnedAway``.
        """
        ...

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether a target refuses a new connection, as one that ended.

        A target that does not answer at all may be out of reach instead.
        """
        ...
