"""System checks: problems are collected, then shown together."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcrestyard.kernel.settings import Settings


class Level(Enum):
    """How serious a problem is; errors keep the daemon from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault found in the settings.

    ``id`` is stable across releases, so that operators can search for it.
    """

    level: Level
    id: str
    key: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"{self.level.value} {self.id} at {self.key}: {self.message}"


Check = Callable[["Settings"], Iterable[Problem]]


def run_checks(settings: "Settings", checks: Sequence[Check]) -> list[Problem]:
    """Return the problems of all checks, in the order of the checks."""
    return [problem for check in checks for problem in check(settings)]


def has_errors(problems: Iterable[Problem]) -> bool:
    """Return whether any problem keeps the daemon from starting."""
    return any(problem.level is Level.ERROR for problem in problems)
