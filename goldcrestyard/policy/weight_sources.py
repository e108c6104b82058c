"""Choice of the source from which an entry fetches weights.

One designated entry of a region fetches a version from the store and the
others fetch it from there, so that it crosses the link between regions once.
"""

import math
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from goldcrestyard.core.ids import InstanceId

MAX_SUBSTITUTES = 1
"""Maximum number of entries that may fetch from the store in place of an
unreachable designated one.  This limits how often a version crosses the link
while entries fail."""

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
"""Shortest and longest delay that a ``Retry-After`` header can set."""


@dataclass(frozen=True, slots=True)
class FromStore:
    """Fetch from the store, at the published location."""


@dataclass(frozen=True, slots=True)
class FromEntry:
    """Fetch from another entry of the region."""

    entry: InstanceId


@dataclass(frozen=True, slots=True)
class NoSource:
    """Neither the designated entry nor its substitute is reachable."""


Source = FromStore | FromEntry | NoSource


def choose_source(
    order: Sequence[InstanceId],
    own: InstanceId,
    unreachable: AbstractSet[InstanceId],
) -> Source:
    """Return the source from which an entry fetches a version.

    ``order`` lists the region's entries in an order that depends only on the
    version, so that all entries agree on the designated one, the first.
    """
    for entry in order[: 1 + MAX_SUBSTITUTES]:
        if entry == own:
            return FromStore()
        if entry not in unreachable:
            return FromEntry(entry)
    return NoSource()


def retry_after_seconds(header: str | None, now: float, default: float) -> float:
    """Return the delay in seconds that a ``Retry-After`` header requests.

    Without a valid header it is ``default``.  ``now`` is the wall time, since
    the header may contain a date.
    """
    seconds = default
    if header is not None:
        try:
            seconds = float(header)
        except ValueError:
            try:
                seconds = parsedate_to_datetime(header).timestamp() - now
            except (ValueError, OverflowError):
                pass
    if math.isnan(seconds):
        seconds = default
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
