"""Plug-in: model lines and their published weight versions."""

from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.plugins.weights.commands import WeightsSnapshot
from goldcrestyard.plugins.weights.slices import WeightsSlice


class WeightsConfig(PluginConfig):
    """Adds the weights slice to the replicated state."""

    name = "weights"
    slices = (WeightsSlice,)
    messages = (*WeightsSlice.commands, WeightsSnapshot)
