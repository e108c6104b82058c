"""Keeps this entry in the replicated list, and removes lost ones."""

import asyncio

import structlog

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.core.ids import CorrelationId, InstanceId
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry, RemoveEntry
from goldcrestyard.plugins.addresses.slices import EntriesSlice

logger = structlog.get_logger(__name__)

CHECK_SECONDS = 0.5
LOST_SECONDS = 10.0
"""An entry without a lease for this long leaves the list; a restart or an
election takes less."""


async def keep_announced(entry: Entry, view: EntryView, link: LeaderLink) -> None:
    """Propose this entry whenever the replicated list lacks it."""
    entries = view.machine.get(EntriesSlice)
    while True:
        if view.holds_lease() and entries.entries_by_id.get(entry.id) != entry:
            await link.propose(PutEntry(entry))
        await asyncio.sleep(CHECK_SECONDS)


async def remove_lost(
    member: ControlMember, sessions: EntrySessions, clock: Clock
) -> None:
    """Remove entries without a lease from the list, while this leads."""
    entries = member.machine.get(EntriesSlice)
    missing_since_by_id: dict[InstanceId, float] = {}
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        if not member.holds_lease():
            missing_since_by_id.clear()
            continue
        now = clock.monotonic()
        for instance in list(entries.entries_by_id):
            lease = sessions.leases_by_entry.get(instance)
            if lease is not None and now < lease.expires_at:
                missing_since_by_id.pop(instance, None)
                continue
            missing_since = missing_since_by_id.setdefault(instance, now)
            if now - missing_since > LOST_SECONDS:
                logger.warning("entry is lost", entry=instance)
                await member.propose(
                    RemoveEntry(instance), member.instance, CorrelationId("")
                )
                missing_since_by_id.pop(instance, None)
