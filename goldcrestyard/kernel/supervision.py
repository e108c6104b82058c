"""What happens when a background task of a process fails unexpectedly.

The failure of a connection, a peer's message or an item ends only that, where
it is handled.  What remains are the tasks that run for the life of a process:
most can start again from the state of their objects, and only a task whose
failure leaves durable state unknown has to stop the process.
"""

from dataclasses import dataclass
from enum import Enum


class AfterFailure(Enum):
    """What to do after the failure of a task."""

    RESTART = "restart"
    STOP_PROCESS = "stop process"


@dataclass(frozen=True, slots=True)
class StopProcess:
    """State is unknown after a failure; a new process reads it again."""


@dataclass(frozen=True, slots=True)
class Restart:
    """The task starts again, after a delay that doubles with each failure.

    Failures that are ``forgiven_seconds`` apart do not add up.  After
    ``max_failures`` in a row the process stops: a process that goes on
    without one of its tasks is harder to detect than a stopped one.
    """

    first_delay_seconds: float = 0.25
    longest_delay_seconds: float = 8.0
    max_failures: int = 10
    forgiven_seconds: float = 60.0


FailurePolicy = StopProcess | Restart


@dataclass(slots=True)
class FailureHistory:
    """Failures of one task that were not far apart."""

    policy: FailurePolicy
    count: int = 0
    failed_at: float = float("-inf")

    def record(self, now: float) -> AfterFailure:
        """Record a failure at a time in seconds; return what to do."""
        match self.policy:
            case StopProcess():
                return AfterFailure.STOP_PROCESS
            case Restart(max_failures=most, forgiven_seconds=forgiven):
                self.count = 1 if now - self.failed_at > forgiven else self.count + 1
                self.failed_at = now
                return (
                    AfterFailure.STOP_PROCESS
                    if self.count > most
                    else AfterFailure.RESTART
                )

    @property
    def delay_seconds(self) -> float:
        """Time in seconds until the task starts again."""
        match self.policy:
            case StopProcess():
                return 0.0
            case Restart(first_delay_seconds=first, longest_delay_seconds=longest):
                return min(longest, first * 2.0 ** max(0, self.count - 1))
