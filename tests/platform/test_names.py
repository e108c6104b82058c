"""Test that only the adapter uses names of the platform's interfaces."""

import re
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "goldcrestyard"

WIRE = re.compile(
    r"X-Goldcrestyard-|GOLDCRESTYARD_SETTINGS"
    r"|/v1/(lots|items|instances|resolve|readyz|config|retire|version-put)"
    r"|/v1/(order\b|report\b|kv-)"
    r"|least_required|beat_addr|group_count|path_prefix|api_keys|item_ttl"
    r"|cold_left|leaves_ms|fault_budget|port_range|slo_ms|due_ms"
)


class NamesTests(unittest.TestCase):
    """Guards against names of the platform in the rest of the package."""

    def test_only_the_adapter_knows_them(self) -> None:
        found = [
            f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if path.relative_to(PACKAGE).parts[0] != "platform"
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WIRE.search(line)
        ]
        self.assertEqual(found, [])
