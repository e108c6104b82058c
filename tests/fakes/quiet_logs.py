"""Suppresses log lines of simulated faults, which would bury test failures."""

import logging
import unittest

import structlog


def quiet_logs(case: unittest.TestCase) -> None:
    """Log only critical events until the end of a test."""
    before = structlog.get_config()
    case.addCleanup(lambda: structlog.configure(**before))
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
