"""Plug-in that serves the address list and registers this entry in it."""

import asyncio
from functools import partial

from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.announcing import (
    EntryAnnouncer,
    ReplicatedListing,
    own_entry,
    remove_lost_entries,
)
from goldcrestyard.plugins.addresses.commands import (
    EntriesSnapshot,
    Entry,
    PutEntry,
    RemoveEntry,
)
from goldcrestyard.plugins.addresses.settings import AddressSettings
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.policy.addresses import EntryLocation, order_entries
from goldcrestyard.policy.leases import MAX_LEASE_LAG_SECONDS


class AddressesConfig(PluginConfig):
    """Serves ``/addresses`` and keeps this entry registered."""

    name = "addresses"
    requires = ("control", "entry", "listeners")
    settings_section = "addresses"
    settings_class = AddressSettings
    slices = (EntriesSlice,)
    messages = (*EntriesSlice.commands, Entry, EntriesSnapshot)
    audited = {
        PutEntry: lambda command: f"entry/{command.entry.id}",
        RemoveEntry: lambda command: f"entry/{command.id}",
    }

    def ready(self, app: Application) -> None:
        """Add the route ``/addresses``."""
        view = app.get(EntryView)
        entries = view.machine.get(EntriesSlice)
        own_region = app.settings.section(InstanceSettings).region
        ttl_seconds = app.settings.section(AddressSettings).ttl_seconds

        async def addresses(request: web.Request) -> web.StreamResponse:
            by_id = {
                entry.id: entry
                for entry in entries.entries_by_id.values()
                if not entry.draining
            }
            order = order_entries(
                [EntryLocation(e.id, e.data_centre, e.region) for e in by_id.values()],
                request.query.get("asker", request.remote or ""),
                request.query.get("data_centre", ""),
                request.query.get("region", ""),
                # An entry without a lease has lost the leader, and so most
                # likely have the other entries of its region; the list then
                # puts them last.
                None if view.holds_lease() else own_region,
            )
            return json_answer(
                {
                    "ttl_seconds": ttl_seconds,
                    "addresses": [
                        {
                            "instance": instance,
                            "base_url": f"http://{by_id[instance].public_address}/v1",
                            "data_centre": by_id[instance].data_centre,
                            "region": by_id[instance].region,
                        }
                        for instance in order
                    ],
                }
            )

        app.get(PublicRoutes).add("GET", "/addresses", addresses)

    async def serve(self, app: Application) -> None:
        """Start to announce this entry; on a member, also remove lost ones."""
        view = app.get(EntryView)
        announcer = EntryAnnouncer(
            own_entry(app), view, app.get(LeaderLink), ReplicatedListing(view)
        )
        app.provide(EntryAnnouncer, announcer)
        app.supervise(announcer.run, "announce this entry")
        member = app.find(ControlMember)
        if member is not None:
            sessions = app.get(EntrySessions)
            app.supervise(
                partial(remove_lost_entries, member, sessions, app.clock),
                "remove lost entries",
            )

    async def leave(self, app: Application) -> None:
        """Mark this entry as draining, and wait until callers know.

        Callers cache the list for ``ttl_seconds``.  An entry that lags
        behind may hand out the old list for up to ``MAX_LEASE_LAG_SECONDS``
        longer.
        """
        announcer = app.find(EntryAnnouncer)
        if announcer is None:
            return
        # Callers with an open connection must also choose another address.
        app.get(PublicRoutes).closing = True
        await announcer.mark_draining()
        ttl_seconds = app.settings.section(AddressSettings).ttl_seconds
        await asyncio.sleep(ttl_seconds + MAX_LEASE_LAG_SECONDS)

    async def drain(self, app: Application) -> None:
        """Remove the entry after the listeners have finished all requests."""
        announcer = app.find(EntryAnnouncer)
        if announcer is not None:
            await announcer.remove()
