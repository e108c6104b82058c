"""``goldcrest key withdraw``."""

from urllib.parse import quote

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, ChangeCommand
from goldcrestyard.cli.client import OperatorClient
from goldcrestyard.cli.exit_codes import ExitCode


class Command(ChangeCommand):
    """Withdraws a key permanently."""

    description = "Withdraw a key permanently; running requests with it are ended."
    arguments = [
        argument(
            "key",
            "Id of the key: the part between 'gcy_' and the next '_'; see 'goldcrest "
            "key list'.",
        )
    ]
    options = SERVER_OPTIONS
    examples = ("key withdraw 4f0c2a9b7d1e",)

    async def run_on(self, client: OperatorClient) -> int:
        """Withdraw the key."""
        key_id = self.argument("key")
        if "_" in key_id:
            # The secret part of a key must never be sent, even to withdraw it.
            return self.fail(
                ExitCode.USAGE,
                "give only the id of the key, the part between 'gcy_' and the "
                "next '_'; see 'goldcrest key list'",
            )
        reply = await client.send("DELETE", f"/keys/{quote(key_id, safe='')}")
        return self.show_change(reply, f"key {key_id} is withdrawn", {"id": key_id})
