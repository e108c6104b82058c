"""``goldcrest members list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the control members."""

    description = "List the control members and the role of each."
    options = SERVER_OPTIONS
    examples = ("members list", "members list --json")
    path = "/members"
    noun = "members"
    columns = (
        "instance",
        "role",
        "address",
        "matched_index",
        "last_contact_seconds",
        "id",
    )
