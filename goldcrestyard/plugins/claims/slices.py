"""Replicated state of the claims of non-idempotent calls, and their outcomes.

The numbers of claims and the size of the stored bodies are bounded.
"""

from collections import Counter, OrderedDict, deque
from dataclasses import replace

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.claims.commands import (
    ClaimCall,
    ClaimsSnapshot,
    ReleaseClaim,
    SettleClaim,
)
from goldcrestyard.policy.claims import (
    CLAIM_RETENTION_SECONDS,
    Claim,
    ClaimKey,
    ClaimState,
    Granted,
    StoredOutcome,
    decide_claim,
    may_end_claim,
    without_large_body,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_EXPIRIES_PER_COMMAND = 8
"""Limit on the expired claims that a command removes.  A command adds at most
one claim, so expired claims do not accumulate, and no command scans all
claims."""

MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024
"""Limit on the size of the stored bodies of all outcomes.  Beyond it the
oldest bodies are dropped, but their outcomes are kept without them."""

MAX_CLAIMS = 150_000
MAX_CLAIMS_PER_ORGANISATION = 50_000
"""Limits on the retained claims, those of 24 hours, in total and for each
organisation.  A claim takes about 0.4 KB of a control member's memory and of
each snapshot."""


class ClaimsSlice(Slice):
    """Claims by organisation and request id, in the order of their expiry.

    Times are those of the log's envelopes, which never decrease, so a new or
    settled claim is placed at the end.
    """

    name = "claims"
    commands = (ClaimCall, SettleClaim, ReleaseClaim)

    def __init__(self) -> None:
        self.claims_by_key: OrderedDict[ClaimKey, Claim] = OrderedDict()
        self._count_by_organisation: Counter[OrganisationId] = Counter()
        self._body_bytes = 0
        # Settled claims with a body, oldest first.  It may contain claims
        # that have been removed or replaced since.
        self._claims_with_body: deque[Claim] = deque()

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case ClaimCall():
                return self._claim(command, context.time)
            case SettleClaim():
                return self._settle(command, context.time)
            case ReleaseClaim():
                return self._release(command)
        raise TypeError(f"unexpected command {command!r}")

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Remove some of the claims that have expired."""
        for _ in range(MAX_EXPIRIES_PER_COMMAND):
            claim = next(iter(self.claims_by_key.values()), None)
            if claim is None or claim.expires_at > context.time:
                return
            self._remove(claim)

    def _claim(self, command: ClaimCall, time: float) -> Outcome:
        requested = Claim(
            ClaimKey(command.organisation, command.request),
            command.route,
            command.fingerprint,
            command.entry,
            command.attempt,
            time,
            time + CLAIM_RETENTION_SECONDS,
        )
        known = self.claims_by_key.get(requested.key)
        decision = decide_claim(known, requested)
        if isinstance(decision, Granted) and (
            known is None or known.attempt != requested.attempt
        ):
            if known is not None:
                self._remove(known)
            elif not self._has_capacity(command.organisation):
                return Rejected(RefusalReason.CAPACITY, "too many calls are remembered")
            self.claims_by_key[requested.key] = requested
            self._count_by_organisation[command.organisation] += 1
        return decision

    def _has_capacity(self, organisation: OrganisationId) -> bool:
        """Return whether the organisation may claim another call."""
        return (
            len(self.claims_by_key) < MAX_CLAIMS
            and self._count_by_organisation[organisation] < MAX_CLAIMS_PER_ORGANISATION
        )

    def _settle(self, command: SettleClaim, time: float) -> Outcome:
        key = ClaimKey(command.organisation, command.request)
        known = self.claims_by_key.get(key)
        if known is None or not may_end_claim(known, command.attempt):
            return _reject_not_held(key)
        outcome = (
            without_large_body(command.outcome) if command.outcome is not None else None
        )
        state = ClaimState.UNKNOWN if outcome is None else ClaimState.SETTLED
        self._put(
            replace(
                known,
                state=state,
                outcome=outcome,
                expires_at=time + CLAIM_RETENTION_SECONDS,
            )
        )
        return Accepted()

    def _release(self, command: ReleaseClaim) -> Outcome:
        key = ClaimKey(command.organisation, command.request)
        known = self.claims_by_key.get(key)
        if known is None or not may_end_claim(known, command.attempt):
            return _reject_not_held(key)
        self._remove(known)
        return Accepted()

    def _put(self, claim: Claim) -> None:
        self.claims_by_key[claim.key] = claim
        self.claims_by_key.move_to_end(claim.key)
        if size := _body_size(claim.outcome):
            self._body_bytes += size
            self._claims_with_body.append(claim)
        while self._body_bytes > MAX_TOTAL_BODY_BYTES:
            self._drop_oldest_body()

    def _remove(self, claim: Claim) -> None:
        del self.claims_by_key[claim.key]
        self._count_by_organisation[claim.key.organisation] -= 1
        if not self._count_by_organisation[claim.key.organisation]:
            del self._count_by_organisation[claim.key.organisation]
        self._body_bytes -= _body_size(claim.outcome)
        # Claims expire in the order in which they were settled, so removed
        # ones are at the front.
        while self._claims_with_body and not self._is_current(
            self._claims_with_body[0]
        ):
            self._claims_with_body.popleft()

    def _drop_oldest_body(self) -> None:
        claim = self._claims_with_body.popleft()
        if claim.outcome is None or not self._is_current(claim):
            return
        self._body_bytes -= _body_size(claim.outcome)
        self.claims_by_key[claim.key] = replace(
            claim, outcome=replace(claim.outcome, body=None)
        )

    def _is_current(self, claim: Claim) -> bool:
        return self.claims_by_key.get(claim.key) is claim

    def to_snapshot(self) -> ClaimsSnapshot:
        """Return the state of the slice."""
        return ClaimsSnapshot(tuple(self.claims_by_key.values()))

    def load_snapshot(self, snapshot: ClaimsSnapshot) -> None:
        """Replace the state of the slice."""
        self.claims_by_key = OrderedDict()
        self._body_bytes = 0
        self._claims_with_body = deque()
        for claim in snapshot.claims:
            self._put(claim)
        self._count_by_organisation = Counter(
            key.organisation for key in self.claims_by_key
        )


def _body_size(outcome: StoredOutcome | None) -> int:
    return len(outcome.body) if outcome is not None and outcome.body else 0


def _reject_not_held(key: ClaimKey) -> Rejected:
    return Rejected(
        RefusalReason.CONFLICT, f"{key.request} is not held by this attempt"
    )
