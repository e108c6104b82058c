"""Declarations of the Prometheus metrics, and their reference page.

Labels only take values from fixed sets, so that the number of time series
does not grow with the number of callers or targets.
"""

from collections.abc import Iterator, Sequence
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.observability.metrics import FleetMetrics

PREFIX = "goldcrest"
DURATION_BUCKETS = (0.005, 0.02, 0.1, 0.5, 2.0, 10.0, 60.0, 300.0)
"""Bucket limits in seconds, from an immediate refusal to a long stream."""

Metric = Counter | Gauge | Histogram
MetricT = TypeVar("MetricT", Counter, Gauge, Histogram)


class Metrics:
    """All metrics of one application object, in a registry of its own."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self.all: list[tuple[Metric, tuple[str, ...]]] = []
        self.entry_lease = self._gauge(
            "entry_lease_seconds",
            "Seconds until this entry's lease expires; 0 means that it refuses "
            "requests with a key.",
        )
        self.revision = self._gauge(
            "entry_revision", "Revision of the state that this entry has applied."
        )
        self.requests = self._counter(
            "requests",
            "Requests answered, by kind of route, status and verdict.",
            ("route_kind", "status", "verdict"),
        )
        self.duration = self._histogram(
            "request_duration_seconds",
            "Seconds from the request's headers to the end of the response.",
            ("route_kind",),
        )
        self.in_flight = self._gauge(
            "requests_in_flight",
            "Requests that this entry has sent to targets and that have not ended.",
        )
        self.connections = self._gauge(
            "client_connections", "Open connections from clients, at all listeners."
        )
        self.refused_connections = self._counter(
            "refused_connections",
            "Connections refused before their request was parsed, or closed with an "
            "unread answer, by reason.",
            ("reason",),
        )
        self.bodies_bytes = self._gauge(
            "bodies_bytes", "Bytes of requests in progress."
        )
        self.slow_bodies = self._counter(
            "slow_bodies",
            "Request bodies that arrived too slowly and were given up for others.",
        )
        self.retries = self._counter(
            "retries", "Requests that this entry has sent again to another target."
        )
        self.proposals = self._counter(
            "proposals",
            "Commands that this instance has proposed, by their result.",
            ("result",),
        )
        self.targets = self._gauge(
            "targets", "Targets that this entry knows, by state.", ("state",)
        )
        self.log_index = self._gauge(
            "log_applied_index",
            "Index of the last log entry that this control member has applied.",
        )
        self.leader = self._gauge(
            "leader", "1 while this control member is the leader, 0 otherwise."
        )
        self.term = self._gauge("term", "Election term of this control member.")
        self.disk_failing = self._gauge(
            "disk_failing",
            "1 while this control member is suspended because its disk fails.",
        )
        self.disk_outages = self._gauge(
            "disk_outages",
            "Times since the process started that this control member could not vote "
            "because its disk failed or did not answer.",
        )
        self.disk_outage_seconds = self._gauge(
            "disk_outage_seconds",
            "Seconds for which this control member has not been able to vote because "
            "its disk fails or does not answer; 0 while it works.",
        )
        self.change_lag = self._gauge(
            "change_lag_seconds",
            "Seconds for which the slowest entry with a lease has not applied a "
            "committed change; measured by the leader, 0 elsewhere.",
        )
        for state in (TargetState.READY, TargetState.DRAINING):
            self.targets.labels(state.value)

    def _gauge(self, name: str, text: str, labels: Sequence[str] = ()) -> Gauge:
        return self._add(
            Gauge(f"{PREFIX}_{name}", text, labels, registry=self._registry), labels
        )

    def _counter(self, name: str, text: str, labels: Sequence[str] = ()) -> Counter:
        return self._add(
            Counter(f"{PREFIX}_{name}", text, labels, registry=self._registry), labels
        )

    def _histogram(self, name: str, text: str, labels: Sequence[str]) -> Histogram:
        return self._add(
            Histogram(
                f"{PREFIX}_{name}",
                text,
                labels,
                registry=self._registry,
                buckets=DURATION_BUCKETS,
            ),
            labels,
        )

    def _add(self, metric: MetricT, labels: Sequence[str]) -> MetricT:
        self.all.append((metric, tuple(labels)))
        return metric


def reference_lines() -> Iterator[str]:
    """Return the reference of all metrics as Markdown."""
    yield "# Metrics"
    yield ""
    yield (
        "Generated by `goldcrest metrics reference`; do not edit. Each instance serves "
        "them at `/metrics` on its admin listener, with the usual `process_` metrics."
    )
    yield ""
    yield "| Metric | Type | Labels | Meaning |"
    yield "| --- | --- | --- | --- |"
    yield from _rows(Metrics(CollectorRegistry()).all)
    yield ""
    yield "## On the users' platform"
    yield ""
    yield "Each process serves these at the address that `deploy/system.toml` names."
    yield ""
    yield "| Metric | Type | Labels | Meaning |"
    yield "| --- | --- | --- | --- |"
    yield from _rows(FleetMetrics(CollectorRegistry()).all)


def _rows(metrics: Sequence[tuple[Metric, tuple[str, ...]]]) -> Iterator[str]:
    for metric, labels in metrics:
        for described in metric.describe():
            name = described.name
            if described.type == "counter":
                name += "_total"
            listed = ", ".join(f"`{label}`" for label in labels) or "-"
            text = described.documentation
            yield f"| `{name}` | {described.type} | {listed} | {text} |"
