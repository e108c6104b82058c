"""Plug-in: organisations, their keys, and the check of a caller's key."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.organisations.commands import OrganisationsSnapshot
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice


class OrganisationsConfig(PluginConfig):
    """Provides the authenticator."""

    name = "organisations"
    requires = ("entry",)
    slices = (OrganisationsSlice,)
    messages = (*OrganisationsSlice.commands, OrganisationsSnapshot)

    def ready(self, app: Application) -> None:
        """Create the authenticator on this entry's view."""
        app.provide(Authenticator, Authenticator(app.get(EntryView)))
