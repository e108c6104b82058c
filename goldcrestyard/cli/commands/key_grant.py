"""``goldcrest key grant``."""

from cleo.helpers import argument

from goldcrestyard.cli.base import SERVER_OPTIONS, ChangeCommand
from goldcrestyard.cli.client import OperatorClient, Unanswered
from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.core import keys


class Command(ChangeCommand):
    """Generates a key, sends its hash and prints the key once."""

    description = "Grant a new key to an organisation; the key is printed only once."
    arguments = [
        argument(
            "organisation",
            "Id of the organisation; see 'goldcrest organisations list'.",
        )
    ]
    options = SERVER_OPTIONS
    examples = ("key grant tejo-rail", "key grant tejo-rail --json")

    async def run_on(self, client: OperatorClient) -> int:
        """Grant the key; do not print it if the outcome is unknown."""
        organisation = self.argument("organisation")
        text, parts = keys.generate()
        body = {
            "id": parts.id,
            "organisation": organisation,
            "secret_hash": parts.secret_hash,
        }
        reply = await client.send("POST", "/keys", body)
        if isinstance(reply, Unanswered):
            return self.fail(
                ExitCode.UNKNOWN,
                f"{reply.message}\n  key {parts.id} may or may not have been granted; "
                f"run 'goldcrest key withdraw {parts.id}', then grant another",
            )
        return self.show_change(
            reply,
            f"{text}\nkey {parts.id} of {organisation} is granted",
            {"id": parts.id, "organisation": organisation, "key": text},
        )
