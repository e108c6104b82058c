"""Replicated state of the serving configuration."""

from goldcrestyard.core.serving import ServingConfig
from goldcrestyard.fleet.serving.commands import PutServing, ServingSnapshot
from goldcrestyard.policy.serving import ServingTable
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice


class ServingSlice(Slice):
    """The serving configuration with the highest version."""

    name = "serving"
    fan_out = True
    commands = (PutServing,)

    def __init__(self) -> None:
        self.table: ServingTable | None = None
        """Lookup table of the configuration; None before the first."""
        self.source = b""
        """The operator's document, compressed."""

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case PutServing(config=config, source=source):
                if self.table is None or config.version > self.table.config.version:
                    self._replace_config(config, source)
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> ServingSnapshot:
        """Return the configuration and its source document."""
        config = self.table.config if self.table is not None else None
        return ServingSnapshot(config, self.source)

    def load_snapshot(self, snapshot: ServingSnapshot) -> None:
        """Replace the configuration by that of a snapshot."""
        if snapshot.config is None:
            self.table, self.source = None, b""
        else:
            self._replace_config(snapshot.config, snapshot.source)

    def _replace_config(self, config: ServingConfig, source: bytes) -> None:
        self.table = ServingTable(config)
        self.source = source
