"""``goldcrest key list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the valid keys."""

    description = "List the ids of the valid keys and their organisations."
    options = SERVER_OPTIONS
    examples = ("key list", "key list --json")
    path = "/keys"
    records_key = "keys"
    columns = ("id", "organisation")
