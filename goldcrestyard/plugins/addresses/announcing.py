"""Registration of entries in the replicated address list.

``EntryAnnouncer`` keeps this entry registered; on the leader,
``remove_lost_entries`` removes entries that have lost their lease.
"""

import asyncio
from dataclasses import replace
from typing import Protocol

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry, RemoveEntry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings

logger = structlog.get_logger(__name__)

CHECK_INTERVAL_SECONDS = 0.5
MARK_DRAINING_TIMEOUT_SECONDS = 10.0
REMOVE_TIMEOUT_SECONDS = 2.0
LOST_ENTRY_TIMEOUT_SECONDS = 10.0
"""Time without a lease after which an entry is removed from the list.  A
restart or an election takes less."""


def own_entry(app: Application) -> Entry:
    """Return this instance's entry as configured in the settings."""
    instance = app.settings.section(InstanceSettings)
    listeners = app.settings.section(ListenerSettings)
    return Entry(
        instance.id,
        listeners.public,
        listeners.admin,
        instance.data_centre,
        instance.region,
        peer_address=app.settings.section(ClusterSettings).peer_address,
    )


class EntryListing(Protocol):
    """How an entry learns whether the replicated list has it."""

    def lists(self, entry: Entry) -> bool:
        """Return whether the list has exactly this entry.

        True also while that is not known yet.
        """
        ...

    def record(self, entry: Entry) -> None:
        """Record that this entry was committed."""
        ...


class ReplicatedListing:
    """Reads the list from the replicated state, where entries keep it."""

    def __init__(self, view: EntryView) -> None:
        self._entries = view.machine.get(EntriesSlice)

    def lists(self, entry: Entry) -> bool:
        """Return whether the list has exactly this entry."""
        return self._entries.entries_by_id.get(entry.id) == entry

    def record(self, entry: Entry) -> None:
        """Do nothing: the commit changes the replicated state."""


class EntryAnnouncer:
    """Keeps this entry and its draining state in the replicated list."""

    def __init__(
        self, entry: Entry, view: EntryView, link: LeaderLink, listing: EntryListing
    ) -> None:
        self._entry = entry
        self._view = view
        self._link = link
        self._listing = listing
        self._removed = False

    async def run(self) -> None:
        """Propose this entry whenever the list lacks it or differs."""
        while not self._removed:
            entry = self._entry
            if self._view.holds_lease() and not self._listing.lists(entry):
                result = await self._link.propose(PutEntry(entry))
                if isinstance(result, Applied):
                    self._listing.record(entry)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def mark_draining(self) -> None:
        """Mark this entry as draining, so that callers no longer get it.

        Gives up after a time-out if there is no leader: an entry without a
        lease serves only routes without a key, and must be able to stop.
        """
        self._entry = replace(self._entry, draining=True)
        try:
            async with asyncio.timeout(MARK_DRAINING_TIMEOUT_SECONDS):
                while True:
                    result = await self._link.propose(PutEntry(self._entry))
                    if isinstance(result, Applied):
                        return
                    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        except TimeoutError:
            logger.warning(
                "draining not committed in time; entry stays on the address list"
            )

    async def remove(self) -> None:
        """Remove this entry from the list after its last request."""
        self._removed = True
        await self._link.propose(
            RemoveEntry(self._entry.id), timeout=REMOVE_TIMEOUT_SECONDS
        )


async def remove_lost_entries(
    member: ControlMember,
    sessions: EntrySessions,
    clock: Clock,
    lost_seconds: float = LOST_ENTRY_TIMEOUT_SECONDS,
) -> None:
    """Remove entries without a lease from the list, on the leader only.

    Runs until it is cancelled.  After an election the time without a lease is
    counted anew.
    """
    entries = member.machine.get(EntriesSlice)
    missing_since_by_id: dict[InstanceId, float] = {}
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
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
            if now - missing_since > lost_seconds:
                logger.warning(
                    "entry has lost its lease; removing it from the address list",
                    entry=instance,
                )
                await member.propose(RemoveEntry(instance))
                missing_since_by_id.pop(instance, None)
