"""Commands and snapshot of the claims slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import AttemptId, InstanceId, OrganisationId, RequestId
from goldcrestyard.policy.claims import Claim, StoredOutcome


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """Claims a call for one attempt; also asks how the call stands.

    ``fingerprint`` is a digest of the call's content.
    """

    organisation: OrganisationId
    request: RequestId
    route: str
    fingerprint: str
    entry: InstanceId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class SettleClaim:
    """The holder's call has ended; no outcome means that it is unknown."""

    organisation: OrganisationId
    request: RequestId
    attempt: AttemptId
    outcome: StoredOutcome | None


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """The holder's call has provably not run."""

    organisation: OrganisationId
    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ClaimsSnapshot:
    """The whole slice, in the order in which the claims expire."""

    claims: tuple[Claim, ...]
