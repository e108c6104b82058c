"""``goldcrest targets list``."""

from collections.abc import Mapping
from typing import Any

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand, format_cell


class Command(ListCommand):
    """Lists the targets."""

    description = "List the targets, their state and the entry that tracks each."
    options = SERVER_OPTIONS
    examples = ("targets list", "targets list --json")
    path = "/targets"
    records_key = "targets"
    columns = ("id", "kind", "state", "data_centre", "serves", "address", "home")

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the table cells of one target and its home."""
        fields = {**record["target"], "home": record["home"]}
        return [format_cell(fields.get(column)) for column in self.columns]
