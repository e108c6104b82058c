"""Removal of entries that have lost contact from the list of entries."""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.directory.listing import DirectorySlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.addresses.commands import RemoveEntry
from goldcrestyard.policy.entry_contact import Contact, EntryRecord, contact

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.25


async def remove_entries_without_contact(
    member: ControlMember, sessions: EntrySessions, clock: Clock
) -> None:
    """Remove entries without contact, during one term as leader.

    An entry that is in contact again announces itself.  Runs until it is
    cancelled.
    """
    entries = member.machine.get(DirectorySlice)
    leading_since = clock.monotonic()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        if not member.holds_lease():
            leading_since = clock.monotonic()
            continue
        for instance in list(entries.entries_by_id):
            # The process may have been suspended during a proposal.
            if not member.holds_lease():
                break
            renewed_at = sessions.renewed_at_by_entry.get(instance)
            record = EntryRecord(renewed_at, sessions.leases_by_entry.get(instance))
            found = contact(record, leading_since, clock.monotonic())
            if found is Contact.GOOD:
                continue
            logger.warning(
                "entry has lost contact; removing it from the address list",
                entry=instance,
                contact=found.value,
            )
            await member.propose(RemoveEntry(instance))
