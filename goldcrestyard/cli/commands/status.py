"""``goldcrest status``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, OperatorCommand, format_cell
from goldcrestyard.cli.client import Answer, OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode


class Command(OperatorCommand):
    """Shows the state of the instance that answers first."""

    description = "Show the state, leader and lease of the first instance that answers."
    options = SERVER_OPTIONS
    examples = ("status", "status --server 10.0.1.7:9000 --json")

    async def run_on(self, client: OperatorClient) -> int:
        """Request the state and print it."""
        reply = await client.send("GET", "/status")
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        width = max(len(name) for name in reply.data)
        self.show(
            reply.data,
            [
                f"{name.ljust(width)}  {format_cell(value)}"
                for name, value in reply.data.items()
            ],
        )
        return ExitCode.DONE
