"""The application ``goldcrest``, with a command for each module."""

import importlib
import pkgutil
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.commands.completions_command import CompletionsCommand
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Output

from goldcrestyard import __version__, cli
from goldcrestyard.cli.base import BaseCommand
from goldcrestyard.cli.exit_codes import ExitCode

COMMANDS_PACKAGE = f"{cli.__name__}.commands"


def discover_commands() -> list[BaseCommand]:
    """Import the modules of the commands package and return their commands.

    Each module defines a class ``Command``.  The module name with spaces for
    underscores is the name of the command: ``key_grant`` is ``key grant``.
    """
    package = importlib.import_module(COMMANDS_PACKAGE)
    commands = []
    for module_info in sorted(
        pkgutil.iter_modules(package.__path__), key=lambda info: info.name
    ):
        module = importlib.import_module(f"{COMMANDS_PACKAGE}.{module_info.name}")
        module.Command.name = module_info.name.replace("_", " ")
        commands.append(module.Command())
    return commands


def create_application() -> Application:
    """Return the application with all its commands."""
    application = Application("goldcrest", __version__)
    # ``main`` prints errors and maps them to exit codes.
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in discover_commands():
        application.add(command)
    application.add(CompletionsCommand())
    return application


def main(
    arguments: Sequence[str] | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Run the tool and return its exit code."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given in (["--help"], ["-h"]):
        # The library would print the help of its own ``list`` command.
        given = ["list"]
    try:
        return create_application().run(
            ArgvInput(["goldcrest", *given]), output, error_output
        )
    except CleoError as error:
        text = (
            f"goldcrest: {error}\n  run 'goldcrest list' for all commands, or add "
            "--help to a command for its arguments and options"
        )
        if error_output is None:
            print(text, file=sys.stderr)
        else:
            error_output.write_line(text)
        return ExitCode.USAGE
