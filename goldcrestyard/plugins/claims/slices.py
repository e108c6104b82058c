"""Replicated state: claims of non-idempotent calls and their outcomes."""

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

EXPIRED_PER_COMMAND = 8
"""A command adds one claim at most, so this keeps up with any rate without
ever scanning all claims."""

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Bound on the bodies of all outcomes together; beyond it the oldest bodies
are dropped, while their outcomes stay known."""


MAX_CLAIMS = 150_000
MAX_CLAIMS_OF_ONE = 50_000
"""Bounds on the claims of 24 hours, for all and for one organisation.  A claim
takes about 0.4 KB of a control member's memory and of each snapshot."""


class ClaimsSlice(Slice):
    """Claims by organisation and request id, the first to expire first.

    Times are those of the log's envelopes, which never decrease, so each new
    or settled claim goes to the end.
    """

    name = "claims"
    commands = (ClaimCall, SettleClaim, ReleaseClaim)

    def __init__(self) -> None:
        self.claims_by_key: OrderedDict[ClaimKey, Claim] = OrderedDict()
        self._count_by_organisation: Counter[OrganisationId] = Counter()
        self._body_bytes = 0
        # Settled claims with a body, oldest first; may name claims that have
        # expired or were replaced since.
        self._with_body: deque[Claim] = deque()

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
        """Remove claims that have expired, a few at each command."""
        for _ in range(EXPIRED_PER_COMMAND):
            claim = next(iter(self.claims_by_key.values()), None)
            if claim is None or claim.expires_at > context.time:
                return
            self._remove(claim)

    def _claim(self, command: ClaimCall, time: float) -> Outcome:
        asked = Claim(
            ClaimKey(command.organisation, command.request),
            command.route,
            command.fingerprint,
            command.entry,
            command.attempt,
            time,
            time + CLAIM_RETENTION_SECONDS,
        )
        known = self.claims_by_key.get(asked.key)
        decision = decide_claim(known, asked)
        if isinstance(decision, Granted) and (
            known is None or known.attempt != asked.attempt
        ):
            if known is not None:
                self._remove(known)
            elif not self._has_room(command.organisation):
                return Rejected(RefusalReason.CAPACITY, "too many calls are remembered")
            self.claims_by_key[asked.key] = asked
            self._count_by_organisation[command.organisation] += 1
        return decision

    def _has_room(self, organisation: OrganisationId) -> bool:
        """Return whether another call of an organisation may be claimed."""
        return (
            len(self.claims_by_key) < MAX_CLAIMS
            and self._count_by_organisation[organisation] < MAX_CLAIMS_OF_ONE
        )

    def _settle(self, command: SettleClaim, time: float) -> Outcome:
        key = ClaimKey(command.organisation, command.request)
        known = self.claims_by_key.get(key)
        if known is None or not may_end_claim(known, command.attempt):
            return _not_held(key)
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
            return _not_held(key)
        self._remove(known)
        return Accepted()

    def _put(self, claim: Claim) -> None:
        self.claims_by_key[claim.key] = claim
        self.claims_by_key.move_to_end(claim.key)
        if size := _body_size(claim.outcome):
            self._body_bytes += size
            self._with_body.append(claim)
        while self._body_bytes > MAX_BODY_BYTES:
            self._drop_oldest_body()

    def _remove(self, claim: Claim) -> None:
        del self.claims_by_key[claim.key]
        self._count_by_organisation[claim.key.organisation] -= 1
        if not self._count_by_organisation[claim.key.organisation]:
            del self._count_by_organisation[claim.key.organisation]
        self._body_bytes -= _body_size(claim.outcome)
        # Claims expire in the order in which they were settled, so those
        # that are gone are at the front.
        while self._with_body and not self._is_current(self._with_body[0]):
            self._with_body.popleft()

    def _drop_oldest_body(self) -> None:
        claim = self._with_body.popleft()
        if claim.outcome is None or not self._is_current(claim):
            return
        self._body_bytes -= _body_size(claim.outcome)
        self.claims_by_key[claim.key] = replace(
            claim, outcome=replace(claim.outcome, body=None)
        )

    def _is_current(self, claim: Claim) -> bool:
        return self.claims_by_key.get(claim.key) is claim

    def to_snapshot(self) -> ClaimsSnapshot:
        """Return the whole slice."""
        return ClaimsSnapshot(tuple(self.claims_by_key.values()))

    def load_snapshot(self, snapshot: ClaimsSnapshot) -> None:
        """Replace the slice."""
        self.claims_by_key = OrderedDict()
        self._body_bytes = 0
        self._with_body = deque()
        for claim in snapshot.claims:
            self._put(claim)
        self._count_by_organisation = Counter(
            key.organisation for key in self.claims_by_key
        )


def _body_size(outcome: StoredOutcome | None) -> int:
    return len(outcome.body) if outcome is not None and outcome.body else 0


def _not_held(key: ClaimKey) -> Rejected:
    return Rejected(
        RefusalReason.CONFLICT, f"{key.request} is not held by this attempt"
    )
