"""The targets that are cold: those that have just started, or just returned.

Each process takes starts and ends of evacuations from the log entries that it
applies.  The leader adds what the heartbeats say, and tells the entries with
their lease renewals.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import DataCentre, InstanceId, ServiceName, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.serving import ServedService
from goldcrestyard.core.states import TargetState
from goldcrestyard.fleet.evacuations.commands import EndEvacuation
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.limits.messages import ColdRecord, ColdRecords
from goldcrestyard.fleet.limits.settings import ColdTargetSettings
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.digests import DigestChannel, DigestMerger
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.cold_targets import (
    ColdBound,
    cold_pacing,
    cold_seconds_left,
)
from goldcrestyard.policy.request_limits import Pacing
from goldcrestyard.state.commands import AppliedEntry
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec

CHANNEL_NAME = "cold_targets"

UNHEARD_SECONDS = 1.0
"""Time in seconds for which the leader counts a target as cold that it has no
heartbeat of.  Entries renew, and targets report, twice in this time."""

SUMMARY_SECONDS = 0.1
"""Time in seconds for which the leader tells all entries the same.  Otherwise
it would look at each target for each of some hundred renewals a second."""


@dataclass(frozen=True, slots=True)
class HeardFromLeader:
    """This process is an entry, which depends on what the leader tells."""

    renewed_seconds_ago: Callable[[], float]


@dataclass(frozen=True, slots=True)
class HeardFromTargets:
    """This process is a control member, which leads at times.

    ``told_seconds_left`` returns what the latest heartbeat of a target says;
    None if this leader has had none of its run.
    """

    told_seconds_left: Callable[[Target], float | None]


Knowledge = HeardFromLeader | HeardFromTargets


@dataclass(frozen=True, slots=True)
class Warm:
    """Requests to the target need no permit."""


@dataclass(frozen=True, slots=True)
class Cold:
    """Requests to the target need a permit."""

    pacing: Pacing
    seconds_left: float


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The target may be cold; nothing is sent to it."""


Warmth = Warm | Cold | Uncertain


class ColdTargets:
    """What this process knows of the targets that are cold."""

    def __init__(
        self,
        machine: StateMachine,
        knowledge: Knowledge,
        settings: ColdTargetSettings,
        clock: Clock,
    ) -> None:
        self._targets = machine.get(TargetsSlice)
        self._evacuations = machine.get(EvacuationsSlice)
        self._serving = machine.get(ServingSlice)
        self._knowledge = knowledge
        self._settings = settings
        self._bound = ColdBound(settings.overage, settings.slack)
        self._clock = clock
        self._leader_tells = False
        # Monotonic times in seconds.
        self._announced_at_by_id: dict[TargetId, tuple[str, float]] = {}
        self._told_until_by_id: dict[TargetId, tuple[str, float]] = {}
        self._returned_at_by_data_centre: dict[DataCentre, tuple[float, float]] = {}
        """By data centre, the Unix time at which its latest evacuation ended,
        and the monotonic time that stands for it here."""
        machine.listen(self._on_applied)

    @property
    def in_use(self) -> bool:
        """Whether any service names the requests that a cold target takes."""
        table = self._serving.table
        return table is not None and any(
            service.cold_per_second > 0 for service in table.config.services
        )

    def warmth(self, target: Target) -> Warmth:
        """Return whether requests to a target need a permit."""
        service = self._service(target)
        if service is None or service.cold_per_second <= 0:
            return Warm()
        match self._knowledge:
            case HeardFromLeader(renewed_seconds_ago=seconds_ago) if (
                not self._leader_tells or seconds_ago() > self._settings.silence_seconds
            ):
                return Uncertain()
        left = self._seconds_left(target, service)
        if left <= 0:
            return Warm()
        return Cold(cold_pacing(service.cold_per_second, self._bound), left)

    def is_warm(self, target: Target) -> bool:
        """Return whether requests to a target need no permit."""
        return isinstance(self.warmth(target), Warm)

    def count(self) -> int:
        """Return the number of ready targets that are or may be cold."""
        return sum(
            homed.target.state is TargetState.READY and not self.is_warm(homed.target)
            for homed in self._targets.homed_by_id.values()
        )

    def adopt(self, records: Iterable[ColdRecord]) -> None:
        """Take over what another process knows; it shortens no time."""
        now = self._clock.monotonic()
        for record in records:
            until = now + record.seconds_left
            known = self._told_until_by_id.get(record.target)
            if known is None or known[0] != record.incarnation or known[1] < until:
                self._told_until_by_id[record.target] = (record.incarnation, until)

    def adopt_summary(self, records: Iterable[ColdRecord] | None) -> None:
        """Take over what the leader tells; None if it tells nothing."""
        self._leader_tells = records is not None
        self._forget_removed()
        self.adopt(records or ())

    def records(self) -> ColdRecords:
        """Return the targets that are cold, on the leader."""
        found: list[ColdRecord] = []
        for homed in self._targets.homed_by_id.values():
            target = homed.target
            match self.warmth(target):
                case Cold(seconds_left=left):
                    found.append(ColdRecord(target.id, target.incarnation, left))
        return ColdRecords(tuple(found))

    def _service(self, target: Target) -> ServedService | None:
        table = self._serving.table
        if table is None or not target.serves:
            return None
        return table.services_by_name.get(ServiceName(target.serves[0]))

    def _seconds_left(self, target: Target, service: ServedService) -> float:
        now = self._clock.monotonic()
        told = 0.0
        until = self._told_until_by_id.get(target.id)
        if until is not None and until[0] == target.incarnation:
            told = until[1] - now
        match self._knowledge:
            case HeardFromTargets(told_seconds_left=told_seconds_left):
                heard = told_seconds_left(target)
                told = max(told, UNHEARD_SECONDS if heard is None else heard)
        return cold_seconds_left(
            service.cold_seconds,
            self._since_start(target, now),
            self._since_evacuation(target.data_centre, now),
            told,
        )

    def _since_start(self, target: Target, now: float) -> float | None:
        announced = self._announced_at_by_id.get(target.id)
        if announced is not None and announced[0] == target.incarnation:
            return now - announced[1]
        match self._knowledge:
            case HeardFromTargets():
                # Known from a snapshot, which has no time of the announcement.
                started_at_ms = parse_count(target.incarnation)
                if started_at_ms is not None:
                    return self._clock.wall() - started_at_ms / 1000
        return None

    def _since_evacuation(self, data_centre: DataCentre, now: float) -> float | None:
        evacuation = self._evacuations.evacuations_by_data_centre.get(data_centre)
        if evacuation is None or evacuation.ended_at is None:
            return None
        known = self._returned_at_by_data_centre.get(data_centre)
        if known is not None and known[0] == evacuation.ended_at:
            return now - known[1]
        match self._knowledge:
            case HeardFromTargets():
                return self._clock.wall() - evacuation.ended_at
        return None

    def _on_applied(self, entry: AppliedEntry) -> None:
        match entry.envelope.command:
            case AnnounceTarget(target=announced):
                target = self._targets.find(announced.id)
                known = self._announced_at_by_id.get(announced.id)
                if (
                    target is not None
                    and target.incarnation == announced.incarnation
                    and (known is None or known[0] != target.incarnation)
                ):
                    at = self._time_of(entry)
                    self._announced_at_by_id[target.id] = (target.incarnation, at)
                    self._forget_removed()
            case EndEvacuation(data_centre=data_centre):
                evacuation = self._evacuations.evacuations_by_data_centre.get(
                    data_centre
                )
                if evacuation is None or evacuation.ended_at is None:
                    return
                ended_at = evacuation.ended_at
                returned = self._returned_at_by_data_centre.get(data_centre)
                if returned is None or returned[0] != ended_at:
                    at = self._time_of(entry)
                    self._returned_at_by_data_centre[data_centre] = (ended_at, at)

    def _time_of(self, entry: AppliedEntry) -> float:
        """Return the monotonic time that stands for the time of a log entry.

        A control member applies old entries when it starts.  An entry gets
        only new ones, and counts from their arrival.
        """
        now = self._clock.monotonic()
        match self._knowledge:
            case HeardFromTargets():
                return now - max(0.0, self._clock.wall() - entry.envelope.time)
            case HeardFromLeader():
                return now

    def _forget_removed(self) -> None:
        present = self._targets.homed_by_id
        for by_id in (self._announced_at_by_id, self._told_until_by_id):
            if len(by_id) > 2 * len(present) + 64:
                for gone in by_id.keys() - present.keys():
                    del by_id[gone]


class ColdChannel(DigestChannel):
    """Learns from the leader which targets are cold."""

    name = CHANNEL_NAME

    def __init__(self, cold: ColdTargets, codec: Codec) -> None:
        self._cold = cold
        self._codec = codec

    def collect(self) -> bytes | None:
        """Ask for a summary, if any service names a rate of cold targets."""
        return b"" if self._cold.in_use else None

    def receive(self, summary: bytes) -> None:
        """Take over what the leader tells."""
        records = self._codec.decode(summary)
        assert isinstance(records, ColdRecords)
        self._cold.adopt_summary(records.records)

    def unanswered(self) -> None:
        """Note that the leader tells nothing of cold targets."""
        self._cold.adopt_summary(None)


class ColdMerger(DigestMerger):
    """Tells the entries which targets are cold, on the leader."""

    name = CHANNEL_NAME

    def __init__(self, cold: ColdTargets, codec: Codec, clock: Clock) -> None:
        self._cold = cold
        self._codec = codec
        self._clock = clock
        self._latest: tuple[float, bytes] = (float("-inf"), b"")

    def merge(self, entry: InstanceId, digest: bytes) -> None:
        """Ignore the digest: entries tell what they know as they ask."""

    def summary(self, entry: InstanceId) -> bytes:
        """Return the cold targets with the time left."""
        now = self._clock.monotonic()
        if now - self._latest[0] >= SUMMARY_SECONDS:
            self._latest = (now, self._codec.encode(self._cold.records()))
        return self._latest[1]
