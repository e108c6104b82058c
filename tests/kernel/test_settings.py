"""Tests of reading settings: all problems are reported, not just the first."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.kernel.settings import build, setting


@dataclass(frozen=True)
class SampleSettings:
    """A settings section with two required settings and a default."""

    name: str = setting("A name.")
    by_name: dict[str, str] = setting("A table.")
    seconds: float = setting("A duration.", 5.0)


class SettingsTests(unittest.TestCase):
    """Building settings from a parsed TOML document."""

    def test_defaults_fill_what_the_file_leaves_out(self) -> None:
        settings, problems = build(
            {"sample": {"name": "a", "by_name": {}}}, {"sample": SampleSettings}
        )
        self.assertEqual(problems, [])
        self.assertEqual(settings.section(SampleSettings).seconds, 5.0)

    @parameterized.expand(
        [
            ("missing", {"sample": {}}, ["settings.E007", "settings.E007"]),
            (
                "unknown_key",
                {"sample": {"name": "a", "by_name": {}, "nmae": "b"}},
                ["settings.E005"],
            ),
            (
                "wrong_type_and_missing",
                {"sample": {"name": 3}},
                ["settings.E006", "settings.E007"],
            ),
            (
                "unknown_section_and_missing",
                {"smaple": {}},
                ["settings.E003", "settings.E007", "settings.E007"],
            ),
            ("not_a_table", {"sample": 3}, ["settings.E004"]),
        ]
    )
    def test_all_faults_are_collected(
        self, _: str, document: dict[str, object], expected: list[str]
    ) -> None:
        _settings, problems = build(document, {"sample": SampleSettings})
        self.assertEqual([problem.id for problem in problems], expected)
