"""``goldcrest targets drain``."""

from urllib.parse import quote

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, ChangeCommand
from goldcrestyard.cli.client import OperatorClient


class Command(ChangeCommand):
    """Drains a target."""

    description = "Send no new work to a target; it finishes its running work."
    arguments = [argument("target", "Id of the target; see 'goldcrest targets list'.")]
    options = SERVER_OPTIONS
    examples = ("targets drain engine-4",)

    async def run_on(self, client: OperatorClient) -> int:
        """Drain the target."""
        target = self.argument("target")
        reply = await client.send("POST", f"/targets/{quote(target, safe='')}/drain")
        return self.show_change(reply, f"target {target} drains", {"target": target})
