"""Tests of the removal of entries that have lost contact.

They guard against a leader that was suspended and drops sound entries.
"""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.directory.pruning import remove_entries_without_contact
from goldcrestyard.policy.entry_contact import FIRST_CONTACT_SECONDS, SILENT_SECONDS
from goldcrestyard.policy.leases import EntryLease
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

LONG = 2 * max(FIRST_CONTACT_SECONDS, SILENT_SECONDS)


@dataclass
class FakeLeader:
    """Fake control member whose proposals remove entries."""

    names: list[InstanceId]
    lease: bool = True
    loses_lease: bool = False
    removed: list[InstanceId] = field(default_factory=list)

    @property
    def machine(self) -> Any:
        entries = SimpleNamespace(entries_by_id=dict.fromkeys(self.names))
        return SimpleNamespace(get=lambda _: entries)

    def holds_lease(self) -> bool:
        return self.lease

    async def propose(self, command: Any) -> None:
        self.removed.append(command.id)
        self.lease = not self.loses_lease


class PruningTests(PausedClockTestCase):
    """Which entries a leader removes, and when."""

    async def prune(self, leader: FakeLeader, renewed: list[InstanceId]) -> None:
        sessions = SimpleNamespace(renewed_at_by_entry={}, leases_by_entry={})
        task = asyncio.create_task(
            remove_entries_without_contact(
                cast(Any, leader), cast(Any, sessions), self.clock()
            )
        )
        end = self.clock().monotonic() + LONG
        while self.clock().monotonic() < end and not leader.removed:
            now = self.clock().monotonic()
            for name in renewed:
                sessions.renewed_at_by_entry[name] = now
                sessions.leases_by_entry[name] = EntryLease(cast(Any, 1), now + 5.0)
            await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_silent_entry_is_removed_and_others_stay(self) -> None:
        silent, sound = InstanceId("silent"), InstanceId("sound")
        leader = FakeLeader([sound, silent])
        quiet_logs(self)
        await self.prune(leader, [sound])
        self.assertEqual(leader.removed, [silent])

    async def test_nothing_is_removed_after_the_lease_is_lost(self) -> None:
        """The process may have been suspended while the first was removed."""
        names = [InstanceId(name) for name in ("a", "b", "c")]
        leader = FakeLeader(names, loses_lease=True)
        quiet_logs(self)
        await self.prune(leader, [])
        self.assertEqual(leader.removed, names[:1])
