"""``goldcrest targets list``."""

from collections.abc import Mapping
from typing import Any

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand, cell


class Command(ListCommand):
    """Lists the targets."""

    description = "List the targets with their state and home entry."
    options = SERVER_OPTIONS
    examples = ("targets list", "targets list --json")
    path = "/targets"
    noun = "targets"
    columns = ("id", "kind", "state", "data_centre", "serves", "address", "home")

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the cells of one target and its home."""
        fields = {**record["target"], "home": record["home"]}
        return [cell(fields.get(column)) for column in self.columns]
