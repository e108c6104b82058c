"""Rollout of the published weight version to engines.

An engine first stages a version beside the one that it serves, and then
activates it.  The functions derive the next step from what the engine itself
reports, not from the outcome of earlier orders.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import OrderId, TargetId, WeightVersion
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=1.0, longest_seconds=30.0)
"""Delays before an engine that could not be updated is tried again."""

RECHECK_SECONDS = 300.0
"""Interval at which an engine that serves the version is queried again; about
4 queries per second with 930 engines."""

STRAGGLER_SHARE = 0.05
"""Share of the engines that may be late without delaying the others.  On an
ordinary day a few of 930 engines fail or restart."""


class EngineState(Enum):
    """Progress of an engine towards the published version.

    ``BEHIND`` is an engine that did not reach the version in time; it is
    tried again.
    """

    WAITING = "waiting"
    STAGING = "staging"
    STAGED = "staged"
    ACTIVATING = "activating"
    SERVING = "serving"
    BEHIND = "behind"


@dataclass(frozen=True, slots=True)
class VersionsReported:
    """The versions that an engine reports."""

    active: WeightVersion | None
    staged: tuple[WeightVersion, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionsUnknown:
    """The engine did not report its versions."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stage:
    """The engine has to load the version beside the one that it serves."""


@dataclass(frozen=True, slots=True)
class Activate:
    """The engine has staged the version and has to switch to it."""


@dataclass(frozen=True, slots=True)
class UpToDate:
    """The engine serves the version, so there is nothing to do."""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The engine's versions are unknown, so it is queried again later."""

    detail: str


Need = Stage | Activate | UpToDate | RetryLater


@dataclass(frozen=True, slots=True)
class EngineProgress:
    """Progress of one run of an engine.

    ``incarnation`` identifies the run; ``attempt`` counts the failed tries.
    """

    incarnation: str
    state: EngineState = EngineState.WAITING
    detail: str = ""
    attempt: int = 0
    due_at: float = 0.0
    """Time of the next query."""
    order: OrderId | None = None
    """The latest order for this engine."""


def straggler_count(engines: int) -> int:
    """Return the number of late engines for which the others wait briefly."""
    return min(engines - 1, max(1, int(engines * STRAGGLER_SHARE)))


def next_rollout_step(
    answer: VersionsReported | VersionsUnknown, version: WeightVersion
) -> Need:
    """Return the next step of an engine towards a version."""
    match answer:
        case VersionsUnknown(detail=detail):
            return RetryLater(detail)
        case VersionsReported(active=active) if active == version:
            return UpToDate()
        case VersionsReported(staged=staged) if version in staged:
            return Activate()
        case VersionsReported():
            return Stage()


def describe_lag(
    ordered: str, outcome: str, answer: VersionsReported | VersionsUnknown
) -> str:
    """Describe an engine that still does not serve the version after an order.

    ``ordered`` and ``outcome`` name the order's kind and its final state.
    """
    match answer:
        case VersionsUnknown(detail=detail):
            return f"{ordered}: {outcome}; versions unknown: {detail}"
        case VersionsReported(active=active, staged=staged):
            return (
                f"{ordered}: {outcome}; serves {active}, has staged "
                f"{', '.join(map(str, staged)) or 'nothing'}"
            )


def count_by_state(
    progress_by_target: Mapping[TargetId, EngineProgress],
) -> dict[str, int]:
    """Return the number of engines in each state, by state value."""
    counts = {state.value: 0 for state in EngineState}
    for progress in progress_by_target.values():
        counts[progress.state.value] += 1
    return counts
