"""The registry of plug-ins, populated once in a fixed order."""

import importlib
import pkgutil
from typing import TYPE_CHECKING

from goldcrestyard.kernel.exceptions import PluginOrderError

if TYPE_CHECKING:
    from goldcrestyard.kernel.apps import PluginConfig
    from goldcrestyard.state.declarations import DeclaredKind, Subject

PLUGINS_PACKAGE = "goldcrestyard.plugins"

_plugin_classes_by_name: dict[str, type["PluginConfig"]] = {}


def register(plugin_class: type["PluginConfig"]) -> None:
    """Add a plug-in class; called when its module is imported."""
    _plugin_classes_by_name[plugin_class.name] = plugin_class


def discover() -> list[type["PluginConfig"]]:
    """Import every plug-in package and return the classes in start order."""
    package = importlib.import_module(PLUGINS_PACKAGE)
    names = sorted(module.name for module in pkgutil.iter_modules(package.__path__))
    for name in names:
        importlib.import_module(f"{PLUGINS_PACKAGE}.{name}.apps")
    return in_start_order([_plugin_classes_by_name[name] for name in names])


def declared_kinds() -> list["DeclaredKind"]:
    """Return the kinds of records that operators declare, by table name."""
    kinds = [
        kind
        for plugin in _plugin_classes_by_name.values()
        for kind in plugin.declared_kinds
    ]
    return sorted(kinds, key=lambda kind: kind.table)


def audited_commands() -> dict[type, "Subject"]:
    """Return what each audited command is about, by command class."""
    return {
        command_class: subject
        for plugin in _plugin_classes_by_name.values()
        for command_class, subject in plugin.audited.items()
    }


def in_start_order(
    plugin_classes: list[type["PluginConfig"]],
) -> list[type["PluginConfig"]]:
    """Sort the plug-ins so that each follows all that it requires."""
    remaining = {plugin.name: plugin for plugin in plugin_classes}
    ordered: list[type[PluginConfig]] = []
    placed: set[str] = set()
    while remaining:
        free = sorted(
            name
            for name, plugin in remaining.items()
            if all(required in placed for required in plugin.requires)
        )
        if not free:
            raise PluginOrderError(
                "These plug-ins require each other, or one that is missing: "
                + ", ".join(sorted(remaining))
            )
        ordered.append(remaining.pop(free[0]))
        placed.add(free[0])
    return ordered
