"""Log lines and numbers of a disk that keeps its member from voting."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import structlog

from goldcrestyard.kernel.clock import Clock

logger = structlog.get_logger(__name__)

SLOW_SECONDS = 2.0
"""Duration of a disk operation from which the member counts as unable to vote.
It is the shortest election timeout: the others stop waiting for it then."""

REPEAT_SECONDS = 30.0
"""Interval in seconds at which the line of an outage is repeated."""


@dataclass(frozen=True, slots=True)
class _Failing:
    """A write has failed, and the disk has not been found writable since."""

    error: str


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An operation of the disk has not ended."""


class DiskOutages:
    """Counts and logs the outages of one member's disk.

    The process answers on the network meanwhile, so that nothing else shows
    why the member takes no part in an election.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing: _Failing | None = None
        self._failing_since = 0.0
        self._operation_since: float | None = None
        self._wait_logged = False
        self._logged_at = float("-inf")
        self.count = 0
        """Number of outages since the process started."""

    @property
    def seconds(self) -> float:
        """Duration of the present outage; 0 if there is none."""
        return self._elapsed(self._failing_since) if self._failing else self._waited()

    @contextmanager
    def operation(self) -> Iterator[None]:
        """Measure an operation of the disk; they don't overlap."""
        self._operation_since = self._clock.monotonic()
        try:
            yield
            if self._wait_logged:
                logger.info(
                    "disk operation ended, control member can vote again",
                    waited_seconds=round(self._waited(), 1),
                )
        finally:
            self._operation_since = None
            self._wait_logged = False

    def record_failure(self, error: Exception) -> None:
        """Record and log that a write has failed."""
        self._failing = _Failing(str(error))
        self._failing_since = self._clock.monotonic()
        self.count += 1
        self._log(self._failing)

    def record_recovery(self) -> None:
        """Record and log that the disk accepts writes again."""
        logger.info(
            "disk accepts writes again, control member resumed",
            suspended_seconds=round(self.seconds, 1),
        )
        self._failing = None

    def check(self) -> None:
        """Log an outage that has begun or that still lasts; call regularly."""
        outage = self._failing or (_Waiting() if self._waited() else None)
        if outage is None:
            return
        if isinstance(outage, _Waiting) and not self._wait_logged:
            self._wait_logged = True
            self.count += 1
            self._log(outage)
        elif self._elapsed(self._logged_at) >= REPEAT_SECONDS:
            self._log(outage)

    def _log(self, outage: _Failing | _Waiting) -> None:
        self._logged_at = self._clock.monotonic()
        seconds = round(self.seconds, 1)
        match outage:
            case _Failing(error=error):
                logger.error(
                    "disk write failed, control member suspended",
                    suspended_seconds=seconds,
                    error=error,
                )
            case _Waiting():
                logger.error(
                    "disk does not answer, control member cannot vote",
                    waited_seconds=seconds,
                )

    def _waited(self) -> float:
        """Return how long an operation has taken; 0 below ``SLOW_SECONDS``."""
        if self._operation_since is None:
            return 0.0
        seconds = self._elapsed(self._operation_since)
        return seconds if seconds >= SLOW_SECONDS else 0.0

    def _elapsed(self, since: float) -> float:
        return self._clock.monotonic() - since
