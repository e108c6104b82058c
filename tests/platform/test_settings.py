"""Tests of decoding the platform's settings file."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from parameterized import parameterized

from goldcrestyard.fleet.assembly.settings import AssemblySettings
from goldcrestyard.fleet.directory.settings import DirectorySettings
from goldcrestyard.fleet.gateway.settings import HedgingSettings
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.kernel.default_settings import InstanceSettings, MemorySettings
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

    @parameterized.expand(
        [
            ("default", {}, 0.1),
            ("off", {"hedging": {"share": 0}}, 0.0),
            ("set", {"hedging": {"share": 0.02}}, 0.02),
            ("negative", {"hedging": {"share": -0.1}}, None),
            ("over_one", {"hedging": {"share": 1.5}}, None),
        ]
    )
    def test_hedging(self, _: str, change: dict[str, Any], share: float | None) -> None:
        settings, problems = decode(change)
        if share is None:
            self.assertEqual(problems, ["settings_file.E002"])
        else:
            self.assertEqual(settings.section(HedgingSettings).share, share)

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
            ("none_stated", {"ram_mb": 160}, 0),
            ("whole", {"ram_mb": 160, "max_fds": 4100}, 4100),
            ("fraction", {"ram_mb": 160, "max_fds": 1638.4}, 1638),
        ]
    )
    def test_descriptors(self, _: str, limits: dict[str, float], expected: int) -> None:
        """Guards against a process that does not start, or knows no bound."""
        settings, problems = decode({"limits": limits})
        self.assertEqual(problems, [])
        self.assertEqual(settings.section(MemorySettings).descriptors, expected)

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

    @parameterized.expand(
        [
            ("both", {"cpu_share": 0.43, "cores": 3}, 1.29),
            ("not_stated", {}, None),
            ("share_only", {"cpu_share": 0.43}, None),
            ("no_share", {"cpu_share": 0, "cores": 4}, None),
            ("negative", {"cpu_share": -1, "cores": -1}, None),
            ("beyond_floats", {"cpu_share": 1e300, "cores": 1e300}, None),
        ]
    )
    def test_capacity(
        self, _: str, limits: dict[str, float], expected: float | None
    ) -> None:
        settings, problems = decode({"limits": {"ram_mb": 330, **limits}})
        self.assertEqual(problems, [])
        capacity = settings.section(DirectorySettings).capacity
        if expected is None:
            self.assertIsNone(capacity)
        else:
            self.assertAlmostEqual(capacity or 0.0, expected)

    def test_missing_file(self) -> None:
        _, problems = platform_settings.decode(Path("/nowhere/settings.json"))
        self.assertEqual([problem.id for problem in problems], ["settings_file.E001"])
