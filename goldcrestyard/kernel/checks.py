"""System checks of the settings.

Each plug-in contributes checks.  All run before the daemon starts, so that
operators see every problem at once.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from goldcrestyard.kernel.settings import Settings


class Severity(Enum):
    """Severity of a problem; an error prevents the daemon from starting."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem found in the settings.

    ``id`` is stable across releases, so that operators can search for it.
    ``key`` is the setting concerned, and ``hint`` says how to correct it.
    """

    level: Severity
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
    """Return whether any problem prevents the daemon from starting."""
    return any(problem.level is Severity.ERROR for problem in problems)
