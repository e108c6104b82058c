"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

import structlog


def configure(instance: str, level: str = "info") -> None:
    """Configure the log output of this process."""
    structlog.contextvars.bind_contextvars(instance=instance)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
