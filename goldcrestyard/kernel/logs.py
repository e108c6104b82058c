"""Configuration of structured logging: one JSON object per line."""

import logging
import sys
from typing import TextIO

import structlog

from goldcrestyard.kernel.log_output import BoundedOutput, LineLimiter

_output: BoundedOutput | None = None


def dropped_line_count() -> int:
    """Return the number of log lines dropped because the reader was slow."""
    return _output.dropped if _output is not None else 0


def configure(instance: str, level: str = "info") -> None:
    """Write the logs of this process to standard error, without limits."""
    _configure(instance, level, sys.stderr, [])


def configure_bounded(instance: str, level: str = "info") -> BoundedOutput:
    """Write the logs to standard output, rate-limited and without blocking.

    Returns the output, which the caller closes when the process stops.
    """
    global _output
    _output = BoundedOutput(sys.stdout.fileno())
    _configure(instance, level, _output, [LineLimiter()])
    return _output


def _configure(
    instance: str,
    level: str,
    file: TextIO | BoundedOutput,
    limits: list[structlog.typing.Processor],
) -> None:
    structlog.contextvars.bind_contextvars(instance=instance)
    structlog.configure(
        processors=[
            *limits,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
