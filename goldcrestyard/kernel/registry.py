"""The registry of plug-ins: discovery, loading and start order."""

import importlib
import pkgutil
from collections.abc import Sequence
from typing import TYPE_CHECKING

from goldcrestyard.kernel.exceptions import PluginOrderError

if TYPE_CHECKING:
    from goldcrestyard.kernel.apps import PluginConfig
    from goldcrestyard.state.declarations import DeclaredKind, Subject

PLUGINS_PACKAGE = "goldcrestyard.plugins"

_plugin_classes_by_name: dict[str, type["PluginConfig"]] = {}


def register(plugin_class: type["PluginConfig"]) -> None:
    """Add a plug-in class; called when the class is defined."""
    _plugin_classes_by_name[plugin_class.name] = plugin_class


def discover_plugins() -> list[type["PluginConfig"]]:
    """Import every plug-in package and return the classes in start order."""
    package = importlib.import_module(PLUGINS_PACKAGE)
    names = sorted(module.name for module in pkgutil.iter_modules(package.__path__))
    return load_plugins([f"{PLUGINS_PACKAGE}.{name}" for name in names])


def load_plugins(packages: Sequence[str]) -> list[type["PluginConfig"]]:
    """Import plug-in packages and return their classes in start order.

    Processes that need few plug-ins load only those, since each imported
    module costs memory and start-up time.
    """
    modules = {f"{package}.apps" for package in packages}
    for module in sorted(modules):
        importlib.import_module(module)
    return in_start_order(
        [
            plugin
            for plugin in _plugin_classes_by_name.values()
            if plugin.__module__ in modules
        ]
    )


def declared_kinds() -> list["DeclaredKind"]:
    """Return the kinds of records that operators declare, sorted by table."""
    kinds = [
        kind
        for plugin in _plugin_classes_by_name.values()
        for kind in plugin.declared_kinds
    ]
    return sorted(kinds, key=lambda kind: kind.table)


def audited_commands() -> dict[type, "Subject"]:
    """Return the functions that give an audit subject, by command class.

    Only commands of these classes go into the audit trail.
    """
    return {
        command_class: subject
        for plugin in _plugin_classes_by_name.values()
        for command_class, subject in plugin.audited.items()
    }


def in_start_order(
    plugin_classes: list[type["PluginConfig"]],
) -> list[type["PluginConfig"]]:
    """Sort plug-ins topologically by ``requires`` and ``after``.

    Ties are sorted by name, so the order is the same in every process.
    Raises ``PluginOrderError`` on a cycle or a missing plug-in.
    """
    remaining = {plugin.name: plugin for plugin in plugin_classes}
    ordered: list[type[PluginConfig]] = []
    placed: set[str] = set()
    while remaining:
        startable = sorted(
            name
            for name, plugin in remaining.items()
            if all(required in placed for required in plugin.requires)
            and not any(name in remaining for name in plugin.after)
        )
        if not startable:
            raise PluginOrderError(
                "These plug-ins require each other or a missing plug-in: "
                + ", ".join(sorted(remaining))
            )
        ordered.append(remaining.pop(startable[0]))
        placed.add(startable[0])
    return ordered
