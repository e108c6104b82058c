"""Tests of the checks of the ``[control]`` settings.

They guard against timing settings under which two members could act as
leader at the same time.
"""

import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.kernel.checks import run_checks
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.plugins.control.apps import ControlConfig
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.peers.settings import ClusterSettings

SETTINGS_CASES: list[tuple[str, dict[str, Any], list[str]]] = [
    ("defaults", {}, []),
    ("busy_heartbeat", {"heartbeat_seconds": 0.001}, ["control.E001"]),
    ("lease_of_one_heartbeat", {"heartbeat_seconds": 0.9}, ["control.E002"]),
    ("lease_outlasts_support", {"lease_seconds": 1.9}, ["control.E003"]),
    ("quiet_time_within_the_lease", {"start_quiet_seconds": 1.5}, ["control.E007"]),
    ("no_spread", {"election_timeout_max_seconds": 2.1}, ["control.E004"]),
    ("constant_snapshots", {"snapshot_entries": 1}, ["control.E005"]),
]


def make_settings(control: ControlSettings | None) -> Settings:
    instance = InstanceSettings(InstanceId("a"), DataCentre("x"), Region("r"))
    members = {InstanceId("a"): "127.0.0.1:1"}
    cluster = ClusterSettings("demo", "secret", members, "127.0.0.1:1")
    sections: dict[str, object] = {"instance": instance, "cluster": cluster}
    if control is not None:
        sections["control"] = control
    return Settings(sections)


class CheckTests(unittest.TestCase):
    """Problems that the checks report, by their ids."""

    @parameterized.expand(SETTINGS_CASES)
    def test_checks(self, _: str, overrides: dict[str, Any], ids: list[str]) -> None:
        found = make_settings(ControlSettings("folder", **overrides))
        problems = run_checks(found, ControlConfig.checks)
        self.assertEqual([problem.id for problem in problems], ids)

    def test_named_member_without_the_section(self) -> None:
        problems = run_checks(make_settings(None), ControlConfig.checks)
        self.assertEqual([problem.id for problem in problems], ["control.E006"])
