"""``goldcrest members list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the control members."""

    description = (
        "List the control members, their roles and how far they have caught up."
    )
    options = SERVER_OPTIONS
    examples = ("members list", "members list --json")
    path = "/members"
    records_key = "members"
    columns = (
        "instance",
        "role",
        "address",
        "matched_index",
        "last_contact_seconds",
        "id",
    )
