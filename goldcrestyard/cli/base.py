"""Base classes of the commands of ``goldcrest``."""

import asyncio
from abc import abstractmethod
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from goldcrestyard.cli.client import (
    Answer,
    OperatorClient,
    Refused,
    Reply,
    Unanswered,
)
from goldcrestyard.cli.exit_codes import HELP_BY_CODE, ExitCode
from goldcrestyard.cli.profile import ProfileFault, read_profile

JSON_OPTION = option("json", None, "Print one JSON object instead of text.")

SERVER_OPTIONS = [
    option(
        "server",
        "s",
        "Admin address (host:port) of an instance; repeat for several.",
        flag=False,
        multiple=True,
    ),
    option("key-file", "k", "File with the operator key.", flag=False),
    option(
        "profile",
        "p",
        "TOML file with 'servers' and 'key_file' (default: goldcrest.toml).",
        flag=False,
    ),
    JSON_OPTION,
]

_HINTS_BY_CODE = {
    "invalid_key": "check the operator key; settings list the hashes of valid ones",
    "stale_plan": "run 'goldcrest plan' again and confirm the new plan",
    "not_found": "check the name with the matching 'list' command",
}


class BaseCommand(Command):
    """A command with examples in its help and explained exit codes."""

    examples: Sequence[str] = ()
    exit_codes: Sequence[ExitCode] = (ExitCode.DONE, ExitCode.USAGE)

    def __init__(self) -> None:
        """Add the examples and the exit codes to the help."""
        examples = "\n".join(f"  goldcrest {example}" for example in self.examples)
        codes = "\n".join(
            f"  {code.value}  {HELP_BY_CODE[code]}" for code in self.exit_codes
        )
        self.help = f"<b>Examples:</b>\n{examples}\n\n<b>Exit codes:</b>\n{codes}"
        super().__init__()

    def show(self, data: Mapping[str, Any], lines: Iterable[str]) -> None:
        """Print an answer as JSON if asked to, otherwise as text."""
        if self.option("json"):
            lines = [msgspec.json.encode(data).decode()]
        for line in lines:
            # Raw, since names and details may contain what reads as markup.
            self.io.write_line(line, type=Type.RAW)

    def fail(self, code: ExitCode, message: str) -> int:
        """Print an error to standard error and return the exit code."""
        self.io.write_error_line(f"goldcrest: {message}", type=Type.RAW)
        return code


class OperatorCommand(BaseCommand):
    """A command that asks the instances."""

    exit_codes: Sequence[ExitCode] = (
        ExitCode.DONE,
        ExitCode.REFUSED,
        ExitCode.USAGE,
        ExitCode.UNKNOWN,
    )

    def handle(self) -> int:
        """Run the command on the instances of the profile."""
        profile_path = self.option("profile")
        key_path = self.option("key-file")
        profile = read_profile(
            Path(profile_path) if profile_path else None,
            self.option("server"),
            Path(key_path) if key_path else None,
        )
        if isinstance(profile, ProfileFault):
            return self.fail(ExitCode.USAGE, profile.message)
        return asyncio.run(self.run_on(OperatorClient(profile)))

    @abstractmethod
    async def run_on(self, client: OperatorClient) -> int:
        """Send the requests, show the answer and return the exit code."""

    def fail_on(self, reply: Refused | Unanswered) -> int:
        """Show why there is no answer, with what to do, in one place."""
        match reply:
            case Refused(code=code, message=message):
                hint = _HINTS_BY_CODE.get(code, f"see {code} in docs/errors.md")
                return self.fail(
                    ExitCode.REFUSED, f"refused ({code}): {message}\n  {hint}"
                )
            case Unanswered(message=message):
                return self.fail(
                    ExitCode.UNKNOWN,
                    f"{message}\n  the outcome of a change is not known; "
                    "the same command may be sent again, 'goldcrest audit' shows "
                    "what was committed",
                )


class ListCommand(OperatorCommand):
    """A command that lists the records under one path as a table."""

    path: str
    noun: str
    columns: Sequence[str]

    async def run_on(self, client: OperatorClient) -> int:
        """Ask for the records and print them."""
        reply = await client.send("GET", self.path, query=self.query())
        if not isinstance(reply, Answer):
            return self.fail_on(reply)
        records = [self.row(record) for record in reply.data[self.noun]]
        self.show(reply.data, table_lines(self.columns, records))
        return ExitCode.DONE

    def query(self) -> dict[str, str]:
        """Return the query of the request."""
        return {}

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the cells of one record."""
        return [cell(record.get(column)) for column in self.columns]


class ChangeCommand(OperatorCommand):
    """A command that changes the state and says whether it is in force."""

    exit_codes = tuple(ExitCode)

    def show_effect(self, reply: Reply, done: str, data: Mapping[str, Any]) -> int:
        """Show what became of a change."""
        if not isinstance(reply, Answer):
            return self.fail_on(reply)
        answer = {**reply.data, **data}
        if answer["in_force"]:
            line = f"{done}; in force on every entry at revision {answer['revision']}"
            self.show(answer, [line])
            return ExitCode.DONE
        self.show(answer, [f"{done}; committed at revision {answer['revision']}"])
        behind = ", ".join(answer["behind"]) or "unknown"
        return self.fail(
            ExitCode.NOT_YET_IN_FORCE,
            f"not yet in force everywhere; entries behind: {behind} "
            f"({answer['detail']})\n  an entry that is cut off stops serving keys "
            "when its lease runs out; send the same command again to check",
        )


def cell(value: object) -> str:
    """Return a value as the text of a table cell."""
    match value:
        case None:
            return "-"
        case list() | tuple():
            return ",".join(cell(item) for item in value) or "-"
        case dict():
            return ",".join(f"{key}={cell(item)}" for key, item in value.items())
        case _:
            return str(value)


def table_lines(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return aligned lines under a heading."""
    heading = [column.upper().replace("_", " ") for column in columns]
    lines = [heading, *rows]
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns))]
    return [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
