"""``goldcrest plans show``."""

from urllib.parse import quote

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, OperatorCommand
from goldcrestyard.cli.client import Answer, OperatorClient
from goldcrestyard.cli.commands.plan import plan_lines
from goldcrestyard.cli.exit_codes import ExitCode


class Command(OperatorCommand):
    """Shows one plan."""

    description = (
        "Show a plan with its changes, its warnings and the command to confirm it."
    )
    arguments = [argument("number", "Number of the plan; see 'goldcrest plans list'.")]
    options = SERVER_OPTIONS
    examples = ("plans show 42", "plans show 42 --json")

    async def run_on(self, client: OperatorClient) -> int:
        """Request the plan and print it."""
        number = quote(self.argument("number"), safe="")
        reply = await client.send("GET", f"/plans/{number}")
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        self.show(reply.data, plan_lines(reply.data["plan"]))
        return ExitCode.DONE
