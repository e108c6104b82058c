"""Tracks targets on the leader by their heartbeats.

Arrivals, drains and departures are committed to the replicated targets slice.
The time of the last heartbeat and the loaded weight versions change too often
for that and are held in memory.
"""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import (
    ConfirmationToken,
    DataCentre,
    InstanceId,
    ModelName,
    Region,
    ServiceName,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.fleet.tracking.departed import (
    Confirm,
    DepartedTargets,
    UnusedTargets,
)
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    LeaveTarget,
    RemoveTarget,
)
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.departures import GoesOn, Wait
from goldcrestyard.policy.heartbeats import (
    LOST_AFTER_HEARTBEATS,
    Arrived,
    Heartbeat,
    KnownTarget,
    Leaving,
    Renewed,
    Stale,
    interpret,
)
from goldcrestyard.state.commands import Command, Rejected

logger = structlog.get_logger(__name__)

LEADER_HOME = InstanceId("leader")
"""Home of all targets in the replicated state.  The home is the instance that
tracks a target; this constant stands for the current leader, so a change of
leader does not change the home."""

SILENCE_CHECK_INTERVAL_SECONDS = 0.25


@dataclass(slots=True)
class TrackedTarget:
    """State that the leader holds in memory for one run of a target.

    ``heard_at``, ``leaves_at`` and ``cold_until`` are times of the monotonic
    clock.
    """

    incarnation: str
    sequence: int
    heard_at: float
    leaves_at: float | None = None
    versions_by_model: dict[ModelName, WeightVersion] = field(default_factory=dict)
    cold_until: float = float("-inf")


class TargetTracker:
    """Commits the changes that heartbeats report, and removes silent targets.

    Values that change with every heartbeat are not replicated, since a new
    leader receives them within one heartbeat interval.
    """

    def __init__(
        self,
        member: ControlMember,
        regions_by_data_centre: dict[DataCentre, Region],
        heartbeat_seconds: float,
        clock: Clock,
        configured_services: Callable[[], Collection[str] | None] = lambda: None,
    ) -> None:
        """Create a tracker.

        ``configured_services`` returns the services that targets may name;
        None allows all.
        """
        self._member = member
        self._targets = member.machine.get(TargetsSlice)
        self._regions_by_data_centre = regions_by_data_centre
        self._lost_seconds = LOST_AFTER_HEARTBEATS * heartbeat_seconds
        self._clock = clock
        self._configured_services = configured_services
        self.tracked_by_id: dict[TargetId, TrackedTarget] = {}
        self._departed = DepartedTargets()
        self._unused = UnusedTargets(clock)

    async def heartbeat(
        self, beat: Heartbeat, token: ConfirmationToken | None = None
    ) -> Refusal | Confirm | None:
        """Process a heartbeat; return a refusal, or None if it is accepted.

        ``token`` is the one that came with the heartbeat, if any.
        """
        meaning = interpret(
            beat,
            self._known_target(beat.id),
            self._targets_at(beat.address),
            self._configured_services(),
            self._clock.wall(),
        )
        match meaning:
            case Stale(reason=reason):
                logger.info(
                    "stale heartbeat ignored",
                    target=beat.id,
                    incarnation=beat.started_at_ms,
                    reason=reason,
                )
                if not self._is_used(beat):
                    self._unused.note(beat.id)
                return None
            case Arrived(ended=ended) if self._has_left(beat):
                return await self._heartbeat_of_departed(beat, ended, token)
            case Renewed():
                self._record_heartbeat(beat)
                return None
            case Leaving():
                drain = DrainTarget(beat.id, str(beat.started_at_ms))
                return await self._commit_heartbeat(beat, [drain])
            case Arrived(ended=ended):
                return await self._commit_heartbeat(
                    beat, self._arrival_commands(beat, ended)
                )

    async def _heartbeat_of_departed(
        self,
        beat: Heartbeat,
        ended: tuple[Target, ...],
        token: ConfirmationToken | None,
    ) -> Refusal | Confirm | None:
        """Process a heartbeat of a run whose departure is recorded.

        The departure may have been that of an earlier run, delayed.
        """
        self._unused.note(beat.id)
        match self._departed.decide(beat, token, self._member.term):
            case Confirm() as confirm:
                return confirm
            case Wait():
                return None
            case GoesOn():
                logger.warning(
                    "target goes on; its departure was that of an earlier run",
                    target=beat.id,
                    incarnation=beat.started_at_ms,
                )
                # Nothing is awaited before this is proposed, so a departure
                # that arrives meanwhile comes after it in the log.
                announcement = self._announcement(beat, confirmed=True)
                removals = self._removals(ended)
                return await self._commit_heartbeat(beat, [announcement, *removals])

    def _has_left(self, beat: Heartbeat) -> bool:
        return self._targets.has_left(
            beat.id,
            str(beat.started_at_ms),
            beat.started_at_ms / 1000,
            self._clock.wall(),
        )

    def _is_used(self, beat: Heartbeat) -> bool:
        """Return whether a heartbeat comes from a run that is in use."""
        target = self._targets.find(beat.id)
        return target is not None and target.incarnation == str(beat.started_at_ms)

    def unused_count(self) -> int:
        """Return how many targets report that are not in use."""
        return self._unused.count(self._lost_seconds, self._targets.homed_by_id)

    async def leave(self, target_id: TargetId) -> Refusal | None:
        """Record that a target ends; return a refusal, or None on success.

        This is recorded even of a target that is not known here: it may be
        lost for the moment, or its first heartbeat may still be on its way,
        and neither may bring it back afterwards.
        """
        self._departed.forget(target_id)
        target = self._targets.find(target_id)
        logger.info(
            "target announced its end; removing it",
            target=target_id,
            address=target.address if target is not None else None,
        )
        match await self._member.propose(LeaveTarget(target_id)):
            case Applied(outcome=Rejected(reason=reason, detail=detail)):
                return Refusal(reason, detail)
            case NotProposed(detail=detail) | InDoubt(detail=detail):
                return Refusal(RefusalReason.NO_LEADER, detail)
        return None

    def versions(self, target: Target) -> dict[ModelName, WeightVersion]:
        """Return the weight versions that the present run has loaded.

        Empty if nothing has been received from this run of the target.
        """
        tracked = self.tracked_by_id.get(target.id)
        if tracked is None or tracked.incarnation != target.incarnation:
            return {}
        return tracked.versions_by_model

    def cold_seconds_left(self, target: Target) -> float | None:
        """Return for how long a target says that it is cold; 0 if it is not.

        Returns None if this leader has had no heartbeat of its present run: a
        report to an earlier leader may be out of date.
        """
        tracked = self.tracked_by_id.get(target.id)
        if (
            tracked is None
            or tracked.incarnation != target.incarnation
            or tracked.sequence < 0
            or tracked.heard_at < self._member.leadership_started_at
        ):
            return None
        return max(0.0, tracked.cold_until - self._clock.monotonic())

    def record_version(
        self, target: Target, model: ModelName, version: WeightVersion
    ) -> None:
        """Record a weight version from an answer or a report of a target.

        A new leader can use the target at once, without waiting for its next
        heartbeat.  An answer of an earlier run says nothing of this one.
        """
        present = self._targets.find(target.id)
        if present is None or present.incarnation != target.incarnation:
            return
        tracked = self.tracked_by_id.get(target.id)
        if tracked is None or tracked.incarnation != target.incarnation:
            tracked = TrackedTarget(target.incarnation, -1, self._clock.monotonic())
            self.tracked_by_id[target.id] = tracked
        known = tracked.versions_by_model.get(model, WeightVersion(0))
        tracked.versions_by_model[model] = max(known, version)

    async def run(self) -> None:
        """Remove silent targets until cancelled.

        Silence counts from the start of this leadership at the earliest, as
        the times of earlier heartbeats are not replicated.
        """
        leading_since = self._clock.monotonic()
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            for homed in list(self._targets.homed_by_id.values()):
                target = homed.target
                tracked = self.tracked_by_id.get(target.id)
                heard_at = leading_since
                if tracked is not None and tracked.incarnation == target.incarnation:
                    heard_at = max(heard_at, tracked.heard_at)
                if now - heard_at > self._lost_seconds:
                    logger.warning(
                        "target missed its heartbeats; removing it",
                        target=target.id,
                        silent_seconds=round(now - heard_at, 2),
                    )
                    await self._commit(
                        [RemoveTarget(target.id, target.incarnation, TargetState.LOST)]
                    )

    def _known_target(self, target_id: TargetId) -> KnownTarget | None:
        target = self._targets.find(target_id)
        if target is None:
            return None
        tracked = self.tracked_by_id.get(target_id)
        sequence = -1
        if tracked is not None and tracked.incarnation == target.incarnation:
            sequence = tracked.sequence
        return KnownTarget(target, sequence)

    def _targets_at(self, address: str) -> list[Target]:
        return [
            homed.target
            for homed in self._targets.homed_by_id.values()
            if homed.target.address == address
        ]

    def _arrival_commands(
        self, beat: Heartbeat, ended: tuple[Target, ...]
    ) -> list[Command]:
        commands: list[Command] = [*self._removals(ended), self._announcement(beat)]
        if beat.state is TargetState.DRAINING:
            commands.append(DrainTarget(beat.id, str(beat.started_at_ms)))
        return commands

    def _removals(self, ended: tuple[Target, ...]) -> list[Command]:
        return [
            RemoveTarget(other.id, other.incarnation, TargetState.LOST)
            for other in ended
        ]

    def _announcement(
        self, beat: Heartbeat, *, confirmed: bool = False
    ) -> AnnounceTarget:
        target = Target(
            beat.id,
            TargetKind.ENGINE if beat.versions_by_model else TargetKind.SERVICE,
            beat.address,
            beat.data_centre,
            self._regions_by_data_centre.get(beat.data_centre, Region("")),
            (ServiceName(beat.service),),
            beat.rental,
            max_concurrency=beat.slots,
            incarnation=str(beat.started_at_ms),
            software=beat.software,
        )
        logger.info(
            "heartbeat registers target",
            target=beat.id,
            service=beat.service,
            address=beat.address,
            data_centre=beat.data_centre,
            rental=beat.rental.value,
            incarnation=beat.started_at_ms,
            software=beat.software,
            state=beat.state.value,
        )
        return AnnounceTarget(target, LEADER_HOME, beat.started_at_ms / 1000, confirmed)

    def _record_heartbeat(self, beat: Heartbeat) -> None:
        leaves_at = None
        now = self._clock.monotonic()
        if beat.id not in self.tracked_by_id:
            for gone in self.tracked_by_id.keys() - self._targets.homed_by_id:
                del self.tracked_by_id[gone]
        known = self.tracked_by_id.get(beat.id)
        if beat.cold_seconds_left > 0 and (known is None or known.cold_until <= now):
            logger.info(
                "target says that it is cold",
                target=beat.id,
                incarnation=beat.started_at_ms,
                seconds_left=round(beat.cold_seconds_left, 2),
            )
        if beat.leaves_in_seconds is not None:
            leaves_at = now + beat.leaves_in_seconds
        self.tracked_by_id[beat.id] = TrackedTarget(
            str(beat.started_at_ms),
            beat.sequence,
            now,
            leaves_at,
            dict(beat.versions_by_model),
            now + beat.cold_seconds_left,
        )

    async def _commit_heartbeat(
        self, beat: Heartbeat, commands: list[Command]
    ) -> Refusal | None:
        refusal = await self._commit(commands)
        if refusal is None:
            self._record_heartbeat(beat)
        return refusal

    async def _commit(self, commands: list[Command]) -> Refusal | None:
        for command in commands:
            match await self._member.propose(command):
                case NotProposed(detail=detail) | InDoubt(detail=detail):
                    return Refusal(RefusalReason.NO_LEADER, detail)
                case Applied(
                    outcome=Rejected(reason=RefusalReason.NO_ROOM, detail=detail)
                ):
                    return Refusal(RefusalReason.NO_ROOM, detail)
                case Applied(outcome=Rejected(detail=detail)):
                    logger.info("report of a target changes nothing", reason=detail)
        return None
