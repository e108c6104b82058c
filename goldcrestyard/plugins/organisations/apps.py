"""Plug-in for organisations, their keys and the authentication of callers."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.organisations.authentication import Authenticator
from goldcrestyard.plugins.organisations.commands import (
    GrantKey,
    OrganisationsSnapshot,
    PutOrganisation,
    RemoveOrganisation,
    WithdrawKey,
)
from goldcrestyard.plugins.organisations.declarations import ORGANISATIONS
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice


class OrganisationsConfig(PluginConfig):
    """Provides the authenticator."""

    name = "organisations"
    requires = ("entry",)
    slices = (OrganisationsSlice,)
    messages = (*OrganisationsSlice.commands, OrganisationsSnapshot)
    declared_kinds = (ORGANISATIONS,)
    audited = {
        PutOrganisation: lambda command: f"organisation/{command.organisation.id}",
        RemoveOrganisation: lambda command: f"organisation/{command.id}",
        GrantKey: lambda command: f"key/{command.key.id}",
        WithdrawKey: lambda command: f"key/{command.id}",
    }

    def ready(self, app: Application) -> None:
        """Create the authenticator, which reads this entry's view."""
        app.provide(Authenticator, Authenticator(app.get(EntryView)))
