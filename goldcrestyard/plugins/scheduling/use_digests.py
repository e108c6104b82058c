"""Exchange of token use by organisation between entries.

Each entry sends its own use on its lease renewals, and the leader answers
with the sum of the other entries' use, for fair queueing across entries.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, OrganisationId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.policy.fairness import TokenUse
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "token_use"

MAX_DIGEST_ORGANISATIONS = 256
"""Only the largest users are sent, as others hardly affect the queue order."""

MAX_DIGEST_AGE_SECONDS = 10.0
"""An entry's use is dropped if the entry has not renewed for this long."""


@dataclass(frozen=True, slots=True)
class TokenUseDigest:
    """Decayed token counts by organisation."""

    tokens_by_organisation: dict[OrganisationId, int]


def digest_of_largest_users(
    tokens_by_id: dict[OrganisationId, float],
) -> TokenUseDigest:
    """Return a digest of the organisations with the largest token use."""
    largest = sorted(tokens_by_id.items(), key=lambda item: -item[1])
    return TokenUseDigest(
        {
            organisation: round(tokens)
            for organisation, tokens in largest[:MAX_DIGEST_ORGANISATIONS]
        }
    )


class TokenUseChannel(DigestChannel):
    """Sends this entry's token use and records that of the other entries."""

    name = CHANNEL_NAME

    def __init__(self, use: TokenUse, codec: Codec, clock: Clock) -> None:
        self._use = use
        self._codec = codec
        self._clock = clock

    def collect(self) -> bytes:
        """Return this entry's token use as an encoded digest."""
        now = self._clock.monotonic()
        return self._codec.encode(digest_of_largest_users(self._use.own_use(now)))

    def receive(self, summary: bytes) -> None:
        """Replace the known token use of the other entries."""
        digest = self._codec.decode(summary)
        if isinstance(digest, TokenUseDigest):
            others = {
                organisation: float(tokens)
                for organisation, tokens in digest.tokens_by_organisation.items()
            }
            self._use.learn_others(others, self._clock.monotonic())


class TokenUseMerger(DigestMerger):
    """Adds up the token use of all entries.

    The totals are updated with each digest, so that a renewal takes time in
    proportion to one digest and not to all of them.
    """

    name = CHANNEL_NAME

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self._codec = codec
        self._clock = clock
        self._use_by_entry: dict[InstanceId, dict[OrganisationId, int]] = {}
        self._received_at_by_entry: dict[InstanceId, float] = {}
        self._totals_by_id: dict[OrganisationId, int] = {}

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Replace an entry's part of the totals."""
        decoded = self._codec.decode(digest)
        if not isinstance(decoded, TokenUseDigest):
            return
        self._subtract(entry)
        self._use_by_entry[entry] = decoded.tokens_by_organisation
        for organisation, tokens in decoded.tokens_by_organisation.items():
            total = self._totals_by_id.get(organisation, 0) + tokens
            self._totals_by_id[organisation] = total
        # Removed first, so that the entries stay ordered by time of receipt.
        self._received_at_by_entry.pop(entry, None)
        self._received_at_by_entry[entry] = self._clock.monotonic()
        self._remove_expired()

    def summary(self, entry: InstanceId) -> bytes:
        """Return the total token use of all entries except the given one."""
        own = self._use_by_entry.get(entry, {})
        others = {
            organisation: float(total - own.get(organisation, 0))
            for organisation, total in self._totals_by_id.items()
            if total > own.get(organisation, 0)
        }
        return self._codec.encode(digest_of_largest_users(others))

    def _remove_expired(self) -> None:
        """Remove the use of entries that no longer send digests."""
        oldest = self._clock.monotonic() - MAX_DIGEST_AGE_SECONDS
        while self._received_at_by_entry:
            entry, received_at = next(iter(self._received_at_by_entry.items()))
            if received_at >= oldest:
                return
            self._subtract(entry)
            del self._use_by_entry[entry]
            del self._received_at_by_entry[entry]

    def _subtract(self, entry: InstanceId) -> None:
        for organisation, tokens in self._use_by_entry.get(entry, {}).items():
            remaining = self._totals_by_id[organisation] - tokens
            if remaining:
                self._totals_by_id[organisation] = remaining
            else:
                del self._totals_by_id[organisation]
