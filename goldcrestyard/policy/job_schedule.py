"""Scheduling of job items on engines.

Each waiting item goes to the eligible engine with the lowest cost, which
counts the distance, the load, the time that the engine needs for the item's
text and whether it has already read the prompt that the item's group shares.
An item with text goes only to engines with the software that began the text.

Pattern: a step's items arrive at once, and its longest text decides when the
step is complete.  The longest texts of a job therefore start first, on the
fastest engines.
"""

import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from goldcrestyard.core.ids import (
    GroupId,
    ItemId,
    JobId,
    ModelName,
    Region,
    ServiceName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.policy.item_lengths import DEFAULT_EVENTS
from goldcrestyard.policy.residency import is_allowed


class ItemKey(NamedTuple):
    """Identity of an item; item ids are unique within a job."""

    job: JobId
    item: ItemId


class EngineTrust(Enum):
    """How many items an engine gets, from its earlier answers."""

    TRUSTED = "trusted"
    """As many as it has slots."""
    ON_TRIAL = "on trial"
    """One at a time."""
    AVOIDED = "avoided"
    """None, unless no other engine serves the item; then one at a time."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that can start as soon as an engine has a free slot."""

    key: ItemKey
    service: ServiceName
    model: ModelName
    oldest_version: WeightVersion
    """Oldest weight version that may generate the item."""
    group: GroupId
    required_version: WeightVersion | None = None
    """The version that produced the item's earlier output, if only this one
    may continue it; None if any version may."""
    required_software: SoftwareVersion | None = None
    """The software that began the item's text, empty if unknown; None if there
    is no text."""
    remaining_events: float = DEFAULT_EVENTS
    """Expected number of events that its text still lacks."""
    avoided_engines: frozenset[TargetId] = frozenset()
    """Engines that get the item only if no other engine can run it."""
    prompt_tokens: float = 0.0
    """Tokens of its prompt, which its group shares at an engine."""
    text_tokens: float = 0.0
    """Expected tokens of its complete text."""
    overdue: bool = False
    """Whether it has been without an engine for so long that it may start on
    one whose memory it exceeds, while the engine is under half full."""
    regions: frozenset[Region] | None = None
    """Regions in which it may run; None if it may run everywhere."""


@dataclass(slots=True)
class EngineSlots:
    """An engine that accepts work, with its capacity and weight versions."""

    id: TargetId
    service: ServiceName
    slots: int
    in_use: int
    distance_seconds: float
    versions_by_model: dict[ModelName, WeightVersion]
    loading: frozenset[ModelName] = frozenset()
    groups: set[GroupId] = field(default_factory=set)
    """Groups whose shared prompt is in the engine's cache."""
    permitted_runs: int | None = None
    """Number of runs that the engine's request limit allows to start now; None
    if it has none."""
    seconds_per_event: float = 0.0
    """Mean time between two events of a stream; 0 if it is not known."""
    trust: EngineTrust = EngineTrust.TRUSTED
    software: SoftwareVersion = SoftwareVersion("")
    """Software of the engine's present run; empty if unknown."""
    refuses: bool = False
    """Whether it has lately refused a connection, as one that has ended."""
    memory_tokens: float = math.inf
    """Tokens that its memory holds."""
    tokens_in_use: float = 0.0
    """Expected tokens of the items that run on it, once they are complete."""
    running_groups: set[GroupId] = field(default_factory=set)
    """Groups of the items that run on it."""
    region: Region = Region("")

    def serves(self, item: WaitingItem) -> bool:
        """Return whether the engine can run an item once it has a slot."""
        version = self.versions_by_model.get(item.model, WeightVersion(0))
        return (
            self.service == item.service
            and is_allowed(self.region, item.regions)
            and version >= item.oldest_version
            and item.required_version in (None, version)
            and (
                item.required_software is None
                or may_continue(item.required_software, self.software)
            )
        )

    def can_run(self, item: WaitingItem) -> bool:
        """Return whether the engine can generate an item now."""
        slots = self.slots if self.trust is EngineTrust.TRUSTED else 1
        return (
            self.in_use < slots
            and self.permitted_runs != 0
            and item.model not in self.loading
            and self.serves(item)
        )

    def tokens_of(self, item: WaitingItem) -> float:
        """Return the tokens that an item would add to the engine's memory."""
        shared = item.group != "" and item.group in self.running_groups
        return item.text_tokens + (0.0 if shared else item.prompt_tokens)

    @property
    def free_tokens(self) -> float:
        """Tokens of its memory that no running item is expected to take."""
        return self.memory_tokens - self.tokens_in_use

    def has_memory_for(self, item: WaitingItem) -> bool:
        """Return whether an item's expected tokens fit into the memory.

        An engine that runs nothing takes any item, also one that is larger
        than its memory.
        """
        used = self.tokens_in_use + self.tokens_of(item)
        return (
            self.in_use == 0
            or used <= self.memory_tokens
            or (item.overdue and 2 * self.in_use < self.slots)
        )


TEXT_WAIT_SECONDS = 1.0
"""Time in seconds since its last run for which a text waits for a free engine
of its software.  The platform allows no item to be without an engine for 5 s,
and a further run may take a second or two to begin."""


class TextLoss(Enum):
    """Why an item's text cannot go on, so that the item starts again.

    The text is kept until another engine has begun a new one.
    """

    UNKNOWN_SOFTWARE = "unknown software"
    """It is not known which software began the text."""
    NO_ENGINE = "no engine"
    """No ready engine with the software that began it has its weights."""
    NO_FREE_ENGINE = "no free engine"
    """No engine with the software that began it could run it in time."""
    ENGINE_RESTARTED = "engine restarted"
    """Its engine started again with other software around the latest run."""
    OTHER_SERVICE = "other service"
    """The service that began the text gets no more items."""


def may_continue(text: SoftwareVersion, engine: SoftwareVersion) -> bool:
    """Return whether an engine's software may go on with a text."""
    return text != "" and text == engine


def text_loss(
    item: WaitingItem,
    engines: Sequence[EngineSlots],
    unheard_software: Collection[SoftwareVersion],
    waited_seconds: float,
) -> TextLoss | None:
    """Return why a waiting item may start again; None if it may not.

    ``unheard_software`` is that of ready engines of the item's service whose
    weight versions are not known yet.  Waiting helps if such an engine, or one
    that is busy, may go on with the text.
    """
    software = item.required_software
    if software is None:
        return None
    if software == "":
        return TextLoss.UNKNOWN_SOFTWARE
    unheard = software in unheard_software
    serving = [engine for engine in engines if engine.serves(item)]
    if not serving and not unheard:
        return TextLoss.NO_ENGINE
    may_help = unheard or not all(engine.refuses for engine in serving)
    if may_help and waited_seconds < TEXT_WAIT_SECONDS:
        return None
    # A run at an engine that the item avoids has just failed.
    if _preferred(_eligible(item, engines), item):
        return None
    return TextLoss.NO_FREE_ENGINE


CACHED_PROMPT_BONUS_SECONDS = 0.05
"""Time in seconds saved by an engine that has the prompt of the item's group
in its cache."""

FULL_LOAD_COST_SECONDS = 0.5
"""Cost in seconds of a full engine compared with an idle one, since a decoding
step takes longer with each item that runs on the engine."""


def longest_first(items: Iterable[WaitingItem]) -> list[WaitingItem]:
    """Return items of one job in the order in which they should start."""
    return sorted(items, key=lambda item: -item.remaining_events)


def assign(
    items: Iterable[WaitingItem], engines: Sequence[EngineSlots]
) -> list[tuple[ItemKey, TargetId]]:
    """Assign items, in their order, each to the engine with the lowest cost.

    An item waits while its expected tokens fit into no engine's memory.  It
    keeps the engine with the most free memory from the items behind it, which
    would otherwise take each part of the memory that becomes free.
    Updates the slots, permits, memory and groups of the engines.
    """
    assigned: list[tuple[ItemKey, TargetId]] = []
    free_slots = sum(max(0, engine.slots - engine.in_use) for engine in engines)
    reserved: set[TargetId] = set()
    for item in items:
        if free_slots <= 0:
            break
        eligible = _eligible(item, engines)
        if reserved:
            eligible = [engine for engine in eligible if engine.id not in reserved]
        if not eligible:
            continue
        preferred = _preferred(eligible, item)
        # An engine that runs out of memory interrupts a text and reads it in
        # again, which takes longer than to wait for another item's end.
        roomy = [e for e in preferred or eligible if e.has_memory_for(item)]
        if not roomy:
            held = max(preferred or eligible, key=lambda engine: engine.free_tokens)
            reserved.add(held.id)
            free_slots -= max(0, held.slots - held.in_use)
            continue
        best = min(roomy, key=lambda engine: _cost(engine, item))
        best.in_use += 1
        best.tokens_in_use += best.tokens_of(item)
        best.running_groups.add(item.group)
        if best.permitted_runs is not None:
            best.permitted_runs -= 1
        best.groups.add(item.group)
        free_slots -= 1
        assigned.append((item.key, best.id))
    return assigned


def _eligible(item: WaitingItem, engines: Sequence[EngineSlots]) -> list[EngineSlots]:
    eligible = [engine for engine in engines if engine.can_run(item)]
    if any(engine.trust is EngineTrust.AVOIDED for engine in eligible):
        eligible = _without_avoided(eligible, item, engines)
    return eligible


def _preferred(eligible: list[EngineSlots], item: WaitingItem) -> list[EngineSlots]:
    return [
        engine
        for engine in eligible
        if engine.id not in item.avoided_engines and not engine.refuses
    ]


def _without_avoided(
    eligible: list[EngineSlots], item: WaitingItem, engines: Sequence[EngineSlots]
) -> list[EngineSlots]:
    """Return the engines that may get an item now.

    An item rather waits for a slot of a sound engine than to run at one that
    is avoided.  If no other engine serves the item, the fault may lie in the
    items, and waiting would not help.
    """
    if not any(
        engine.trust is not EngineTrust.AVOIDED and engine.serves(item)
        for engine in engines
    ):
        return eligible
    return [engine for engine in eligible if engine.trust is not EngineTrust.AVOIDED]


def _cost(engine: EngineSlots, item: WaitingItem) -> float:
    cost = (
        engine.distance_seconds + FULL_LOAD_COST_SECONDS * engine.in_use / engine.slots
    )
    cost += item.remaining_events * engine.seconds_per_event
    if item.group in engine.groups:
        cost -= CACHED_PROMPT_BONUS_SECONDS
    return cost
