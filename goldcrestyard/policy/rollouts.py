"""What an engine needs to serve the published weight version."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import OrderId, TargetId, WeightVersion
from goldcrestyard.policy.backoff import Backoff

RETRIES = Backoff(base_seconds=1.0, longest_seconds=30.0)
RECHECK_SECONDS = 300.0
"""How often an engine that serves the version is asked again; about 4
questions a second with 930 engines."""
STRAGGLER_SHARE = 0.05
"""On an ordinary day a few of 930 engines fail or restart; the others do not
wait for them."""


class EngineState(Enum):
    """How far an engine is with the published version."""

    WAITING = "waiting"
    STAGING = "staging"
    STAGED = "staged"
    ACTIVATING = "activating"
    SERVING = "serving"
    BEHIND = "behind"


@dataclass(frozen=True, slots=True)
class Served:
    """What an engine says when it is asked."""

    active: WeightVersion | None
    staged: tuple[WeightVersion, ...] = ()


@dataclass(frozen=True, slots=True)
class NotTold:
    """The engine did not say what it serves."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stage:
    """The engine has to load the version beside the one it serves."""


@dataclass(frozen=True, slots=True)
class Activate:
    """The engine has the version and has to serve it."""


@dataclass(frozen=True, slots=True)
class Nothing:
    """The engine serves the version."""


@dataclass(frozen=True, slots=True)
class Later:
    """Nothing can be said or done now."""

    detail: str


Need = Stage | Activate | Nothing | Later


@dataclass(frozen=True, slots=True)
class EngineProgress:
    """What is known of one run of an engine."""

    incarnation: str
    state: EngineState = EngineState.WAITING
    detail: str = ""
    attempt: int = 0
    due_at: float = 0.0
    """When the engine is asked again."""
    order: OrderId | None = None
    """The last order that was placed."""


def straggler_count(engines: int) -> int:
    """Return how many engines the others wait for only a short time."""
    return min(engines - 1, max(1, int(engines * STRAGGLER_SHARE)))


def need_of(answer: Served | NotTold, version: WeightVersion) -> Need:
    """Return what an engine needs, from what it says itself."""
    match answer:
        case NotTold(detail=detail):
            return Later(detail)
        case Served(active=active) if active == version:
            return Nothing()
        case Served(staged=staged) if version in staged:
            return Activate()
        case Served():
            return Stage()


def shortfall(ordered: str, outcome: str, answer: Served | NotTold) -> str:
    """Say why an engine counts as behind after an order."""
    match answer:
        case NotTold(detail=detail):
            return f"{ordered}: {outcome}; does not say what it serves: {detail}"
        case Served(active=active, staged=staged):
            return (
                f"{ordered}: {outcome}; serves {active}, has staged "
                f"{', '.join(map(str, staged)) or 'nothing'}"
            )


def count_by_state(
    progress_by_target: Mapping[TargetId, EngineProgress],
) -> dict[str, int]:
    """Return the number of engines in each state."""
    counts = {state.value: 0 for state in EngineState}
    for progress in progress_by_target.values():
        counts[progress.state.value] += 1
    return counts
