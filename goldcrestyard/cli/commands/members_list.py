"""``goldcrest members list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the control members."""

    description = "List the control members and which of them leads."
    options = SERVER_OPTIONS
    examples = ("members list", "members list --json")
    path = "/members"
    noun = "members"
    columns = ("id", "peer_address", "leader")
