"""Replicated state: the announced targets and the recently removed runs."""

from collections import OrderedDict
from dataclasses import replace

from goldcrestyard.core.ids import InstanceId, SoftwareVersion, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.states import TargetKind, TargetState
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    HomedTarget,
    LeaveTarget,
    RemovedTarget,
    RemoveTarget,
    TargetsSnapshot,
)
from goldcrestyard.plugins.targets.software import LeftVersions
from goldcrestyard.policy.target_states import TargetEvent, next_state
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_REMOVED_RUNS = 2048
"""Enough for four days at 510 restarts a day.  A removed run is kept to
detect late messages, which arrive within minutes."""


MAX_DEPARTURES = 1024
DEPARTURE_SECONDS = 60.0
"""Number of departures of unrecorded runs that are kept, and for how long.  A
late announcement arrives within seconds.  The time also bounds for how long a
target that starts again is kept out if the clocks differ."""


MAX_TARGETS = 8192
"""Several times the number of targets of the largest deployment."""


class TargetsSlice(Slice):
    """Targets by id, each with its home."""

    name = "targets"
    fan_out = True
    commands = (AnnounceTarget, DrainTarget, RemoveTarget, LeaveTarget)

    def __init__(self) -> None:
        self.homed_by_id: dict[TargetId, HomedTarget] = {}
        self.ids_by_home: dict[InstanceId, set[TargetId]] = {}
        self._serving_by_name: dict[str, tuple[Target, ...]] = {}
        self._model_names: tuple[str, ...] | None = None
        self._removed_by_run: OrderedDict[tuple[TargetId, str], RemovedTarget] = (
            OrderedDict()
        )
        # Unix times at which targets have left whose run was not recorded.
        self._departed_at_by_id: dict[TargetId, float] = {}
        self._left_versions = LeftVersions()
        self.latest_time = 0.0
        """Unix time of the latest command that this process has applied."""
        self.commands_seen = 0
        """Number of commands that this process has applied."""

    def find(self, target_id: TargetId) -> Target | None:
        """Return a target, or None if it is unknown or removed."""
        homed = self.homed_by_id.get(target_id)
        return homed.target if homed is not None else None

    def run_state(self, target_id: TargetId, incarnation: str) -> TargetState | None:
        """Return the state of a run of a target; None if it is not known.

        A run that another one of the same target has followed is lost.
        """
        homed = self.homed_by_id.get(target_id)
        if homed is None:
            removed = self._removed_by_run.get((target_id, incarnation))
            return removed.state if removed is not None else None
        if homed.target.incarnation == incarnation:
            return homed.target.state
        return TargetState.LOST

    def serving(self, name: str) -> tuple[Target, ...]:
        """Return the targets that take new work for a model or a service.

        The result is cached until the next change, since every request needs
        it.
        """
        known = self._serving_by_name.get(name)
        if known is None:
            known = tuple(
                homed.target
                for homed in self.homed_by_id.values()
                if homed.target.state is TargetState.READY
                and name in homed.target.serves
            )
            # Names come from callers, so only names that are served are
            # cached.
            if known:
                self._serving_by_name[name] = known
        return known

    def software_since(
        self, service: str, time: float
    ) -> frozenset[SoftwareVersion] | None:
        """Return the software versions of a service's targets since a time.

        ``time`` is Unix time in seconds.  Returns None if it lies before the
        time since which departures are recorded.
        """
        left = self._left_versions.since(service, time)
        if left is None:
            return None
        return left | {
            homed.target.software
            for homed in self.homed_by_id.values()
            if service in homed.target.serves
        }

    def model_names(self) -> tuple[str, ...]:
        """Return the sorted names of the models that an engine serves."""
        if self._model_names is None:
            names = {
                name
                for homed in self.homed_by_id.values()
                if homed.target.kind is TargetKind.ENGINE
                for name in homed.target.serves
            }
            self._model_names = tuple(sorted(names))
        return self._model_names

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Note the time, which is a lower bound of the present one."""
        self.latest_time = max(self.latest_time, context.time)
        self.commands_seen += 1

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        if self._left_versions.known_since is None:
            self._left_versions.known_since = context.time
        match command:
            case AnnounceTarget():
                return self._announce(command, context.time)
            case DrainTarget(id=target_id, incarnation=incarnation):
                return self._drain(target_id, incarnation, context.time)
            case RemoveTarget():
                return self._remove(command, context.time)
            case LeaveTarget(id=target_id):
                return self._leave(target_id, context.time)
        raise TypeError(f"unexpected command {command!r}")

    def _announce(self, command: AnnounceTarget, time: float) -> Outcome:
        target, home = command.target, command.home
        if target.id not in self.homed_by_id and len(self.homed_by_id) >= MAX_TARGETS:
            return Rejected(RefusalReason.NO_ROOM, "too many targets are known")
        known = self.homed_by_id.get(target.id)
        removed = self._removed_by_run.get((target.id, target.incarnation))
        state: TargetState | None = TargetState.READY
        if known is not None and known.target.incarnation == target.incarnation:
            state = next_state(known.target.state, TargetEvent.ANNOUNCE)
        elif removed is not None:
            event = TargetEvent.CONFIRM if command.confirmed else TargetEvent.ANNOUNCE
            state = next_state(removed.state, event)
            if state is TargetState.READY and removed.draining:
                state = next_state(state, TargetEvent.DRAIN)
        elif not command.confirmed and self._has_departed(
            target.id, command.started_at, time
        ):
            state = None
        if state is None:
            detail = f"this run of target {target.id} has left"
            return Rejected(RefusalReason.CONFLICT, detail)
        self._removed_by_run.pop((target.id, target.incarnation), None)
        if command.confirmed:
            self._departed_at_by_id.pop(target.id, None)
        self._put(HomedTarget(replace(target, state=state), home), time)
        return Accepted()

    def _drain(self, target_id: TargetId, incarnation: str, time: float) -> Outcome:
        known = self._find_run(target_id, incarnation)
        state = next_state(known.target.state, TargetEvent.DRAIN) if known else None
        if known is None or state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no target {target_id}")
        self._put(HomedTarget(replace(known.target, state=state), known.home), time)
        return Accepted()

    def _remove(self, command: RemoveTarget, time: float) -> Outcome:
        known = self._find_run(command.id, command.incarnation)
        if known is None:
            return self._remove_lost_run(command)
        if command.home is not None and command.home != known.home:
            detail = f"target {command.id} has moved to {known.home}"
            return Rejected(RefusalReason.CONFLICT, detail)
        state = next_state(known.target.state, _removal_event(command.state))
        if state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no target {command.id}")
        del self.homed_by_id[command.id]
        self._left_versions.note(known.target, time)
        self._clear_caches()
        self._remove_from_home(known)
        draining = known.target.state is TargetState.DRAINING
        self._record_removed_run(
            RemovedTarget(command.id, command.incarnation, state, draining)
        )
        return Accepted()

    def _leave(self, target_id: TargetId, time: float) -> Outcome:
        """Record that a target has left, so that no late message undoes it."""
        known = self.homed_by_id.get(target_id)
        if known is not None:
            run = known.target
            command = RemoveTarget(run.id, run.incarnation, TargetState.LEFT)
            return self._remove(command, time)
        for removed in list(self._removed_by_run.values()):
            if removed.id == target_id and removed.state is TargetState.LOST:
                self._record_removed_run(replace(removed, state=TargetState.LEFT))
        # The run that leaves may be another one, whose announcement is late.
        departures = {
            other: at
            for other, at in self._departed_at_by_id.items()
            if time - at <= DEPARTURE_SECONDS
        }
        if target_id not in departures and len(departures) >= MAX_DEPARTURES:
            return Rejected(RefusalReason.NO_ROOM, "too many departures are recorded")
        self._departed_at_by_id = {**departures, target_id: time}
        return Accepted()

    def has_left(
        self, target_id: TargetId, incarnation: str, started_at: float, time: float
    ) -> bool:
        """Return whether a run's announcement is refused at a time.

        ``started_at`` and ``time`` are Unix times in seconds.
        """
        if target_id in self.homed_by_id:
            return False
        removed = self._removed_by_run.get((target_id, incarnation))
        if removed is not None:
            return removed.state is TargetState.LEFT
        return self._has_departed(target_id, started_at, time)

    def _has_departed(
        self, target_id: TargetId, started_at: float | None, time: float
    ) -> bool:
        """Return whether an unrecorded run started before its target left."""
        departed_at = self._departed_at_by_id.get(target_id)
        return (
            departed_at is not None
            and started_at is not None
            and started_at <= departed_at
            and time - departed_at <= DEPARTURE_SECONDS
        )

    def _remove_lost_run(self, command: RemoveTarget) -> Outcome:
        """Record that a run that was removed as lost has left."""
        removed = self._removed_by_run.get((command.id, command.incarnation))
        state = (
            next_state(removed.state, _removal_event(command.state))
            if removed
            else None
        )
        if removed is None or state is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no target {command.id}")
        self._record_removed_run(replace(removed, state=state))
        return Accepted()

    def _find_run(self, target_id: TargetId, incarnation: str) -> HomedTarget | None:
        known = self.homed_by_id.get(target_id)
        if known is None or known.target.incarnation != incarnation:
            return None
        return known

    def _put(self, homed: HomedTarget, time: float) -> None:
        known = self.homed_by_id.get(homed.target.id)
        if known is not None:
            self._remove_from_home(known)
            before, after = known.target, homed.target
            if (before.software, before.serves) != (after.software, after.serves):
                self._left_versions.note(before, time)
            if known.target.incarnation != homed.target.incarnation:
                # The target has restarted, so its earlier run has ended.
                run = known.target
                self._record_removed_run(
                    RemovedTarget(run.id, run.incarnation, TargetState.LEFT, True)
                )
        self.homed_by_id[homed.target.id] = homed
        self._clear_caches()
        self.ids_by_home.setdefault(homed.home, set()).add(homed.target.id)

    def _clear_caches(self) -> None:
        self._serving_by_name.clear()
        self._model_names = None

    def _remove_from_home(self, homed: HomedTarget) -> None:
        ids = self.ids_by_home[homed.home]
        ids.discard(homed.target.id)
        if not ids:
            del self.ids_by_home[homed.home]

    def _record_removed_run(self, removed: RemovedTarget) -> None:
        self._removed_by_run[removed.id, removed.incarnation] = removed
        if len(self._removed_by_run) > MAX_REMOVED_RUNS:
            self._removed_by_run.popitem(last=False)

    def to_snapshot(self) -> TargetsSnapshot:
        """Return the targets and the removed runs."""
        return TargetsSnapshot(
            tuple(self.homed_by_id.values()),
            tuple(self._removed_by_run.values()),
            dict(self._departed_at_by_id),
            self._left_versions.to_snapshot(),
            self._left_versions.known_since,
        )

    def load_snapshot(self, snapshot: TargetsSnapshot) -> None:
        """Replace all state by the snapshot's."""
        self.homed_by_id = {}
        self.ids_by_home = {}
        self._clear_caches()
        for homed in snapshot.targets:
            self._put(homed, 0.0)
        self._left_versions = LeftVersions(
            snapshot.left_software, snapshot.software_known_since
        )
        self._removed_by_run = OrderedDict(
            ((removed.id, removed.incarnation), removed) for removed in snapshot.removed
        )
        self._departed_at_by_id = dict(snapshot.departed_at_by_id)


def _removal_event(state: TargetState) -> TargetEvent:
    return TargetEvent.LOSE if state is TargetState.LOST else TargetEvent.LEAVE
