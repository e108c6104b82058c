"""Check that a target still is the run that is recorded of it."""

from dataclasses import dataclass

from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.fleet.versions.orders import EngineControl
from goldcrestyard.plugins.targets.slices import TargetsSlice


@dataclass(frozen=True, slots=True)
class RunFault:
    """Why a text may not go on at a target."""

    detail: str
    target_was_asked: bool


class RecordedRuns:
    """Asks a target which run it is before a text goes on there.

    A target that starts again under its id may have other software, and
    accepts requests before its first heartbeat is received here.
    """

    def __init__(self, targets: TargetsSlice, control: EngineControl | None) -> None:
        """Create a check; without ``control`` the recorded run counts."""
        self._targets = targets
        self._control = control

    async def find_fault(self, target: Target) -> RunFault | None:
        """Return why a text may not go on at a target, or None if it may."""
        present = self._targets.find(target.id)
        if present is None or present.incarnation != target.incarnation:
            return RunFault("the recorded run has ended", False)
        if self._control is None:
            return None
        report = await self._control.report(target)
        if report is None:
            # Services without models need not have reports.
            if target.kind is not TargetKind.ENGINE:
                return None
            return RunFault("the target does not tell which run it is", True)
        if report.incarnation not in ("", target.incarnation):
            return RunFault("another run than the recorded one", True)
        return None
