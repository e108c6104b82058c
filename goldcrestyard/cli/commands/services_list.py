"""``goldcrest services list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the plain services."""

    description = "List the plain services with their routes."
    options = SERVER_OPTIONS
    examples = ("services list", "services list --json")
    path = "/services"
    noun = "services"
    columns = ("name", "organisations", "routes")
