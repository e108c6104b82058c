"""Tests of decoding the platform's settings file."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from parameterized import parameterized

from goldcrestyard.fleet.assembly.settings import AssemblySettings
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.kernel.settings import Settings
from goldcrestyard.platform import settings as platform_settings
from goldcrestyard.plugins.control.checks import check_timing
from goldcrestyard.plugins.control.settings import ControlSettings
from goldcrestyard.plugins.entry.settings import EntrySettings

FILE: dict[str, Any] = {
    "node": "store-a-1",
    "role": "control",
    "class": "store",
    "serves": ["store", "control", "directory"],
    "ip": "10.1.0.10",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r", "b": "s"},
    "listen": {"ctl": "10.1.0.10:8407", "dir": "10.1.0.10:8404"},
    "port_range": [7660, 7675],
    "seeds": ["10.1.0.10:8407", "10.2.0.45:8407", "10.3.0.14:8407"],
    "bootstrap": True,
    "limits": {"ram_mb": 330},
    "data_dir": "/data/control",
    "heartbeat_ms": 1200,
    "fault_budget": {"machines": 2, "zones": 0, "regions": 0},
    "bounds": {"revoke_ms": 5000, "lease_ms": 3000, "grace_s": 8, "window_s": 5},
    "cloud": {"addr": "10.200.0.60:8408", "duties": ["usage", "autoscale"]},
    "later": {"unknown": True},
}


def decode(change: dict[str, Any] | None = None) -> tuple[Settings, list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps({**FILE, **(change or {})}))
        settings, problems = platform_settings.decode(path)
    return settings, [problem.id for problem in problems]


class DecodeTests(unittest.TestCase):
    """Guards against wrong identities and timing derived from the file."""

    def test_instances_are_named_by_their_peer_address(self) -> None:
        settings, problems = decode()
        self.assertEqual(problems, [])
        self.assertEqual(settings.section(InstanceSettings).id, "10.1.0.10:7660")
        assembly = settings.section(AssemblySettings)
        self.assertEqual(
            set(assembly.founders),
            {"10.1.0.10:7660", "10.2.0.45:7660", "10.3.0.14:7660"},
        )
        self.assertEqual(assembly.wanted_voters, 5)

    def test_nothing_is_founded_after_the_first_start(self) -> None:
        settings, _ = decode({"bootstrap": False})
        self.assertEqual(settings.section(AssemblySettings).founders, {})

    def test_key_lease_is_shorter_than_the_revocation_bound(self) -> None:
        settings, _ = decode()
        lease = settings.section(EntrySettings).lease_seconds
        self.assertLess(lease, 5.0)

    @parameterized.expand(
        [
            ("named", {"cold_overage": 2, "cold_slack": 3}, 2.0, 3.0),
            ("not", {}, 1.5, 5.0),
        ]
    )
    def test_bound_of_cold_targets(
        self, _: str, bounds: dict[str, float], overage: float, slack: float
    ) -> None:
        settings, _problems = decode({"bounds": bounds})
        cold = settings.section(ColdTargetSettings)
        self.assertEqual(
            (overage, slack, 2.0), (cold.overage, cold.slack, cold.silence_seconds)
        )

    def test_timing_of_the_log_passes_its_checks(self) -> None:
        settings, _ = decode()
        self.assertEqual(list(check_timing(settings)), [])
        self.assertIsNotNone(settings.find(ControlSettings))

    @parameterized.expand(
        [
            ("no_name", {"node": None}, "settings_file.E002"),
            ("address", {"listen": {"ctl": "10.1.0.10"}}, "settings_file.E003"),
            *(
                (
                    f"port_{port}",
                    {"listen": {"ctl": f"::1:{port}"}},
                    "settings_file.E003",
                )
                for port in ("\u00b2", "70000", "0", "9" * 5000)
            ),
            ("peer_port", {"port_range": [70000, 70010]}, "settings_file.E002"),
            ("control_without_disk", {"data_dir": None}, "settings_file.E004"),
        ]
    )
    def test_fault(self, _: str, change: dict[str, Any], expected: str) -> None:
        _, problems = decode(change)
        self.assertEqual(problems, [expected])

    def test_missing_file(self) -> None:
        _, problems = platform_settings.decode(Path("/nowhere/settings.json"))
        self.assertEqual([problem.id for problem in problems], ["settings_file.E001"])
