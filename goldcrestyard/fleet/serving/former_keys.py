"""Keys that no organisation holds any more, with their last holders."""

from collections import OrderedDict

from goldcrestyard.core.ids import KeyHash, OrganisationId
from goldcrestyard.core.keys import hash_secret
from goldcrestyard.fleet.serving.commands import FormerKey
from goldcrestyard.policy.serving import ServingTable

FORMER_KEY_SECONDS = 3600.0
"""Time in seconds for which a key that was taken away is remembered, the
longest time for which a job is kept."""

MAX_FORMER_KEYS = 4096
"""Maximum number of keys that are remembered; beyond it the oldest one is
forgotten.  They take 1 MB."""


class FormerKeys:
    """Remembers who held a key, to tell whose jobs it submitted.

    A former key authenticates nobody.
    """

    def __init__(self) -> None:
        self._former_by_hash: OrderedDict[KeyHash, FormerKey] = OrderedDict()

    def holder(self, key_hash: KeyHash) -> OrganisationId | None:
        """Return the last holder of a key, or None if it is not known."""
        former = self._former_by_hash.get(key_hash)
        return None if former is None else former.organisation

    def update(self, before: ServingTable, after: ServingTable, time: float) -> None:
        """Add the keys that a configuration no longer has."""
        for key, organisation in before.holders_by_key.items():
            if after.organisation(key) is None:
                former = FormerKey(hash_secret(key), organisation.id, time)
                self._former_by_hash.pop(former.key_hash, None)
                self._former_by_hash[former.key_hash] = former
        while self._former_by_hash:
            oldest = next(iter(self._former_by_hash.values()))
            if (
                time - oldest.at <= FORMER_KEY_SECONDS
                and len(self._former_by_hash) <= MAX_FORMER_KEYS
            ):
                break
            del self._former_by_hash[oldest.key_hash]

    def to_snapshot(self) -> tuple[FormerKey, ...]:
        """Return the keys, the oldest first."""
        return tuple(self._former_by_hash.values())

    def load_snapshot(self, former: tuple[FormerKey, ...]) -> None:
        """Replace the keys by those of a snapshot."""
        self._former_by_hash = OrderedDict((key.key_hash, key) for key in former)
