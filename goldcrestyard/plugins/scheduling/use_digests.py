"""Token use by organisation, shared between entries through the leader."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, OrganisationId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.fairness import TokenUse
from goldcrestyard.wire.codec import Codec

CHANNEL = "token_use"

MAX_ORGANISATIONS = 256
"""Only the largest users are told; the rest hardly weigh in the order."""

STALE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class TokenUseDigest:
    """Decayed tokens by organisation."""

    tokens_by_organisation: dict[OrganisationId, int]


def make_digest(tokens_by_id: dict[OrganisationId, float]) -> TokenUseDigest:
    """Return a digest of the largest users."""
    largest = sorted(tokens_by_id.items(), key=lambda item: -item[1])
    return TokenUseDigest(
        {
            organisation: round(tokens)
            for organisation, tokens in largest[:MAX_ORGANISATIONS]
        }
    )


class TokenUseChannel(DigestChannel):
    """Tells this entry's use and learns that of the others."""

    name = CHANNEL

    def __init__(self, use: TokenUse, codec: Codec, clock: Clock) -> None:
        self._use = use
        self._codec = codec
        self._clock = clock

    def collect(self) -> bytes:
        """Return this entry's use."""
        now = self._clock.monotonic()
        return self._codec.encode(make_digest(self._use.own_use(now)))

    def receive(self, summary: bytes) -> None:
        """Learn the use of the other entries."""
        digest = self._codec.decode(summary)
        if isinstance(digest, TokenUseDigest):
            others = {
                organisation: float(tokens)
                for organisation, tokens in digest.tokens_by_organisation.items()
            }
            self._use.learn_others(others, self._clock.monotonic())


class TokenUseMerger(DigestMerger):
    """Adds up the use of all entries.

    The total is kept as it changes, so that a renewal costs the size of one
    digest and not of all of them.
    """

    name = CHANNEL

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self._use_by_entry: dict[InstanceId, dict[OrganisationId, int]] = {}
        self._heard_at: dict[InstanceId, float] = {}
        self._totals_by_id: dict[OrganisationId, int] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Replace an entry's share of the totals."""
        decoded = self._codec.decode(digest)
        if not isinstance(decoded, TokenUseDigest):
            return
        self._subtract(entry)
        self._use_by_entry[entry] = decoded.tokens_by_organisation
        for organisation, tokens in decoded.tokens_by_organisation.items():
            total = self._totals_by_id.get(organisation, 0) + tokens
            self._totals_by_id[organisation] = total
        # Moved to the end, so that the entries stay in the order heard from.
        self._heard_at.pop(entry, None)
        self._heard_at[entry] = self._clock.monotonic()
        self._forget_silent()

    def summary(self, entry: InstanceId) -> bytes:
        """Return the use on all other entries."""
        own = self._use_by_entry.get(entry, {})
        others = {
            organisation: float(total - own.get(organisation, 0))
            for organisation, total in self._totals_by_id.items()
            if total > own.get(organisation, 0)
        }
        return self._codec.encode(make_digest(others))

    def _forget_silent(self) -> None:
        oldest = self._clock.monotonic() - STALE_SECONDS
        while self._heard_at:
            entry, heard_at = next(iter(self._heard_at.items()))
            if heard_at >= oldest:
                return
            self._subtract(entry)
            del self._use_by_entry[entry]
            del self._heard_at[entry]

    def _subtract(self, entry: InstanceId) -> None:
        for organisation, tokens in self._use_by_entry.get(entry, {}).items():
            remaining = self._totals_by_id[organisation] - tokens
            if remaining:
                self._totals_by_id[organisation] = remaining
            else:
                del self._totals_by_id[organisation]
