"""``goldcrest plans list``."""

from collections.abc import Mapping
from typing import Any

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand, format_cell


class Command(ListCommand):
    """Lists the latest plans."""

    description = "List the latest plans and who confirmed them."
    options = SERVER_OPTIONS
    examples = ("plans list", "plans list --json")
    path = "/plans"
    records_key = "plans"
    columns = ("number", "author", "base", "changes", "warnings", "confirmed_by", "at")

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the table cells of one plan."""
        confirmation = record["confirmation"] or {}
        fields = {
            **record,
            "confirmed_by": confirmation.get("author"),
            "at": confirmation.get("revision"),
        }
        return [format_cell(fields.get(column)) for column in self.columns]
