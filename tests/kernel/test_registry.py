"""Tests of the plug-in registry."""

import unittest

from goldcrestyard.kernel import registry
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.kernel.exceptions import PluginOrderError


class RegistryTests(unittest.TestCase):
    """Discovery and start order of plug-ins."""

    def test_every_plugin_follows_what_it_requires(self) -> None:
        placed: set[str] = set()
        for plugin in registry.discover_plugins():
            self.assertLessEqual(set(plugin.requires), placed)
            placed.add(plugin.name)

    def test_a_cycle_is_reported_with_its_members(self) -> None:
        first = type("First", (PluginConfig,), {"name": "first", "requires": ("b",)})
        second = type("Second", (PluginConfig,), {"name": "b", "requires": ("first",)})
        with self.assertRaisesRegex(PluginOrderError, "b, first"):
            registry.in_start_order([first, second])
