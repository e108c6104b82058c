"""Plug-in: the list of entries that callers may use."""

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.leadership import while_leading
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.announcing import (
    EntryAnnouncer,
    own_entry,
    remove_lost,
)
from goldcrestyard.plugins.addresses.commands import EntriesSnapshot, Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice

LOST_SECONDS = 2.0
"""An entry without a lease for this long is not named to callers, who try
another one at once when they cannot connect."""


class DirectoryConfig(PluginConfig):
    """Keeps the list of entries: each announces itself, the leader prunes."""

    name = "directory"
    after = ("assembly", "entry")
    requires = ("peers",)
    slices = (EntriesSlice,)
    messages = (*EntriesSlice.commands, Entry, EntriesSnapshot)

    def ready(self, app: Application) -> None:
        """Create the directory on control members."""
        member = app.find(ControlMember)
        if member is not None:
            app.provide(Directory, Directory(member))

    async def serve(self, app: Application) -> None:
        """Announce this entry, or remove the entries that are lost."""
        view = app.find(EntryView)
        if view is not None:
            announcer = app.provide(
                EntryAnnouncer,
                EntryAnnouncer(own_entry(app), view, app.get(LeaderLink)),
            )
            app.spawn(announcer.run(), "announce this entry")
        member = app.find(ControlMember)
        if member is not None:
            sessions = app.get(EntrySessions)

            async def prune() -> None:
                await remove_lost(member, sessions, app.clock, LOST_SECONDS)

            app.spawn(while_leading(member, "prune entries", prune), "prune entries")

    async def leave(self, app: Application) -> None:
        """Take this entry off the list."""
        announcer = app.find(EntryAnnouncer)
        if announcer is not None:
            app.spawn(announcer.mark_draining(), "withdraw this entry")
