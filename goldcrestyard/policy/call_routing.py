"""The choice of a target for a call, by distance, load and speed."""

import random
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.records import Target

OTHER_DATA_CENTRE_SECONDS = 0.01
OTHER_REGION_SECONDS = 0.15
"""Cost of distance as seconds of waiting: the round trip, and the price of
the bytes on a link that is paid for by volume."""

UNKNOWN_SECONDS = 0.02
"""Assumed time of a call at a target that has answered none: less than most
take, so that each target is tried."""

SPEED_WEIGHT = 0.2
"""Weight of the latest answer in a target's mean time."""

FIRST_EJECTION_SECONDS = 0.5
LONGEST_EJECTION_SECONDS = 8.0

TIE_SPREAD = 0.2
"""Random part of a cost, so that processes which know the same do not all
choose the same target."""


@dataclass(slots=True)
class CallFacts:
    """What this process has learned about one run of a target."""

    incarnation: str
    in_flight: int = 0
    mean_seconds: float | None = None
    failures_in_a_row: int = 0
    avoided_until: float = float("-inf")

    def succeeded(self, seconds: float) -> None:
        """Learn from an answer."""
        self.failures_in_a_row = 0
        self.avoided_until = float("-inf")
        if self.mean_seconds is None:
            self.mean_seconds = seconds
        else:
            self.mean_seconds += SPEED_WEIGHT * (seconds - self.mean_seconds)

    def failed(self, now: float) -> None:
        """Avoid the target for a time that doubles with each failure."""
        pause = FIRST_EJECTION_SECONDS * 2.0 ** min(self.failures_in_a_row, 10)
        self.failures_in_a_row += 1
        self.avoided_until = now + min(LONGEST_EJECTION_SECONDS, pause)


@dataclass(frozen=True, slots=True)
class Place:
    """Where the caller of a target is."""

    data_centre: DataCentre
    region: Region


def distance_seconds(place: Place, target: Target) -> float:
    """Return the cost of the way to a target."""
    if target.data_centre == place.data_centre:
        return 0.0
    if target.region == place.region:
        return OTHER_DATA_CENTRE_SECONDS
    return OTHER_REGION_SECONDS


def has_place(target: Target, facts: CallFacts | None) -> bool:
    """Return whether fewer calls are at a target than it runs at once."""
    return facts is None or facts.in_flight < max(1, target.max_concurrency)


def choose_target(
    candidates: Iterable[Target],
    facts_by_id: Mapping[TargetId, CallFacts],
    place: Place,
    tried: AbstractSet[TargetId],
    now: float,
    source: random.Random,
) -> Target | None:
    """Return the target with the least expected time, or None.

    When all are avoided they are used all the same: the fault may lie with
    the requests or on the way, and waiting gains nothing.
    """
    untried = [target for target in candidates if target.id not in tried]
    usable = [
        target
        for target in untried
        if (facts := facts_by_id.get(target.id)) is None or now >= facts.avoided_until
    ]
    return min(
        usable or untried,
        key=lambda target: (
            expected_seconds(target, facts_by_id.get(target.id), place)
            * (1 + TIE_SPREAD * source.random())
        ),
        default=None,
    )


def expected_seconds(target: Target, facts: CallFacts | None, place: Place) -> float:
    """Return the expected time until a target answers a call."""
    mean = UNKNOWN_SECONDS
    waiting = 0.0
    if facts is not None:
        if facts.mean_seconds is not None:
            mean = facts.mean_seconds
        waiting = facts.in_flight / max(1, target.max_concurrency)
    return distance_seconds(place, target) + mean * (1 + 2 * waiting)
