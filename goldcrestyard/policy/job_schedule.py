"""Which item of which job goes to which engine."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    ModelName,
    ServiceName,
    TargetId,
    WeightVersion,
)


class ItemKey(NamedTuple):
    """One item of one job."""

    job: JobId
    item: ItemId


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that could start now."""

    key: ItemKey
    service: ServiceName
    model: ModelName
    oldest_version: WeightVersion
    group: GroupId
    needs_version: WeightVersion | None = None
    """The only version that may go on with what the item already has."""
    avoided: frozenset[TargetId] = frozenset()


@dataclass(slots=True)
class EngineRoom:
    """An engine that takes work, and what it has room for."""

    id: TargetId
    service: ServiceName
    slots: int
    in_use: int
    distance_seconds: float
    versions_by_model: dict[ModelName, WeightVersion]
    loading: frozenset[ModelName] = frozenset()
    groups: set[GroupId] = field(default_factory=set)
    """Groups whose shared prompt the engine has read."""
    event_seconds: float = 0.0
    """Time between two events of a stream, as far as it is known."""

    def may_run(self, item: WaitingItem) -> bool:
        """Return whether the engine may generate for an item now."""
        version = self.versions_by_model.get(item.model, WeightVersion(0))
        return (
            self.service == item.service
            and self.in_use < self.slots
            and item.model not in self.loading
            and version >= item.oldest_version
            and item.needs_version in (None, version)
        )


GROUP_BONUS_SECONDS = 0.05
"""What a prompt that need not be read again is worth, as seconds."""

EXPECTED_EVENTS = 30
"""Length of an item, for weighing the pace of an engine."""

LOAD_SECONDS = 0.5
"""Cost of an engine that is full against one that is empty: its steps take
longer for all that run on it."""


def assign(
    items: Iterable[WaitingItem], engines: Sequence[EngineRoom]
) -> list[tuple[ItemKey, TargetId]]:
    """Give items, in their order, to the engines that serve them best."""
    assigned: list[tuple[ItemKey, TargetId]] = []
    free = sum(max(0, engine.slots - engine.in_use) for engine in engines)
    for item in items:
        if free <= 0:
            break
        able = [engine for engine in engines if engine.may_run(item)]
        if not able:
            continue
        preferred = [engine for engine in able if engine.id not in item.avoided]
        best = min(preferred or able, key=lambda engine: _cost(engine, item))
        best.in_use += 1
        best.groups.add(item.group)
        free -= 1
        assigned.append((item.key, best.id))
    return assigned


def _cost(engine: EngineRoom, item: WaitingItem) -> float:
    cost = engine.distance_seconds + LOAD_SECONDS * engine.in_use / engine.slots
    cost += EXPECTED_EVENTS * engine.event_seconds
    if item.group in engine.groups:
        cost -= GROUP_BONUS_SECONDS
    return cost
