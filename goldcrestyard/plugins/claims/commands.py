"""Commands and snapshot of the claims slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import AttemptId, InstanceId, OrganisationId, RequestId
from goldcrestyard.policy.claims import Claim, StoredOutcome


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """Claim a call for an attempt.

    If the call is already claimed, the outcome of the command tells its state.
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
    """Settle a claim after the call was sent.

    ``outcome`` is None if it is unknown whether the call has run.
    """

    organisation: OrganisationId
    request: RequestId
    attempt: AttemptId
    outcome: StoredOutcome | None


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release a claim whose call has certainly not run."""

    organisation: OrganisationId
    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ClaimsSnapshot:
    """Snapshot of the claims slice, in the order in which claims expire."""

    claims: tuple[Claim, ...]
