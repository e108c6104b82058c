"""Definitions of the fleet metrics, each with its help text.

Labels only take values from fixed sets, so that the number of time series
does not grow with the number of callers or targets.
"""

from collections.abc import Sequence
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

METRIC_PREFIX = "goldcrest_fleet"

LEADER_ONLY = "NaN unless this process leads and has heard the members"
"""Part of the help of gauges that only the leader knows.  A value such as 0 on
the other processes would look like an alarm."""

ANSWER_SECONDS_BUCKETS = (0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 12.0)
"""Bucket bounds in seconds, from an immediate refusal to the longest time-out
of a route."""

ITEM_RUN_SECONDS_BUCKETS = (0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Bucket bounds in seconds, from a short item to a long, resumed one."""

GROUP_START_SECONDS_BUCKETS = (0.0, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Bucket bounds in seconds, from a group that starts when its job is due to
one whose job has much time left."""

Metric = Counter | Gauge | Histogram
AnyMetric = TypeVar("AnyMetric", Counter, Gauge, Histogram)


class FleetMetrics:
    """The metrics of one process, in a registry of their own."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.all: list[tuple[Metric, tuple[str, ...]]] = []
        self.answers = self._counter(
            "answers",
            "Requests of callers, by kind of route, outcome and verdict.",
            ("route_kind", "outcome", "verdict"),
        )
        self.answer_seconds = self._histogram(
            "answer_seconds",
            "Seconds from a request's arrival to its answer.",
            ANSWER_SECONDS_BUCKETS,
            ("route_kind",),
        )
        self.hedges = self._counter(
            "hedges",
            "Second copies of slow calls, by whether they were sent or won.",
            ("outcome",),
        )
        self.hedges_withheld = self._counter(
            "hedges_withheld",
            "Hedges that were due and were not sent, by reason.",
            ("reason",),
        )
        self.take_ups = self._counter(
            "stream_take_ups",
            "Streams that callers took up, by what is known of their origin.",
            ("decision",),
        )
        self.recorded_streams = self._gauge(
            "recorded_streams",
            "Streams whose software version this control member has recorded.",
        )
        self.item_runs = self._counter(
            "item_runs", "Runs of items at engines, by how they ended.", ("outcome",)
        )
        self.item_seconds = self._histogram(
            "item_run_seconds",
            "Duration of item runs in seconds.",
            ITEM_RUN_SECONDS_BUCKETS,
            (),
        )
        self.items = self._counter(
            "items_listed", "Items listed, by how they ended.", ("outcome",)
        )
        self.lost_texts = self._counter(
            "item_texts_lost",
            "Texts of items dropped since no engine could go on with them, by reason.",
            ("reason",),
        )
        self.groups = self._counter(
            "groups_ended",
            "Groups of items that have ended, by whether they were complete when "
            "their job was due.",
            ("outcome",),
        )
        self.group_start_to_due_seconds = self._histogram(
            "group_start_to_due_seconds",
            "Seconds from the start of a group's first item to the time at which its "
            "job is due; 0 or less counts as late.",
            GROUP_START_SECONDS_BUCKETS,
            (),
        )
        self.waiting_items = self._gauge(
            "items_waiting",
            "Items that wait for an engine, by urgency; 9 and above count as 9. "
            "Only the leader's are current.",
            ("urgency",),
        )
        self.waiting_organisations = self._gauge(
            "organisations_waiting",
            "Organisations with items that wait for an engine. Only the leader's "
            "are current.",
        )
        self.most_waiting_items = self._gauge(
            "items_waiting_of_one_organisation",
            "Items that wait for an engine, of the organisation with the most. Only "
            "the leader's are current.",
        )
        self.short_pools = self._gauge(
            "short_pools",
            "Pairs of service and model whose items start in whole groups, since not "
            "all can end in time. Only the leader's are current.",
        )
        self.unused_targets = self._gauge(
            "unused_targets",
            "Targets that report and get no requests, as their run has left or their "
            "service is not configured. Only the leader's are current.",
        )
        self.limited_targets = self._gauge(
            "limited_targets", "Targets that name a request limit in their answers."
        )
        self.leaving_targets = self._gauge(
            "leaving_targets",
            "Known targets that have said in an answer that they leave.",
        )
        self.leaving_services = self._gauge(
            "leaving_services", "Services whose ready targets all leave."
        )
        self.permits = self._counter(
            "request_permits",
            "Requests to targets with a request limit, by whether they were sent.",
            ("outcome",),
        )
        self.cold_targets = self._gauge(
            "cold_targets", "Ready targets that are or may be cold."
        )
        self.cold_permits = self._counter(
            "cold_permits",
            "Requests to targets that are or may be cold, by whether they were sent.",
            ("outcome",),
        )
        self.target_answers = self._counter(
            "target_answers",
            "Answers of targets, by whether they name a request limit.",
            ("limited",),
        )
        self.suspected_requests = self._gauge(
            "suspected_requests", "Requests under which targets have crashed."
        )
        self.rejected_requests = self._gauge(
            "rejected_requests",
            "Requests that are rejected because targets crash under them.",
        )
        self.evacuated_data_centres = self._gauge(
            "evacuated_data_centres", "Data centres whose evacuation is in force."
        )
        self.evacuated_requests = self._gauge(
            "evacuated_requests",
            "Requests of this process in progress at targets of evacuated data "
            "centres.",
        )
        self.lease = self._gauge(
            "lease_seconds", "Seconds until this entry's lease runs out."
        )
        self.revision = self._gauge(
            "revision", "Revision of the state that this process has applied."
        )
        self.longest_apply = self._gauge(
            "longest_apply_seconds",
            "Longest time in seconds that the application of one log entry took since "
            "the process started; nothing else runs meanwhile.",
        )
        self.bodies_bytes = self._gauge(
            "bodies_bytes", "Bytes of requests and answers in progress."
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
        self.slow_bodies = self._counter(
            "slow_bodies",
            "Request bodies that arrived too slowly and were given up for others.",
            (),
        )
        self.jobs_bytes = self._gauge(
            "jobs_bytes", "Bytes of the jobs that this control member keeps."
        )
        self.proposals_bytes = self._gauge(
            "proposals_bytes", "Bytes of the proposals without a result."
        )
        self.log_bytes = self._gauge(
            "log_bytes", "Bytes of the log entries since the latest snapshot."
        )
        self.leader = self._gauge("leader", "1 while this control member leads.")
        self.term = self._gauge("term", "Term of this control member.")
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
        self.voters = self._gauge(
            "voters", f"Voters of the control cluster; {LEADER_ONLY}."
        )
        self.sound_voters = self._gauge(
            "sound_voters",
            "Voters that have answered lately and still have their disk; "
            f"{LEADER_ONLY}.",
        )
        self.tolerated_losses = self._gauge(
            "tolerated_losses",
            "Disks of voters that can be lost now without losing the majority; "
            f"{LEADER_ONLY}.",
        )
        self.missing_machines = self._gauge(
            "missing_machines",
            "Machines to add before all wanted voters are sound and retiring ones "
            f"can leave; {LEADER_ONLY}.",
        )
        self.lost_without_successor = self._gauge(
            "lost_voters_without_successor",
            f"Lost voters for which no running learner is left; {LEADER_ONLY}.",
        )
        self.waiting_retirements = self._gauge(
            "waiting_retirements",
            "Retiring machines that wait for another one in their place; "
            f"{LEADER_ONLY}.",
        )
        self.dropped_lines = self._gauge(
            "log_lines_dropped", "Log lines dropped because the reader was too slow."
        )

    def _gauge(self, name: str, text: str, labels: Sequence[str] = ()) -> Gauge:
        metric = Gauge(f"{METRIC_PREFIX}_{name}", text, labels, registry=self.registry)
        return self._register(metric, labels)

    def _counter(self, name: str, text: str, labels: Sequence[str]) -> Counter:
        metric = Counter(
            f"{METRIC_PREFIX}_{name}", text, labels, registry=self.registry
        )
        return self._register(metric, labels)

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: Sequence[float],
        labels: Sequence[str],
    ) -> Histogram:
        metric = Histogram(
            f"{METRIC_PREFIX}_{name}",
            text,
            labels,
            registry=self.registry,
            buckets=tuple(buckets),
        )
        return self._register(metric, labels)

    def _register(self, metric: AnyMetric, labels: Sequence[str]) -> AnyMetric:
        self.all.append((metric, tuple(labels)))
        return metric
