"""``goldcrest models list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the model lines."""

    description = (
        "List the model lines and how many versions behind their samples may be."
    )
    options = SERVER_OPTIONS
    examples = ("models list", "models list --json")
    path = "/models"
    records_key = "models"
    columns = ("name", "trainer", "organisations", "max_versions_behind")
