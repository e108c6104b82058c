"""Guards against refusals and exit codes missing from docs/errors.md."""

import re
import unittest
from pathlib import Path

from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.plugins.listeners.errors import status_of

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"


class ErrorsPageTests(unittest.TestCase):
    """The tables and links of the page against the code."""

    def setUp(self) -> None:
        self.text = PAGE.read_text()

    def test_every_reason_is_explained_with_its_status(self) -> None:
        rows = re.findall(
            r"^\| `(\w+)` \| (\d+) \| [^|]+\. \| [^|]+\. \|$", self.text, re.MULTILINE
        )
        expected = [
            (reason.value, str(status_of(reason).value)) for reason in RefusalReason
        ]
        self.assertEqual(sorted(rows), sorted(expected))

    def test_every_verdict_and_exit_code_is_explained(self) -> None:
        for verdict in Verdict:
            self.assertIn(f"| `{verdict.value}` |", self.text)
        for code in ExitCode:
            self.assertIn(f"\n| {code.value} |", self.text)

    def test_linked_pages_exist(self) -> None:
        for page in (PAGE, *sorted((PAGE.parent / "runbooks").glob("*.md"))):
            for link in re.findall(r"\]\(([^):]+\.md)\)", page.read_text()):
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())
