"""Replicated state of the serving configuration."""

from goldcrestyard.core.ids import KeyHash, OrganisationId
from goldcrestyard.core.serving import ServingRoute
from goldcrestyard.fleet.serving.commands import (
    MovedRoute,
    PutServing,
    ServingSnapshot,
)
from goldcrestyard.fleet.serving.former_keys import FormerKeys
from goldcrestyard.policy.serving import RouteKey, ServingTable, moved_routes, route_key
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice

GONE_SECONDS = 120.0
"""Time in seconds for which a route that is gone is remembered, twice the time
for which callers may take up its streams."""

MAX_MOVED = 4096
"""Maximum number of routes whose moves are recorded.  Beyond it the oldest one
is forgotten, and the record counts as new."""


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
        self._moved_at_by_route: dict[RouteKey, float] = {}
        self._moves_known_since: float | None = 0.0
        self._former_keys = FormerKeys()

    def moved_at(self, route: ServingRoute) -> float | None:
        """Return the Unix time at which a route last led to other services.

        Returns None if that is not known, and 0 if it never did.
        """
        if self._moves_known_since is None:
            return None
        moved_at = self._moved_at_by_route.get(route_key(route), 0.0)
        return max(moved_at, self._moves_known_since)

    def key_holder(self, key_hash: KeyHash) -> OrganisationId | None:
        """Return the organisation that holds a key, or held it last.

        Returns None if that is not known.  Use it to tell to whom something
        belongs, not to authenticate a caller.
        """
        present = None if self.table is None else self.table.holder(key_hash)
        return present or self._former_keys.holder(key_hash)

    def observe(
        self, command: Command, outcome: Outcome, context: CommandContext
    ) -> None:
        """Record moves from now on if the snapshot did not tell of them."""
        if self._moves_known_since is None:
            self._moves_known_since = context.time

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case PutServing(config=config, source=source):
                if self.table is None or config.version > self.table.config.version:
                    table = ServingTable(config)
                    if self.table is not None:
                        self._former_keys.update(self.table, table, context.time)
                    self._record_moves(table, context.time)
                    self.table, self.source = table, source
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def to_snapshot(self) -> ServingSnapshot:
        """Return the configuration and its source document."""
        config = self.table.config if self.table is not None else None
        moved = tuple(
            MovedRoute(host, prefix, at)
            for (host, prefix), at in self._moved_at_by_route.items()
        )
        return ServingSnapshot(
            config,
            self.source,
            moved,
            self._moves_known_since,
            self._former_keys.to_snapshot(),
        )

    def load_snapshot(self, snapshot: ServingSnapshot) -> None:
        """Replace the configuration by that of a snapshot."""
        self._moved_at_by_route = {
            (moved.host, moved.prefix): moved.at for moved in snapshot.moved
        }
        self._moves_known_since = snapshot.moves_known_since
        self._former_keys.load_snapshot(snapshot.former_keys)
        if snapshot.config is None:
            self.table, self.source = None, b""
        else:
            self.table = ServingTable(snapshot.config)
            self.source = snapshot.source

    def _record_moves(self, coming: ServingTable, time: float) -> None:
        if self.table is None:
            return
        moved = moved_routes(self.table, coming, self._moved_at_by_route)
        present = set(map(route_key, coming.config.routes))
        self._moved_at_by_route = {
            key: at
            for key, at in self._moved_at_by_route.items()
            if key in present or time - at <= GONE_SECONDS
        }
        for key in moved:
            self._moved_at_by_route.pop(key, None)
            self._moved_at_by_route[key] = time
        while len(self._moved_at_by_route) > MAX_MOVED:
            oldest = next(iter(self._moved_at_by_route))
            self._moves_known_since = self._moved_at_by_route.pop(oldest)
