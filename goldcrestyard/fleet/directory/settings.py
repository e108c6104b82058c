"""Settings of the directory."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting

LISTED_ENTRIES = 5
"""Default length of a caller's list where capacities differ.  With 12 entries
in a data centre, a list has none left after the loss of 7 in 2.7% of all
cases, and the shares of the entries still follow their capacities within a
quarter."""


@dataclass(frozen=True)
class DirectorySettings:
    """Capacity of this entry, and the length of the lists for callers."""

    capacity: float | None = setting(
        "Processor time of this entry in cores; none if it is not known.",
        default=None,
    )
    listed_entries: int = setting(
        "Entries that a caller gets if the capacities of those near it differ;"
        " at least 3, or 0 to name all of them.",
        default=LISTED_ENTRIES,
    )
