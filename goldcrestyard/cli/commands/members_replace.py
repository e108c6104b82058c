"""``goldcrest members replace``."""

from urllib.parse import quote

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, OperatorCommand
from goldcrestyard.cli.client import Answer, OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode


class Command(OperatorCommand):
    """Readmits a control member that lost its disk."""

    description = "Replace a control member that lost its disk."
    arguments = [argument("member", "Instance id of the control member.")]
    options = SERVER_OPTIONS
    examples = ("members replace lisboa-b-1",)

    async def run_on(self, client: OperatorClient) -> int:
        """Replace the member."""
        member = self.argument("member")
        path = f"/members/{quote(member, safe='')}/replace"
        reply = await client.send("POST", path)
        if not isinstance(reply, Answer):
            return self.fail_on(reply)
        self.show({"member": member, **reply.data}, [f"member {member} is replaced"])
        return ExitCode.DONE
