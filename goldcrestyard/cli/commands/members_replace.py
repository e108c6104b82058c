"""``goldcrest members replace``."""

from urllib.parse import quote

from cleo.helpers import argument, option

from goldcrestyard.cli.base import SERVER_OPTIONS, OperatorCommand
from goldcrestyard.cli.client import Answer, OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode


class Command(OperatorCommand):
    """Replaces a control member, such as one that lost its disk."""

    description = "Replace a control member, such as one that lost its disk."
    arguments = [
        argument("member", "Instance id of the member; see 'goldcrest members list'.")
    ]
    options = [
        option(
            "by",
            None,
            "Id of the new member's instance (default: the same instance).",
            flag=False,
        ),
        option(
            "address",
            None,
            "Peer address (host:port) of that instance (default: that in "
            "cluster.control_members).",
            flag=False,
        ),
        *SERVER_OPTIONS,
    ]
    examples = (
        "members replace lisboa-b-1",
        "members replace lisboa-b-1 --by lisboa-b-3 --address 10.1.2.3:7400",
    )

    async def run_on(self, client: OperatorClient) -> int:
        """Replace the member."""
        member = self.argument("member")
        path = f"/members/{quote(member, safe='')}/replace"
        body = {"instance": self.option("by"), "address": self.option("address")}
        reply = await client.send("POST", path, body)
        if not isinstance(reply, Answer):
            return self.report_failure(reply)
        self.show({"member": member, **reply.data}, [f"member {member} is replaced"])
        return ExitCode.DONE
