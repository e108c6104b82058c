"""Replicated state: the targets that have announced themselves."""

from dataclasses import replace

from goldcrestyard.core.ids import InstanceId, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.states import TargetState
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    HomedTarget,
    RemoveTarget,
    TargetsSnapshot,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice


class TargetsSlice(Slice):
    """Targets by id, with the entry that tracks each one's renewals."""

    name = "targets"
    fan_out = True
    commands = (AnnounceTarget, DrainTarget, RemoveTarget)

    def __init__(self) -> None:
        self.homed_by_id: dict[TargetId, HomedTarget] = {}

    def find(self, target_id: TargetId) -> Target | None:
        """Return a target, or None if it is not known."""
        homed = self.homed_by_id.get(target_id)
        return homed.target if homed is not None else None

    def serving(self, name: str) -> list[Target]:
        """Return the targets that take new work for a model or a service."""
        return [
            homed.target
            for homed in self.homed_by_id.values()
            if homed.target.state is TargetState.READY and name in homed.target.serves
        ]

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case AnnounceTarget(target=target, home=home):
                return self._announce(target, home)
            case DrainTarget(id=target_id, incarnation=incarnation):
                return self._drain(target_id, incarnation)
            case RemoveTarget(id=target_id, incarnation=incarnation):
                return self._remove(target_id, incarnation)
        raise TypeError(f"unexpected command {command!r}")

    def _announce(self, target: Target, home: InstanceId) -> Outcome:
        known = self.homed_by_id.get(target.id)
        if (
            known is not None
            and known.target.incarnation == target.incarnation
            and known.target.state is TargetState.DRAINING
        ):
            # A target that drains may move to another home, but it must not
            # get new work because of that.
            target = replace(target, state=TargetState.DRAINING)
        self.homed_by_id[target.id] = HomedTarget(target, home)
        return Accepted()

    def _drain(self, target_id: TargetId, incarnation: str) -> Outcome:
        known = self.homed_by_id.get(target_id)
        if known is None or known.target.incarnation != incarnation:
            return Rejected(RefusalReason.NOT_FOUND, f"no target {target_id}")
        draining = replace(known.target, state=TargetState.DRAINING)
        self.homed_by_id[target_id] = HomedTarget(draining, known.home)
        return Accepted()

    def _remove(self, target_id: TargetId, incarnation: str) -> Outcome:
        known = self.homed_by_id.get(target_id)
        if known is None or known.target.incarnation != incarnation:
            return Rejected(RefusalReason.NOT_FOUND, f"no target {target_id}")
        del self.homed_by_id[target_id]
        return Accepted()

    def to_snapshot(self) -> TargetsSnapshot:
        """Return the whole slice."""
        return TargetsSnapshot(tuple(self.homed_by_id.values()))

    def load_snapshot(self, snapshot: TargetsSnapshot) -> None:
        """Replace the slice."""
        self.homed_by_id = {homed.target.id: homed for homed in snapshot.targets}
