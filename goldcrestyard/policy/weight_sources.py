"""Where an entry gets weights from, so that they cross the link once."""

import math
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from goldcrestyard.core.ids import InstanceId

STAND_INS = 1
"""Entries after the designated one that may fetch from the store in its place:
a bound on how often a version crosses the link while entries fail."""

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class FromStore:
    """Fetch from the published location."""


@dataclass(frozen=True, slots=True)
class FromEntry:
    """Fetch from another entry of the region."""

    entry: InstanceId


@dataclass(frozen=True, slots=True)
class NoSource:
    """Neither the designated entry nor its stand-in can be reached."""


Source = FromStore | FromEntry | NoSource


def choose_source(
    order: Sequence[InstanceId],
    own: InstanceId,
    unreachable: AbstractSet[InstanceId],
) -> Source:
    """Choose the source for an entry.

    ``order`` are the region's entries in an order that depends on the
    version only, so that all entries designate the same one.
    """
    for entry in order[: 1 + STAND_INS]:
        if entry == own:
            return FromStore()
        if entry not in unreachable:
            return FromEntry(entry)
    return NoSource()


def retry_after_seconds(header: str | None, now: float, default: float) -> float:
    """Return the wait that a ``Retry-After`` header asks for.

    ``now`` is the wall time, since the header may hold a date.
    """
    seconds = default
    if header is not None:
        try:
            seconds = float(header)
        except ValueError:
            try:
                seconds = parsedate_to_datetime(header).timestamp() - now
            except ValueError:
                pass
    if math.isnan(seconds):
        seconds = default
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
