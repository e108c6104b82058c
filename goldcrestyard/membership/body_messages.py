"""Messages between the body store's client and the control members."""

from dataclasses import dataclass

from goldcrestyard.core.ids import BodyDigest


@dataclass(frozen=True, slots=True)
class PutBody:
    """Asks a control member to store a body for at least ``keep_seconds``."""

    digest: BodyDigest
    body: bytes
    keep_seconds: float


@dataclass(frozen=True, slots=True)
class BodyStored:
    """Reply to ``PutBody``: the body is synced to the member's disk."""

    digest: BodyDigest


@dataclass(frozen=True, slots=True)
class GetBody:
    """Asks a control member for the body with a digest."""

    digest: BodyDigest


@dataclass(frozen=True, slots=True)
class BodyFound:
    """Reply to ``GetBody``; None if the member does not have the body."""

    body: bytes | None


BODY_MESSAGES = (PutBody, BodyStored, GetBody, BodyFound)
