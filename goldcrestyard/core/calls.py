"""Requests on their way to targets, and what the targets answer."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from goldcrestyard.core.attempts import AttemptFailure, Broken
from goldcrestyard.core.ids import (
    EventNumber,
    OrganisationId,
    RequestId,
    WeightVersion,
)
from goldcrestyard.core.records import Target

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class TargetCall:
    """A request in the form in which it goes to a target."""

    request: RequestId
    method: str
    host: str
    path_and_query: str
    headers: Headers
    body: bytes
    organisation: OrganisationId | None = None
    resume_after: EventNumber | None = None
    """The last event that an earlier attempt has delivered."""
    repeatable: bool = False
    """Whether a fault of a kept connection may cost a second run."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a target's stream."""

    number: EventNumber
    data: bytes
    raw: bytes
    """The event as the target sent it, with its end."""
    version: WeightVersion | None = None
    """The weight version from this event on, if the event names it."""


class TargetReply(ABC):
    """A target's answer, whose head has arrived."""

    status: int
    headers: Headers
    signature: str
    """Proof of the target that it made the answer; empty if there is none."""
    version: WeightVersion | None

    @abstractmethod
    async def read(self) -> bytes | Broken:
        """Return the whole body, or why it is not whole."""

    @abstractmethod
    def events(self) -> AsyncIterator[StreamEvent | Broken]:
        """Yield the events; one that breaks off ends with ``Broken``."""


class TargetClient(Protocol):
    """Sends requests to targets."""

    def open(
        self, target: Target, call: TargetCall, seconds_left: float
    ) -> AbstractAsyncContextManager[TargetReply | AttemptFailure]:
        """Send a request once; leaving the block ends the target's work.

        A reply that refuses the request unrun is returned as ``TurnedAway``.
        """
        ...
