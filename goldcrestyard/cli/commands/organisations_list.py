"""``goldcrest organisations list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the organisations."""

    description = "List the organisations with their share and token limit."
    options = SERVER_OPTIONS
    examples = ("organisations list", "organisations list --json")
    path = "/organisations"
    records_key = "organisations"
    columns = ("id", "share", "tokens_per_minute")
