"""Base classes of the commands, and the text output that they share."""

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

JSON_OPTION = option("json", None, "Print the answer as one JSON object, for scripts.")

SERVER_OPTIONS = [
    option(
        "server",
        "s",
        "Admin address (host:port) of an instance; repeat the option to name "
        "several, which are tried in turn.",
        flag=False,
        multiple=True,
    ),
    option("key-file", "k", "File that contains the operator key.", flag=False),
    option(
        "profile",
        "p",
        "TOML file with 'servers' and 'key_file' (default: goldcrest.toml).",
        flag=False,
    ),
    JSON_OPTION,
]

_HINTS_BY_CODE = {
    "invalid_key": (
        "check the key file; instances accept the keys whose SHA-256 is in their "
        "setting operators.key_sha256_by_name"
    ),
    "stale_plan": (
        "the configuration has changed; run 'goldcrest plan' again, check the new "
        "plan and confirm it"
    ),
    "not_found": (
        "check the id or name with the matching 'list' command, such as "
        "'goldcrest targets list'"
    ),
}


class BaseCommand(Command):
    """A command whose help shows examples and explains the exit codes."""

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
        """Print ``data`` as JSON with ``--json``, otherwise ``lines``."""
        if self.option("json"):
            lines = [msgspec.json.encode(data).decode()]
        for line in lines:
            # Raw, because names and details may contain the library's markup.
            self.io.write_line(line, type=Type.RAW)

    def fail(self, code: ExitCode, message: str) -> int:
        """Print an error to standard error and return the exit code."""
        self.io.write_error_line(f"goldcrest: {message}", type=Type.RAW)
        return code


class OperatorCommand(BaseCommand):
    """A command that sends requests to the operators' API."""

    exit_codes: Sequence[ExitCode] = (
        ExitCode.DONE,
        ExitCode.REFUSED,
        ExitCode.USAGE,
        ExitCode.UNKNOWN,
    )

    def handle(self) -> int:
        """Read the profile and run the command with its client."""
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
        """Send the requests, print the answer and return the exit code."""

    def report_failure(self, reply: Refused | Unanswered) -> int:
        """Print why a request failed and what to do; return the exit code."""
        match reply:
            case Refused(code=code, message=message):
                hint = _HINTS_BY_CODE.get(code, f"look up {code} in docs/errors.md")
                return self.fail(
                    ExitCode.REFUSED, f"refused ({code}): {message}\n  {hint}"
                )
            case Unanswered(message=message):
                return self.fail(
                    ExitCode.UNKNOWN,
                    f"{message}\n  a change may or may not have been made; run "
                    "'goldcrest audit' to see what was committed, or run the same "
                    "command again",
                )


class ListCommand(OperatorCommand):
    """A command that lists the records under one path as a table.

    ``records_key`` is the JSON key of the records in the answer.
    """

    path: str
    records_key: str
    columns: Sequence[str]

    async def run_on(self, client: OperatorClient) -> int:
        """Request the records and print them."""
        reply = await client.send("GET", self.path, query=self.query())
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        records = [self.row(record) for record in reply.data[self.records_key]]
        lines = [*table_lines(self.columns, records), *self.footer(reply.data)]
        self.show(reply.data, lines)
        return ExitCode.DONE

    def footer(self, data: Mapping[str, Any]) -> Sequence[str]:
        """Return the lines below the table."""
        return ()

    def query(self) -> dict[str, str]:
        """Return the query parameters of the request."""
        return {}

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the table cells of one record."""
        return [format_cell(record.get(column)) for column in self.columns]


class ChangeCommand(OperatorCommand):
    """A command that makes a change and reports whether it is in force."""

    exit_codes = (
        ExitCode.DONE,
        ExitCode.REFUSED,
        ExitCode.USAGE,
        ExitCode.NOT_YET_IN_FORCE,
        ExitCode.UNKNOWN,
    )

    def show_change(self, reply: Reply, done: str, data: Mapping[str, Any]) -> int:
        """Print the result of a change and return the exit code.

        ``done`` describes the change; ``data`` is added to the JSON output.
        """
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        answer = {**reply.data, **data}
        if answer["in_force"]:
            line = f"{done}; in force on every entry at revision {answer['revision']}"
            self.show(answer, [line])
            return ExitCode.DONE
        self.show(answer, [f"{done}; committed at revision {answer['revision']}"])
        behind = ", ".join(answer["behind"]) or "unknown"
        return self.fail(
            ExitCode.NOT_YET_IN_FORCE,
            f"not yet in force everywhere; entries that may not have applied the "
            f"change: {behind} ({answer['detail']})\n  an entry without contact to "
            "the leader refuses all keys once its lease expires; to check, "
            "repeat the command (not 'key grant', which would grant another key)",
        )


def format_cell(value: object) -> str:
    """Return a value as the text of a table format_cell."""
    match value:
        case None:
            return "-"
        case list() | tuple():
            return ",".join(format_cell(item) for item in value) or "-"
        case dict():
            return ",".join(f"{key}={format_cell(item)}" for key, item in value.items())
        case _:
            return str(value)


def table_lines(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return a table as lines: a heading and aligned rows."""
    heading = [column.upper().replace("_", " ") for column in columns]
    lines = [heading, *rows]
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns))]
    return [
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
