"""What the rollout needs to know of published weights."""

from collections.abc import Mapping, Sequence
from typing import Protocol, cast

from goldcrestyard.core.ids import ModelName
from goldcrestyard.core.records import PublishedWeights
from goldcrestyard.kernel.application import Application
from goldcrestyard.state.machine import StateMachine

WEIGHTS_PLUGIN = "weights"


class Publications(Protocol):
    """The slice of the weights plug-in, as far as it is read here."""

    published_by_model: Mapping[ModelName, Sequence[PublishedWeights]]
    """The versions of each model, oldest first."""


def find_publications(app: Application, machine: StateMachine) -> Publications | None:
    """Return the slice of published weights, if a plug-in has one."""
    plugin = app.plugins_by_name.get(WEIGHTS_PLUGIN)
    if plugin is None:
        return None
    return cast(Publications, machine.get(plugin.slices[0]))
