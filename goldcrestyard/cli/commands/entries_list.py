"""``goldcrest entries list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the entries."""

    description = "List the instances that accept callers."
    options = SERVER_OPTIONS
    examples = ("entries list", "entries list --json")
    path = "/entries"
    records_key = "entries"
    columns = (
        "id",
        "data_centre",
        "region",
        "public_address",
        "admin_address",
        "draining",
    )
