"""Tests of the commit in the first log line of a process."""

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from goldcrestyard.kernel.build_info import read_commit

COMMIT = "0123456789abcdef0123456789abcdef01234567"
BRANCH = "ref: refs/heads/main\n"


class BuildInfoTests(unittest.TestCase):
    """Guards against incidents whose logs do not tell the code's version."""

    @parameterized.expand(
        [
            ("detached", {"HEAD": COMMIT + "\n"}, COMMIT[:12]),
            ("branch", {"HEAD": BRANCH, "refs/heads/main": COMMIT}, COMMIT[:12]),
            (
                "packed",
                {"HEAD": BRANCH, "packed-refs": f"# x\n{COMMIT} refs/heads/main\n"},
                COMMIT[:12],
            ),
            ("no_checkout", {}, None),
            ("no_commit_yet", {"HEAD": BRANCH}, None),
            ("malformed", {"HEAD": "x"}, None),
        ]
    )
    def test_commit(
        self, _: str, content_by_name: dict[str, str], expected: str | None
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name, content in content_by_name.items():
                path = Path(folder) / ".git" / name
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(content)
            self.assertEqual(expected, read_commit(Path(folder)))
