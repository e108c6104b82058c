"""The files under ``examples/`` and ``goldcrestd --check``.

Guards against examples that the current code rejects, and against a check
that reports only the first fault of a settings file.
"""

import contextlib
import io
import json
import tempfile
import tomllib
import unittest
from pathlib import Path

from parameterized import parameterized

from goldcrestyard import daemon
from goldcrestyard.kernel import registry
from goldcrestyard.plugins.operators import declarations

EXAMPLES = Path(__file__).parent.parent / "examples"
DEPLOYMENTS = [("tejo",), ("sao-bien",)]


def check(path: Path, *arguments: str) -> tuple[int, str, str]:
    """Run ``goldcrestd --check`` in the folder of the settings file.

    Returns the exit code, the output and the error output.
    """
    output, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.chdir(path.parent),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        code = daemon.main(["--check", *arguments, path.name])
    return code, output.getvalue(), errors.getvalue()


class ExampleTests(unittest.TestCase):
    """The settings and declarations of both example deployments."""

    @parameterized.expand(DEPLOYMENTS)
    def test_settings_of_seven_instances_pass_the_check(self, name: str) -> None:
        paths = sorted((EXAMPLES / name).glob("*-?.toml"))
        self.assertEqual(len(paths), 7)
        for path in paths:
            with self.subTest(path=path.name):
                self.assertEqual(check(path)[::2], (0, ""))

    @parameterized.expand(DEPLOYMENTS)
    def test_loss_of_a_data_centre_leaves_a_majority(self, name: str) -> None:
        documents = [
            tomllib.loads(path.read_text())
            for path in (EXAMPLES / name).glob("*-?.toml")
        ]
        members = documents[0]["cluster"]["control_members"]
        self.assertEqual(len(members), 5)
        places = [
            document["instance"]["data_centre"]
            for document in documents
            if "control" in document
        ]
        self.assertEqual(len(places), 5)
        self.assertEqual(len(set(places)), 3)
        for place in places:
            self.assertGreaterEqual(5 - places.count(place), 3)

    @parameterized.expand(DEPLOYMENTS)
    def test_declaration_is_free_of_faults(self, name: str) -> None:
        registry.discover_plugins()
        text = (EXAMPLES / name / "declaration.toml").read_text()
        declaration = declarations.read(text, registry.declared_kinds())
        assert isinstance(declaration, declarations.Declaration), declaration
        self.assertEqual(len(declaration.records_by_table["organisations"]), 8)


class CheckTests(unittest.TestCase):
    """The report on a settings file with three faults."""

    def setUp(self) -> None:
        source = (EXAMPLES / "tejo" / "lisboa-a-1.toml").read_text()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "faulty.toml"
        self.path.write_text(
            source.replace('"127.0.0.1:18101"', '"nowhere"')
            .replace("cluster.secret", "missing.secret")
            .replace("[instance]", "[instance]\nfrob = 1")
        )

    def test_all_faults_are_shown_at_once(self) -> None:
        code, output, errors = check(self.path)
        self.assertEqual((code, output), (daemon.EXIT_BAD_SETTINGS, ""))
        for problem_id in ("settings.E005", "listeners.E001", "cluster.E003"):
            self.assertIn(problem_id, errors)
        self.assertIn("3 errors, 0 warnings", errors)

    def test_report_as_json(self) -> None:
        code, output, errors = check(self.path, "--json")
        self.assertEqual((code, errors), (daemon.EXIT_BAD_SETTINGS, ""))
        report = json.loads(output)
        self.assertFalse(report["valid"])
        self.assertEqual(len(report["problems"]), 3)
        self.assertLessEqual({"id", "key", "hint"}, set(report["problems"][0]))
