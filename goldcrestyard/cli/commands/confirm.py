"""``goldcrest confirm``."""

import re

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, ChangeCommand
from goldcrestyard.cli.client import OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.core.decoding import parse_count

_PLAN_REFERENCE = re.compile(r"([0-9]{1,19})@([0-9a-f]{64})")


class Command(ChangeCommand):
    """Applies a stored plan."""

    description = "Apply a plan; waits until its changes are in force on every entry."
    arguments = [argument("plan", "Plan as NUMBER@DIGEST; 'goldcrest plan' prints it.")]
    options = SERVER_OPTIONS
    examples = ("confirm 42@<digest>", "confirm 42@<digest> --json")

    async def run_on(self, client: OperatorClient) -> int:
        """Confirm the plan."""
        match = _PLAN_REFERENCE.fullmatch(self.argument("plan"))
        number = parse_count(match[1]) if match is not None else None
        if match is None or number is None:
            return self.fail(
                ExitCode.USAGE,
                "give the plan as NUMBER@DIGEST; 'goldcrest plans show NUMBER' "
                "prints both",
            )
        digest = match[2]
        reply = await client.send(
            "POST", f"/plans/{number}/confirm", {"digest": digest}
        )
        return self.show_change(reply, f"plan {number} is confirmed", {})
