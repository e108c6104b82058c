"""``goldcrest organisations list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the organisations."""

    description = "List the organisations and their terms."
    options = SERVER_OPTIONS
    examples = ("organisations list", "organisations list --json")
    path = "/organisations"
    noun = "organisations"
    columns = ("id", "share", "tokens_per_minute")
