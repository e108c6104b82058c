"""Guards against log events missing from docs/log-events.md."""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "log-events.md"

LEVELS = {
    "debug": "debug",
    "info": "info",
    "warning": "warning",
    "error": "error",
    "critical": "critical",
    # structlog logs exceptions at the level of errors.
    "exception": "error",
    # The level is an argument of the call.
    "log": "varies",
}
Row = tuple[str, str, frozenset[str]]


def event_of(call: ast.Call, method: str) -> ast.expr:
    """Return the argument of a log call that is the event."""
    return call.args[1 if method == "log" else 0]


def log_calls() -> Iterator[tuple[str, ast.Call, str]]:
    """Yield file and line, call and method of each log call in the package."""
    for path in sorted((ROOT / "goldcrestyard").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "logger"
            ):
                yield f"{path.name}:{node.lineno}", node, node.func.attr


def documented() -> list[Row]:
    """Return event, level and fields of each row of the page."""
    rows = re.findall(
        r"^\| `([^`]+)` \| (\w+) \|([^|]*)\| [^|]+\. \|$",
        PAGE.read_text(),
        re.MULTILINE,
    )
    return [
        (event, level, frozenset(re.findall(r"`(\w+)`", fields)))
        for event, level, fields in rows
    ]


class LogEventsPageTests(unittest.TestCase):
    """The tables of the page against the log calls in the code."""

    def test_every_event_is_a_literal_of_a_known_level(self) -> None:
        for place, call, method in log_calls():
            with self.subTest(place=place):
                self.assertIn(method, LEVELS)
                self.assertIsInstance(event_of(call, method), ast.Constant)
                self.assertTrue(all(word.arg for word in call.keywords))

    def test_every_event_is_documented_with_level_and_fields(self) -> None:
        logged = {
            (
                ast.literal_eval(event_of(call, method)),
                LEVELS[method],
                frozenset(str(word.arg) for word in call.keywords),
            )
            for _, call, method in log_calls()
        }
        rows = documented()
        self.assertEqual(len(rows), len(set(rows)), "an event has two rows")
        self.assertEqual(set(rows), logged)
