"""Read access to the published weights, without an import of their plug-in."""

from collections.abc import Mapping, Sequence
from typing import Protocol, cast

from goldcrestyard.core.ids import ModelName
from goldcrestyard.core.records import PublishedWeights
from goldcrestyard.kernel.application import Application
from goldcrestyard.state.machine import StateMachine

WEIGHTS_PLUGIN_NAME = "weights"


class Publications(Protocol):
    """The part of the weights slice that the rollout reads."""

    published_by_model: Mapping[ModelName, Sequence[PublishedWeights]]
    """Published versions of each model, oldest first."""


def find_publications(app: Application, machine: StateMachine) -> Publications | None:
    """Return the weights slice, or None if the plug-in is not installed."""
    plugin = app.plugins_by_name.get(WEIGHTS_PLUGIN_NAME)
    if plugin is None:
        return None
    return cast(Publications, machine.get(plugin.slices[0]))
