"""Replicated state: model lines and their published weight versions."""

from goldcrestyard.core.ids import ModelName, WeightVersion
from goldcrestyard.core.records import ModelLine, PublishedWeights
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.weights.commands import (
    PublishWeights,
    PutModelLine,
    RemoveModelLine,
    WeightsSnapshot,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_VERSIONS_PER_MODEL = 64
"""Versions kept for each model line.  ``max_versions_behind`` must be lower,
since the age of a version that is no longer kept is unknown."""


class WeightsSlice(Slice):
    """Model lines by name, and the latest published versions of each."""

    name = "weights"
    fan_out = True
    commands = (PutModelLine, RemoveModelLine, PublishWeights)

    def __init__(self) -> None:
        self.lines_by_name: dict[ModelName, ModelLine] = {}
        # Kept when a line is removed, so that a line of the same name cannot
        # publish a version number a second time.
        self.published_by_model: dict[ModelName, list[PublishedWeights]] = {}

    def latest(self, model: ModelName) -> PublishedWeights | None:
        """Return the newest published version of a model, if there is one."""
        published = self.published_by_model.get(model)
        return published[-1] if published else None

    def find(self, model: ModelName, version: WeightVersion) -> PublishedWeights | None:
        """Return a published version, or None if it is unknown or too old."""
        for weights in reversed(self.published_by_model.get(model, [])):
            if weights.version == version:
                return weights
        return None

    def versions_behind(self, model: ModelName, version: WeightVersion) -> int | None:
        """Return how many published versions are newer than a version.

        Returns None for a version that was never published or is no longer
        kept.
        """
        for newer, weights in enumerate(
            reversed(self.published_by_model.get(model, []))
        ):
            if weights.version == version:
                return newer
        return None

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case PutModelLine(line=line):
                return self._put(line)
            case RemoveModelLine(name=name):
                if self.lines_by_name.pop(name, None) is None:
                    return Rejected(RefusalReason.NOT_FOUND, f"no model line {name}")
                return Accepted()
            case PublishWeights():
                return self._publish(command)
        raise TypeError(f"unexpected command {command!r}")

    def _put(self, line: ModelLine) -> Outcome:
        if not 0 <= line.max_versions_behind < MAX_VERSIONS_PER_MODEL:
            return Rejected(
                RefusalReason.BAD_REQUEST,
                f"max_versions_behind must be from 0 to {MAX_VERSIONS_PER_MODEL - 1}",
            )
        self.lines_by_name[line.name] = line
        return Accepted()

    def _publish(self, command: PublishWeights) -> Outcome:
        if command.model not in self.lines_by_name:
            return Rejected(RefusalReason.NOT_FOUND, f"no model line {command.model}")
        weights = PublishedWeights(
            command.model, command.version, command.location, command.digest
        )
        known = self.find(command.model, command.version)
        if known is not None:
            if known == weights:
                return Accepted()
            return Rejected(
                RefusalReason.CONFLICT,
                f"version {command.version} was published with other content",
            )
        latest = self.latest(command.model)
        if latest is not None and command.version <= latest.version:
            return Rejected(
                RefusalReason.CONFLICT,
                f"version {command.version} is not newer than {latest.version}",
            )
        published = self.published_by_model.setdefault(command.model, [])
        published.append(weights)
        del published[:-MAX_VERSIONS_PER_MODEL]
        return Accepted()

    def to_snapshot(self) -> WeightsSnapshot:
        """Return the model lines and the versions kept for each."""
        return WeightsSnapshot(
            tuple(self.lines_by_name.values()),
            tuple(
                weights
                for published in self.published_by_model.values()
                for weights in published
            ),
        )

    def load_snapshot(self, snapshot: WeightsSnapshot) -> None:
        """Replace all state by the snapshot's."""
        self.lines_by_name = {line.name: line for line in snapshot.lines}
        self.published_by_model = {}
        for weights in snapshot.published:
            self.published_by_model.setdefault(weights.model, []).append(weights)
