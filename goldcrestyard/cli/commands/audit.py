"""``goldcrest audit``."""

from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

from cleo.helpers import option

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand, format_cell


class Command(ListCommand):
    """Lists the audit trail."""

    description = "List who changed what, when, and with which result."
    options = [
        option(
            "since",
            None,
            "Only changes from this log index on.",
            flag=False,
            default="0",
        ),
        option(
            "author", None, "Only changes by this operator or instance.", flag=False
        ),
        option(
            "subject",
            None,
            "Only changes whose subject begins with this text, such as "
            "key/4f0c2a9b7d1e or organisation/.",
            flag=False,
        ),
        option(
            "limit",
            None,
            "Largest number of records; the newest are shown.",
            flag=False,
            default="100",
        ),
        *SERVER_OPTIONS,
    ]
    examples = (
        "audit --author ana",
        "audit --since 1200 --subject organisation/ --json",
    )
    path = "/audit"
    records_key = "records"
    columns = (
        "index",
        "time",
        "author",
        "action",
        "subject",
        "previous",
        "result",
        "correlation_id",
    )

    def query(self) -> dict[str, str]:
        """Return the filter options that are set."""
        names = ("since", "author", "subject", "limit")
        return {name: self.option(name) for name in names if self.option(name)}

    def row(self, record: Mapping[str, Any]) -> list[str]:
        """Return the table cells of one record, with its time in UTC."""
        time = datetime.fromtimestamp(record["time"], UTC)
        fields = {**record, "time": time.isoformat(timespec="seconds")}
        return [format_cell(fields.get(column)) for column in self.columns]
