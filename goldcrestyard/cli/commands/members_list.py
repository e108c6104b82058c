"""``goldcrest members list``."""

from collections.abc import Mapping, Sequence
from typing import Any

from goldcrestyard.cli.base import SERVER_OPTIONS, ListCommand


class Command(ListCommand):
    """Lists the control members."""

    description = (
        "List the control members, their roles and how far they have caught up."
    )
    options = SERVER_OPTIONS
    examples = ("members list", "members list --json")
    path = "/members"
    records_key = "members"
    columns = (
        "instance",
        "role",
        "address",
        "matched_index",
        "last_contact_seconds",
        "id",
    )

    def footer(self, data: Mapping[str, Any]) -> Sequence[str]:
        """Return how many more disks may be lost.

        An instance of an earlier release does not answer with it.
        """
        health = data.get("health")
        if health is None:
            return ()
        return (
            f"{health['sound_voters']} of {health['voters']} voters answer; "
            f"disks that may be lost now: {health['tolerated_losses']}",
        )
