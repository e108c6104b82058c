"""Tests of the exchange of token use between entries.

They guard against an organisation that gets its full share at every entry
because entries do not know of its use elsewhere.
"""

import asyncio

from goldcrestyard.core.ids import InstanceId, OrganisationId
from goldcrestyard.plugins.scheduling.use_digests import (
    MAX_DIGEST_AGE_SECONDS,
    TokenUseChannel,
    TokenUseDigest,
    TokenUseMerger,
)
from goldcrestyard.policy.fairness import TokenUse
from goldcrestyard.wire.codec import Codec
from tests.fakes.paused_clock import PausedClockTestCase

TEJO = OrganisationId("tejo")


class TokenUseDigestTests(PausedClockTestCase):
    """Token use that each entry knows of the other entries."""

    async def asyncSetUp(self) -> None:
        codec = Codec()
        codec.register(TokenUseDigest)
        self.merger = TokenUseMerger(codec, self.clock())
        self.uses_by_entry = {InstanceId(name): TokenUse() for name in "abc"}
        self.channels_by_entry = {
            entry: TokenUseChannel(use, codec, self.clock())
            for entry, use in self.uses_by_entry.items()
        }

    def exchange(self, *entries: str) -> None:
        """Renew the given entries one after the other."""
        for entry in map(InstanceId, entries):
            channel = self.channels_by_entry[entry]
            self.merger.merge(entry, channel.collect())
            channel.receive(self.merger.summary(entry))

    def use_of(self, entry: str) -> float:
        """Return the total token use that an entry knows of."""
        now = self.clock().monotonic()
        return self.uses_by_entry[InstanceId(entry)].total_use(TEJO, now)

    async def test_each_entry_learns_the_use_of_all_without_its_own(self) -> None:
        self.uses_by_entry[InstanceId("a")].charge(TEJO, 100, 0.0)
        self.uses_by_entry[InstanceId("b")].charge(TEJO, 20, 0.0)
        self.exchange("a", "b", "c", "a", "b", "c", "a")
        self.assertEqual([self.use_of(entry) for entry in "abc"], [120, 120, 120])

    async def test_use_of_a_lost_entry_is_forgotten(self) -> None:
        self.uses_by_entry[InstanceId("a")].charge(TEJO, 100, 0.0)
        self.exchange("a", "b")
        await asyncio.sleep(MAX_DIGEST_AGE_SECONDS + 1)
        self.exchange("b", "b")
        self.assertEqual(self.use_of("b"), 0.0)
