"""``goldcrest models list``."""

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the model lines."""

    description = "List the model lines and the bound on the age of samples."
    options = SERVER_OPTIONS
    examples = ("models list", "models list --json")
    path = "/models"
    noun = "models"
    columns = ("name", "trainer", "organisations", "max_versions_behind")
