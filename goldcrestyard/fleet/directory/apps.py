"""Plug-in: service discovery of the entries for callers."""

from dataclasses import replace
from functools import partial

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.directory.listing import (
    DirectorySlice,
    ListedEntryChannel,
    ListedEntryMerger,
)
from goldcrestyard.fleet.directory.pruning import remove_entries_without_contact
from goldcrestyard.fleet.directory.settings import DirectorySettings
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.announcing import (
    EntryAnnouncer,
    own_entry,
)
from goldcrestyard.plugins.addresses.commands import EntriesSnapshot, Entry
from goldcrestyard.wire.codec import Codec


class DirectoryConfig(PluginConfig):
    """Registers this entry; the leader removes entries without contact."""

    name = "directory"
    after = ("assembly", "entry")
    requires = ("peers", "serving")
    slices = (DirectorySlice,)
    messages = (*DirectorySlice.commands, Entry, EntriesSnapshot)

    def ready(self, app: Application) -> None:
        """Create the directory on control members."""
        member = app.find(ControlMember)
        if member is not None:
            listed_entries = app.settings.section(DirectorySettings).listed_entries
            app.provide(Directory, Directory(member, listed_entries))
            app.get(LeaderDigests).add(ListedEntryMerger(member, app.get(Codec)))

    async def serve(self, app: Application) -> None:
        """Register this entry; as leader, remove entries without contact."""
        view = app.find(EntryView)
        if view is not None:
            listing = ListedEntryChannel(app.get(Codec))
            app.get(EntryDigests).add(listing)
            announcer = app.provide(
                EntryAnnouncer,
                EntryAnnouncer(
                    replace(
                        own_entry(app),
                        capacity=app.settings.section(DirectorySettings).capacity,
                    ),
                    view,
                    app.get(LeaderLink),
                    listing,
                ),
            )
            app.supervise(announcer.run, "announce this entry")
        member = app.find(ControlMember)
        if member is not None:
            sessions = app.get(EntrySessions)

            async def prune() -> None:
                await remove_entries_without_contact(member, sessions, app.clock)

            app.supervise(
                partial(while_leading, member, "prune entries", prune),
                "prune entries",
            )

    async def leave(self, app: Application) -> None:
        """Mark this entry as draining, so that callers are not sent to it."""
        announcer = app.find(EntryAnnouncer)
        if announcer is not None:
            app.supervise(announcer.mark_draining, "withdraw this entry")
