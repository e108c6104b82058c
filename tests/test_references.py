"""Guards against generated reference pages that are out of date."""

import unittest
from pathlib import Path

from parameterized import parameterized

from tests.cli.test_goldcrest import run

DOCS = Path(__file__).parent.parent / "docs"


class ReferenceTests(unittest.TestCase):
    """The pages that ``goldcrest`` generates from the code."""

    @parameterized.expand([("settings",), ("metrics",)])
    def test_page_is_what_the_command_prints(self, name: str) -> None:
        _, output, _ = run(name, "reference")
        self.assertEqual(
            (DOCS / f"{name}.md").read_text(),
            output,
            f"run 'goldcrest {name} reference > docs/{name}.md'",
        )
