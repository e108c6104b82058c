"""Plug-in that replicates the serving configuration."""

from goldcrestyard.fleet.serving.commands import (
    FormerKey,
    MovedRoute,
    PutServing,
    ServingSnapshot,
)
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.apps import PluginConfig


class ServingPluginConfig(PluginConfig):
    """Replicates the serving configuration with the highest version."""

    name = "serving"
    slices = (ServingSlice,)
    messages = (PutServing, MovedRoute, FormerKey, ServingSnapshot)
