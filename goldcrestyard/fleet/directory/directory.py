"""Which entries a caller is told to use."""

from dataclasses import dataclass

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.plugins.addresses.commands import Entry
from goldcrestyard.plugins.addresses.slices import EntriesSlice

FEWEST_NEAR = 2
"""Callers choose at random among the addresses that they get, so entries
farther away are only named where too few are near."""

TTL_SECONDS = 2.0
"""Short, so that callers leave an entry that stops within its drain time."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Entries to use, and how long the answer may be kept."""

    addresses: tuple[str, ...]
    ttl_seconds: float


class Directory:
    """Answers callers from the replicated list of entries."""

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._entries = member.machine.get(EntriesSlice)

    def look_up(self, data_centre: str, region: str, most: int) -> Answer | None:
        """Return the entries near a caller, or None if that is not known."""
        if self._member.leader is None:
            return None
        entries = [
            entry
            for entry in self._entries.entries_by_id.values()
            if not entry.draining
        ]
        if not entries:
            return None
        near = nearest(entries, data_centre, region)
        return Answer(tuple(entry.public_address for entry in near[:most]), TTL_SECONDS)


def nearest(entries: list[Entry], data_centre: str, region: str) -> list[Entry]:
    """Return the entries of the smallest area around a caller with enough."""
    same_place = [entry for entry in entries if entry.data_centre == data_centre]
    if len(same_place) >= FEWEST_NEAR:
        return same_place
    same_region = [entry for entry in entries if entry.region == region]
    if len(same_region) >= FEWEST_NEAR:
        return same_region
    return entries
