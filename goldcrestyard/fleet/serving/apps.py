"""Plug-in: the configuration of what is served."""

from goldcrestyard.fleet.serving.commands import PutServing, ServingSnapshot
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.apps import PluginConfig


class ServingPluginConfig(PluginConfig):
    """Keeps the newest configuration in the replicated state."""

    name = "serving"
    slices = (ServingSlice,)
    messages = (PutServing, ServingSnapshot)
