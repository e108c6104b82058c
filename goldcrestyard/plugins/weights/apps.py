"""Plug-in: model lines and their published weight versions."""

from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.plugins.weights.commands import (
    PublishWeights,
    PutModelLine,
    RemoveModelLine,
    WeightsSnapshot,
)
from goldcrestyard.plugins.weights.declarations import MODELS
from goldcrestyard.plugins.weights.slices import WeightsSlice


class WeightsConfig(PluginConfig):
    """Adds the weights slice to the replicated state."""

    name = "weights"
    slices = (WeightsSlice,)
    messages = (*WeightsSlice.commands, WeightsSnapshot)
    declared_kinds = (MODELS,)
    audited = {
        PutModelLine: lambda command: f"model/{command.line.name}",
        RemoveModelLine: lambda command: f"model/{command.name}",
        PublishWeights: lambda command: f"weights/{command.model}/{command.version}",
    }
