"""Plug-in ``weights``: model lines and the distribution of weight versions.

Each entry serves published versions to engines from a cache, which it fills
from the weight store or from another entry of its region.
"""

from pathlib import Path

import aiohttp

from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.http_client import BoundedConnector
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.listeners.routes import PublicRoutes
from goldcrestyard.plugins.peers.settings import ClusterSettings
from goldcrestyard.plugins.targets.settings import TargetSettings
from goldcrestyard.plugins.weights.cache import WeightCache
from goldcrestyard.plugins.weights.commands import (
    PublishWeights,
    PutModelLine,
    RemoveModelLine,
    WeightsSnapshot,
)
from goldcrestyard.plugins.weights.declarations import MODELS
from goldcrestyard.plugins.weights.fetching import WeightFetcher
from goldcrestyard.plugins.weights.settings import WeightSettings
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.plugins.weights.views import WeightViews


class WeightsConfig(PluginConfig):
    """Registers the weights slice and serves ``/weights`` to engines."""

    name = "weights"
    requires = ("addresses", "entry", "listeners", "peers", "targets")
    settings_section = "weights"
    settings_class = WeightSettings
    slices = (WeightsSlice,)
    messages = (*WeightsSlice.commands, WeightsSnapshot)
    declared_kinds = (MODELS,)
    audited = {
        PutModelLine: lambda command: f"model/{command.line.name}",
        RemoveModelLine: lambda command: f"model/{command.name}",
        PublishWeights: lambda command: f"weights/{command.model}/{command.version}",
    }

    def __init__(self) -> None:
        self._secret = b""
        self._cache: WeightCache | None = None
        self._fetcher: WeightFetcher | None = None
        self._session: aiohttp.ClientSession | None = None

    def ready(self, app: Application) -> None:
        """Read the cluster secret, by which entries authenticate requests."""
        cluster = app.settings.section(ClusterSettings)
        self._secret = Path(cluster.secret_file).read_bytes().strip()

    async def start(self, app: Application) -> None:
        """Create the cache and the fetcher, and add the route."""
        instance = app.settings.section(InstanceSettings)
        settings = app.settings.section(WeightSettings)
        machine = app.get(EntryView).machine
        self._cache = WeightCache(settings.cache_folder, settings.cache_bytes)
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        self._fetcher = WeightFetcher(
            instance.id,
            instance.region,
            machine.get(EntriesSlice),
            self._cache,
            self._session,
            settings,
            self._secret,
            app.clock,
        )
        views = WeightViews(
            machine.get(WeightsSlice),
            self._cache,
            self._fetcher,
            app.settings.section(TargetSettings).token_sha256,
        )
        routes = app.get(PublicRoutes)
        routes.add("GET", "/weights/{model}/{version}", views.weights)

    async def stop(self, app: Application) -> None:
        """Cancel the fetches and delete the cache."""
        if self._fetcher is not None:
            await self._fetcher.stop()
        if self._session is not None:
            await self._session.close()
        if self._cache is not None:
            self._cache.close()
