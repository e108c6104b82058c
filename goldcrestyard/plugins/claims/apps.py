"""Plug-in for claims, which keep non-idempotent calls from running twice."""

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.claims.commands import ClaimsSnapshot
from goldcrestyard.plugins.claims.manager import ClaimManager
from goldcrestyard.plugins.claims.slices import ClaimsSlice
from goldcrestyard.policy.claims import (
    AlreadyAnswered,
    DifferentCall,
    Granted,
    HeldByOther,
    OutcomeUnknown,
)


class ClaimsConfig(PluginConfig):
    """Provides the claim manager and replicates the claims slice."""

    name = "claims"
    requires = ("addresses", "entry")
    slices = (ClaimsSlice,)
    messages = (
        *ClaimsSlice.commands,
        ClaimsSnapshot,
        Granted,
        HeldByOther,
        AlreadyAnswered,
        OutcomeUnknown,
        DifferentCall,
    )

    def ready(self, app: Application) -> None:
        """Create the claim manager of this instance."""
        instance = app.settings.section(InstanceSettings).id
        claim_manager = ClaimManager(
            instance, app.get(EntryView), app.get(LeaderLink), app.clock
        )
        app.provide(ClaimManager, claim_manager)

    async def drain(self, app: Application) -> None:
        """Wait until the running calls have ended and are settled."""
        await app.get(ClaimManager).drain()

    async def stop(self, app: Application) -> None:
        """Cancel the calls that are still running."""
        await app.get(ClaimManager).stop()
