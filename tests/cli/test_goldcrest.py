"""Tests of the ``goldcrest`` command line without a deployment.

They guard against a command that is not registered under its name, against
help without examples or exit codes, and against usage errors with a wrong
exit code or without advice.
"""

import tempfile
import unittest
from pathlib import Path

from cleo.io.outputs.buffered_output import BufferedOutput
from parameterized import parameterized

from goldcrestyard.cli.application import discover_commands, main
from goldcrestyard.cli.exit_codes import ExitCode

COMMAND_NAMES = {
    "audit",
    "config check",
    "confirm",
    "entries list",
    "key grant",
    "key list",
    "key withdraw",
    "members list",
    "members replace",
    "models list",
    "organisations list",
    "plan",
    "plans list",
    "plans show",
    "services list",
    "status",
    "targets drain",
    "targets list",
}


def run(*arguments: str) -> tuple[int, str, str]:
    """Run the tool; return its exit code, output and error output."""
    output, errors = BufferedOutput(), BufferedOutput()
    code = main(arguments, output, errors)
    return code, output.fetch(), errors.fetch()


class GoldcrestTests(unittest.TestCase):
    """Commands, help texts and usage errors."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "key").write_text("secret")
        (self.folder / "broken.toml").write_text("servers = 3")

    def test_every_command_is_discovered_by_its_module_name(self) -> None:
        names = {command.name for command in discover_commands()}
        self.assertLessEqual(COMMAND_NAMES, names)

    @parameterized.expand(["--help", "-h", "list"])
    def test_help_without_a_command_lists_the_commands(self, argument: str) -> None:
        """Guards against the help of a command that cleo itself adds."""
        code, output, _ = run(argument)
        self.assertEqual(code, ExitCode.DONE)
        for name in ("key grant", "members replace", "status"):
            self.assertIn(name, output)

    @parameterized.expand([(command.name,) for command in discover_commands()])
    def test_help_has_examples_exit_codes_and_json(self, name: str) -> None:
        code, output, _ = run(*name.split(), "--help")
        self.assertEqual(code, ExitCode.DONE)
        for expected in ("Examples:", f"goldcrest {name}", "Exit codes:", "--json"):
            self.assertIn(expected, output)

    @parameterized.expand(
        [
            ("missing_argument", ("plan",), ExitCode.USAGE, "Not enough arguments"),
            ("unknown_command", ("frob",), ExitCode.USAGE, "does not exist"),
            ("unknown_option", ("status", "--frob"), ExitCode.USAGE, "does not exist"),
            ("no_server", ("status", "-k", "{key}"), ExitCode.USAGE, "--server"),
            ("no_key", ("status", "-s", "127.0.0.1:1"), ExitCode.USAGE, "--key-file"),
            (
                "unreadable_key",
                ("status", "-s", "127.0.0.1:1", "-k", "{folder}/none"),
                ExitCode.USAGE,
                "cannot be read",
            ),
            (
                "faulty_profile",
                ("status", "-p", "{folder}/broken.toml"),
                ExitCode.USAGE,
                "is faulty",
            ),
            (
                "missing_declaration",
                ("plan", "{folder}/none.toml"),
                ExitCode.USAGE,
                "cannot be read",
            ),
            (
                "plan_without_digest",
                ("confirm", "7", "-s", "127.0.0.1:1", "-k", "{key}"),
                ExitCode.USAGE,
                "NUMBER@DIGEST",
            ),
            (
                "whole_key_is_not_sent",
                ("key", "withdraw", "gcy_a_b", "-s", "127.0.0.1:1", "-k", "{key}"),
                ExitCode.USAGE,
                "only the id",
            ),
        ]
    )
    def test_errors_have_an_exit_code_and_say_what_to_do(
        self, _: str, arguments: tuple[str, ...], expected: ExitCode, text: str
    ) -> None:
        given = [
            argument.format(key=self.folder / "key", folder=self.folder)
            for argument in arguments
        ]
        code, output, errors = run(*given)
        self.assertEqual(code, expected)
        self.assertIn(text, errors)
        self.assertEqual(output, "")
