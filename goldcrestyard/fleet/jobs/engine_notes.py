"""What the leader's runs have shown of engines and of the lengths of texts."""

from collections import Counter
from collections.abc import Iterable

from goldcrestyard.core.ids import GroupId, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.policy.engine_faults import EngineFaults
from goldcrestyard.policy.engine_paces import EnginePaces
from goldcrestyard.policy.item_lengths import ItemLengths

ENGINE_AVOIDANCE_SECONDS = 2.0
"""Time in seconds for which an item prefers other engines after a run that
failed, was interrupted or slow, or did not reach its engine."""

MAX_GROUPS_PER_ENGINE = 4096
"""Maximum number of groups recorded per engine as having read their shared
prompt; the oldest is dropped first."""


def run_of(target: Target) -> TargetRun:
    """Return the run of a target that its record names."""
    return TargetRun(target.id, target.incarnation)


class EngineNotes:
    """Observations of engines, which are lost with the leader."""

    def __init__(self, targets: TargetsSlice) -> None:
        """Create empty notes on the engines among the given targets."""
        self._targets = targets
        self.slots_in_use: Counter[TargetId] = Counter()
        self.paces = EnginePaces()
        self.faults = EngineFaults()
        self.lengths = ItemLengths()
        self._refused_at_by_run: dict[TargetRun, float] = {}
        """Runs of engines that have lately refused a connection."""
        self._groups_by_target: dict[TargetId, dict[GroupId, None]] = {}

    def groups(self, target_id: TargetId) -> Iterable[GroupId]:
        """Return the groups whose shared prompt an engine has read."""
        return self._groups_by_target.get(target_id, ())

    def remember_group(self, target_id: TargetId, group: GroupId) -> None:
        """Record that an engine reads the shared prompt of a group."""
        if target_id not in self._groups_by_target:
            # Targets come and go; what was read on those gone is forgotten.
            for gone in self._groups_by_target.keys() - self._targets.homed_by_id:
                del self._groups_by_target[gone]
        groups = self._groups_by_target.setdefault(target_id, {})
        groups[group] = None
        if len(groups) > MAX_GROUPS_PER_ENGINE:
            del groups[next(iter(groups))]

    def note_refusal(self, target: Target, now: float) -> None:
        """Record that a target has refused a connection."""
        self._refused_at_by_run[run_of(target)] = now

    def drop_old_refusals(self, now: float) -> None:
        """Forget refusals that no longer count."""
        self._refused_at_by_run = {
            run: refused_at
            for run, refused_at in self._refused_at_by_run.items()
            if now < refused_at + ENGINE_AVOIDANCE_SECONDS
        }

    def has_refused(self, target: Target) -> bool:
        """Return whether a target has lately refused a connection."""
        return run_of(target) in self._refused_at_by_run
