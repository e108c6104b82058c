"""``goldcrest services list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the services."""

    description = "List the services other than models, with their routes."
    options = SERVER_OPTIONS
    examples = ("services list", "services list --json")
    path = "/services"
    records_key = "services"
    columns = ("name", "organisations", "routes")
