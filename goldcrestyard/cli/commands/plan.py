"""``goldcrest plan``."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from goldcrestyard.cli.base import SERVER_OPTIONS, OperatorCommand
from goldcrestyard.cli.client import Answer, OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.core.decoding import parse_count


class Command(OperatorCommand):
    """Stores a plan of the changes that a declaration makes."""

    description = "Plan a declaration's changes; 'goldcrest confirm' applies them."
    arguments = [
        argument("file", "Declaration: a TOML file with the desired configuration.")
    ]
    options = [
        option("number", None, "Plan number (default: the next free one).", flag=False),
        *SERVER_OPTIONS,
    ]
    examples = ("plan declaration.toml", "plan declaration.toml --number 42")

    declaration = ""

    def handle(self) -> int:
        """Read the declaration, then request the plan."""
        path = Path(self.argument("file"))
        try:
            self.declaration = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return self.fail(ExitCode.USAGE, f"{path} cannot be read: {error}")
        return super().handle()

    async def run_on(self, client: OperatorClient) -> int:
        """Send the declaration and print the plan."""
        body: dict[str, object] = {"declaration": self.declaration}
        number = self.option("number")
        if number is not None:
            parsed = parse_count(number)
            if parsed is None:
                return self.fail(
                    ExitCode.USAGE, f"--number {number} is not a whole number"
                )
            body["number"] = parsed
        reply = await client.send("POST", "/plans", body)
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        self.show(reply.data, plan_lines(reply.data["plan"]))
        return ExitCode.DONE


def plan_lines(plan: Mapping[str, Any]) -> Iterator[str]:
    """Return a plan as text."""
    yield f"plan {plan['number']} by {plan['author']}, base revision {plan['base']}"
    for change in plan["changes"]:
        yield f"  {change['verb']} {change['table']}.{change['name']}"
        before, after = change["before"] or {}, change["after"] or {}
        for field in sorted(before.keys() | after.keys()):
            old, new = before.get(field), after.get(field)
            if change["verb"] == "change" and old != new:
                yield f"      {field}: {old} -> {new}"
            elif change["verb"] == "add":
                yield f"      {field}: {new}"
    if not plan["changes"]:
        yield "  no changes: the configuration already matches the declaration"
    for warning in plan["warnings"]:
        yield f"  warning: {warning}"
    confirmation = plan["confirmation"]
    if confirmation is None:
        yield f"to confirm: goldcrest confirm {plan['number']}@{plan['digest']}"
    else:
        yield (
            f"confirmed by {confirmation['author']} "
            f"at revision {confirmation['revision']}"
        )
