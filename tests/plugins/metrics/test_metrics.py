"""Tests of the metrics.

They guard against a time series for each path that a caller requests, and
against two applications in one process that share a registry.
"""

import unittest

from parameterized import parameterized
from prometheus_client import CollectorRegistry, generate_latest

from goldcrestyard.core.ids import Region
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.listeners.middleware import ServedRequest
from goldcrestyard.plugins.metrics.metrics import Metrics
from goldcrestyard.plugins.metrics.observers import observe_requests, route_kind
from goldcrestyard.plugins.scheduling.scheduler import Scheduler
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice

KINDS = [
    ("/v1/chat/completions", "inference"),
    ("/services/{service}/{path}", "service"),
    ("/targets/{target}/renew", "target"),
    ("/trainer/v1/steps/{step}/samples", "trainer"),
    ("/operator/v1/plans", "operator"),
    ("/addresses", "addresses"),
    ("/healthz", "other"),
    ("", "other"),
    ("/anything/else", "other"),
]


class MetricsTests(unittest.TestCase):
    """The metrics of one application."""

    def setUp(self) -> None:
        self.registry = CollectorRegistry()
        self.metrics = Metrics(self.registry)

    @parameterized.expand(KINDS)
    def test_kind_of_route_is_from_a_fixed_set(self, route: str, kind: str) -> None:
        self.assertEqual(route_kind(route), kind)

    def test_request_is_counted_by_kind_status_and_verdict(self) -> None:
        served = ServedRequest("/v1/completions", 503, "not_run", 0.25)
        observe_requests(self.metrics, served)
        labels = {"route_kind": "inference", "status": "503", "verdict": "not_run"}
        self.assertEqual(
            self.registry.get_sample_value("goldcrest_requests_total", labels), 1
        )
        self.assertEqual(
            self.registry.get_sample_value(
                "goldcrest_request_duration_seconds_sum", {"route_kind": "inference"}
            ),
            0.25,
        )

    def test_retries_are_counted(self) -> None:
        scheduler = Scheduler(
            TargetsSlice(), Clock(), Region("lisboa"), SchedulingSettings()
        )
        scheduler.observe_retries(self.metrics.retries.inc)
        scheduler.report_retry()
        self.assertEqual(self.registry.get_sample_value("goldcrest_retries_total"), 1)

    def test_two_applications_do_not_share_metrics(self) -> None:
        other = CollectorRegistry()
        Metrics(other).retries.inc()
        self.assertIn(b"goldcrest_retries_total 0.0", generate_latest(self.registry))
