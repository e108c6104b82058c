"""Choice of a target for a call, by distance, load and response time.

The fleet's gateway uses it for calls to services.  ``routing`` is the
counterpart for the scheduler's requests, whose load is measured in tokens.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, Region, TargetId
from goldcrestyard.core.records import Target

OTHER_DATA_CENTRE_COST_SECONDS = 0.01
OTHER_REGION_COST_SECONDS = 0.15
"""Costs of distance in seconds.  They cover the round trip and, between
regions, the price of a link that is billed by volume."""

INITIAL_MEAN_SECONDS = 0.02
"""Assumed response time of a target that has answered no call yet.  Most calls
take longer, so that every target is tried."""

LATEST_RESPONSE_WEIGHT = 0.2
"""Weight of the latest response in a target's mean response time."""

MIN_SILENCES = 2
"""Number of calls given up in a row from which a target counts as failing."""

FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
"""Shortest and longest time in seconds for which a failing target gets no
calls.  The time doubles with each consecutive failure."""

NEW_CONNECTION_COST_SECONDS = 0.012
"""Cost in seconds of a call without a kept connection: opening it, and its
price for the target, which accepts a limited number from all callers."""

PERMIT_COST_SECONDS = 0.03
"""Cost in seconds of a call to a target with a request limit: the question to
the leader, and the need of the target."""

KEPT_SECONDS = 30.0
"""Time in seconds for which clients keep an idle connection."""

COST_JITTER = 0.2
"""Random share that is added to each cost, so that processes with the same
information do not all choose the same target."""


@dataclass(slots=True)
class CallStatistics:
    """This process's statistics of its calls to one run of a target."""

    incarnation: str
    in_flight: int = 0
    mean_seconds: float | None = None
    failures_in_a_row: int = 0
    ejected_until: float = float("-inf")
    withheld_until: float = float("-inf")
    """Monotonic time before which the target's request limit, while it names
    one, is known to be used up."""
    silences_in_a_row: int = 0
    """Calls that were given up since the latest response."""
    answered_at: float = float("-inf")
    """Monotonic time of the latest response."""
    full_until: float = float("-inf")
    """Monotonic time before which the target, which has said that it is full,
    is expected to have no free slot."""

    def record_success(self, seconds: float, now: float) -> None:
        """Record a response and end the ejection."""
        self.answered_at = now
        # The slot of this response is free now.
        self.full_until = float("-inf")
        self.failures_in_a_row = self.silences_in_a_row = 0
        self.ejected_until = float("-inf")
        if self.mean_seconds is None:
            self.mean_seconds = seconds
        else:
            self.mean_seconds += LATEST_RESPONSE_WEIGHT * (seconds - self.mean_seconds)

    def record_silence(self, now: float) -> None:
        """Record a call given up while another target answered it.

        A sound target is slow twice, with no response between, for one call
        in several hundred; a frozen one always is.
        """
        self.silences_in_a_row += 1
        if self.silences_in_a_row >= MIN_SILENCES:
            self.record_failure(now)

    def record_failure(self, now: float) -> None:
        """Record a failure and eject the target.

        The ejection time doubles with each consecutive failure.
        """
        ejection_seconds = FIRST_EJECTION_SECONDS * 2.0 ** min(
            self.failures_in_a_row, 10
        )
        self.failures_in_a_row += 1
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, ejection_seconds)


@dataclass(frozen=True, slots=True)
class CallerLocation:
    """Location of the process that sends the calls."""

    data_centre: DataCentre
    region: Region


def distance_seconds(location: CallerLocation, target: Target) -> float:
    """Return the cost of the distance to a target, in seconds."""
    if target.data_centre == location.data_centre:
        return 0.0
    if target.region == location.region:
        return OTHER_DATA_CENTRE_COST_SECONDS
    return OTHER_REGION_COST_SECONDS


def has_free_slot(target: Target, statistics: CallStatistics | None) -> bool:
    """Return whether this process may send another call to a target now."""
    return statistics is None or statistics.in_flight < max(1, target.max_concurrency)


def may_be_hedged_to(
    target: Target, statistics: CallStatistics | None, now: float
) -> bool:
    """Return whether a second copy of a call may go to a target.

    It takes no slot that another call needs, and goes to no target whose
    latest answer to a call was a failure.
    """
    return has_free_slot(target, statistics) and (
        statistics is None
        or (statistics.failures_in_a_row == 0 and now >= statistics.ejected_until)
    )


def mostly_full(
    targets: Sequence[Target],
    statistics_by_id: Mapping[TargetId, CallStatistics],
    now: float,
) -> bool:
    """Return whether most targets have no free slot, as known here."""
    full = sum(
        not has_free_slot(target, statistics)
        or (statistics is not None and now < statistics.full_until)
        for target in targets
        for statistics in (statistics_by_id.get(target.id),)
    )
    return 2 * full > len(targets)


def choose_target(
    candidates: Iterable[Target],
    statistics_by_id: Mapping[TargetId, CallStatistics],
    location: CallerLocation,
    tried: AbstractSet[TargetId],
    now: float,
    random_source: random.Random,
    limited: AbstractSet[TargetId] = frozenset(),
) -> Target | None:
    """Return the untried target with the lowest expected response time.

    ``limited`` are the targets with a request limit.  Returns None if all
    targets have been tried or have used up their limit.

    If all targets are ejected they are used nevertheless: the fault may lie
    in the requests or in the network, and waiting would not help.
    """
    untried = [
        target
        for target in candidates
        if target.id not in tried
        and not (
            target.id in limited
            and (known := statistics_by_id.get(target.id)) is not None
            and now < known.withheld_until
        )
    ]
    usable = [
        target
        for target in untried
        if (statistics := statistics_by_id.get(target.id)) is None
        or now >= statistics.ejected_until
    ]
    return min(
        usable or untried,
        key=lambda target: (
            expected_seconds(target, statistics_by_id.get(target.id), location)
            * (1 + COST_JITTER * random_source.random())
            + connection_seconds(statistics_by_id.get(target.id), now)
            + (PERMIT_COST_SECONDS if target.id in limited else 0.0)
        ),
        default=None,
    )


def connection_seconds(statistics: CallStatistics | None, now: float) -> float:
    """Return the cost in seconds of a connection to a target.

    Pattern: hundreds of processes that send few calls each.  One that goes
    on with the targets that it has called finds a kept connection there;
    otherwise nearly each call would open one.
    """
    kept = statistics is not None and now - statistics.answered_at < KEPT_SECONDS
    return 0.0 if kept else NEW_CONNECTION_COST_SECONDS


def expected_seconds(
    target: Target, statistics: CallStatistics | None, location: CallerLocation
) -> float:
    """Return the expected time in seconds until a target answers a call."""
    mean = INITIAL_MEAN_SECONDS
    load = 0.0
    if statistics is not None:
        if statistics.mean_seconds is not None:
            mean = statistics.mean_seconds
        load = statistics.in_flight / max(1, target.max_concurrency)
    return distance_seconds(location, target) + mean * (1 + 2 * load)
