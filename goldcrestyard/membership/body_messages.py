"""Messages of the body store."""

from dataclasses import dataclass

from goldcrestyard.core.ids import BodyDigest


@dataclass(frozen=True, slots=True)
class PutBody:
    """Asks a control member to store a body."""

    digest: BodyDigest
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyStored:
    """The body is synced to the member's disk."""

    digest: BodyDigest


@dataclass(frozen=True, slots=True)
class GetBody:
    """Asks a control member for a body."""

    digest: BodyDigest


@dataclass(frozen=True, slots=True)
class BodyFound:
    """The member's answer; None if it does not have the body."""

    body: bytes | None


BODY_MESSAGES = (PutBody, BodyStored, GetBody, BodyFound)
