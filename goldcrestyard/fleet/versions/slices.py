"""Replicated state: the newest weight version of each model."""

from goldcrestyard.core.ids import ModelName, WeightVersion
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.versions.commands import NameVersion, VersionsSnapshot
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_MODELS = 4096
"""Largest number of models whose versions are kept."""


class VersionsSlice(Slice):
    """Newest version of each model; an older one never replaces it."""

    name = "versions"
    commands = (NameVersion,)

    def __init__(self) -> None:
        self.newest_by_model: dict[ModelName, WeightVersion] = {}

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case NameVersion(model=model, version=version):
                if (
                    model not in self.newest_by_model
                    and len(self.newest_by_model) >= MAX_MODELS
                ):
                    return Rejected(RefusalReason.NO_ROOM, "too many models are named")
                known = self.newest_by_model.get(model, WeightVersion(0))
                self.newest_by_model[model] = max(known, version)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> VersionsSnapshot:
        """Return the newest version of each model."""
        return VersionsSnapshot(dict(self.newest_by_model))

    def load_snapshot(self, snapshot: VersionsSnapshot) -> None:
        """Replace all versions by those of a snapshot."""
        self.newest_by_model = dict(snapshot.newest_by_model)
