"""The choice of a target for a request, from late and partial facts."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from goldcrestyard.core.ids import Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Priority, Rental

REMOTE_REGION_SECONDS = 2.0
"""Cost of a call over the paid link, as seconds of waiting."""

LOAD_REPORT_SECONDS = 5.0
"""Age at which a load report counts for half."""

INITIAL_TOKENS_PER_SECOND = 50.0
SPEED_WEIGHT = 0.2
"""Weight of the latest request in a target's learned speed."""

BUSY_SHARE = 0.5
"""Share of its concurrency at which a target is taken to run at full speed.
The throughput of a target with fewer requests is scaled up to it; otherwise
the target with the most requests looks fastest and gets still more."""

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 30.0

LIMIT_CUT = 0.7
"""Factor on a target's concurrency limit when it turns a request away."""

PREFIX_BLOCK_CHARACTERS = 512
PREFIX_BLOCKS = 8
PREFIX_BLOCK_SECONDS = 0.05
"""Prefill time that a cached block of a prompt saves."""
PREFIXES_OF_A_TARGET = 512
"""Blocks assumed to stay in an engine's cache; the oldest are forgotten."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own word on its load, and when it was true."""

    waiting_tokens: float
    measured_at: float


@dataclass(slots=True)
class TargetFacts:
    """What this entry has learned about one target."""

    concurrency_limit: float
    incarnation: str = ""
    in_flight: int = 0
    in_flight_tokens: float = 0.0
    tokens_per_second: float = INITIAL_TOKENS_PER_SECOND
    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    load: LoadReport | None = None
    prefixes: "OrderedDict[bytes, None]" = field(default_factory=OrderedDict)

    def has_room(self, now: float) -> bool:
        """Return whether another request may be sent now.

        A target that comes back from ejection gets one request at a time
        until one has succeeded.
        """
        if now < self.ejected_until:
            return False
        if self.failures_in_a_row >= EJECT_AFTER_FAILURES:
            return self.in_flight == 0
        return self.in_flight < int(self.concurrency_limit)

    def begin(self, tokens: float, prefix: Iterable[bytes]) -> None:
        """Note that a request is sent."""
        self.in_flight += 1
        self.in_flight_tokens += tokens
        for block in prefix:
            self.prefixes[block] = None
            self.prefixes.move_to_end(block)
        while len(self.prefixes) > PREFIXES_OF_A_TARGET:
            self.prefixes.popitem(last=False)

    def end(self, tokens: float) -> None:
        """Note that a request has ended, however it did."""
        self.in_flight -= 1
        self.in_flight_tokens = max(0.0, self.in_flight_tokens - tokens)

    def succeeded(self, tokens: float, seconds: float, maximum: int) -> None:
        """Learn from a whole answer."""
        self.failures_in_a_row = 0
        self.ejections = 0
        # Raised by one for each full round of requests, as TCP does.
        raised = self.concurrency_limit + 1 / self.concurrency_limit
        self.concurrency_limit = min(float(maximum), raised)
        if seconds > 0 and tokens > 0:
            sharing = max(1.0, self.in_flight, maximum * BUSY_SHARE)
            speed = tokens * sharing / seconds
            self.tokens_per_second += SPEED_WEIGHT * (speed - self.tokens_per_second)

    def turned_away(self) -> None:
        """Learn that the target is fuller than this entry knew."""
        self.concurrency_limit = max(1.0, self.in_flight * LIMIT_CUT)

    def failed(self, now: float) -> None:
        """Count a failure; eject the target after several in a row."""
        self.failures_in_a_row += 1
        if self.failures_in_a_row < EJECT_AFTER_FAILURES:
            return
        pause = min(
            LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self.ejections
        )
        self.ejections += 1
        self.ejected_until = now + pause


@dataclass(frozen=True, slots=True)
class Needs:
    """What a request needs from a target."""

    tokens: float
    priority: Priority
    prefix: tuple[bytes, ...] = ()
    survives_reclaim: bool = True
    """Whether the work can be resumed or repeated when its target is lost."""


def may_serve(target: Target, needs: Needs, tried: AbstractSet[TargetId]) -> bool:
    """Return whether a target may have a request once it has room."""
    return target.id not in tried and (
        needs.survives_reclaim or target.rental is not Rental.RECLAIMABLE
    )


def choose_target(
    candidates: Iterable[Target],
    facts_by_id: Mapping[TargetId, TargetFacts],
    needs: Needs,
    region: Region,
    tried: AbstractSet[TargetId],
    now: float,
) -> Target | None:
    """Return the target with the least expected time, or None."""
    usable = [target for target in candidates if may_serve(target, needs, tried)]
    # When all are ejected, waiting gains nothing: the fault may lie in the
    # requests or on the way.  Each then gets one request at a time.
    all_ejected = all(now < facts_by_id[t.id].ejected_until for t in usable)
    best: Target | None = None
    best_cost = float("inf")
    for target in usable:
        facts = facts_by_id[target.id]
        if not facts.has_room(now) and not (all_ejected and facts.in_flight == 0):
            continue
        cost = expected_seconds(target, facts, needs, region, now)
        if cost < best_cost or (
            cost == best_cost and best is not None and target.id < best.id
        ):
            best, best_cost = target, cost
    return best


def expected_seconds(
    target: Target, facts: TargetFacts, needs: Needs, region: Region, now: float
) -> float:
    """Return the expected time until a request is answered."""
    waiting = facts.in_flight_tokens
    if facts.load is not None:
        age = max(0.0, now - facts.load.measured_at)
        trust = LOAD_REPORT_SECONDS / (LOAD_REPORT_SECONDS + age)
        waiting = max(waiting, facts.load.waiting_tokens * trust)
    seconds = (waiting + needs.tokens) / max(1.0, facts.tokens_per_second)
    if target.region != region:
        seconds += REMOTE_REGION_SECONDS
    cached = sum(1 for block in needs.prefix if block in facts.prefixes)
    return seconds - cached * PREFIX_BLOCK_SECONDS


def prefix_blocks(text: str) -> tuple[bytes, ...]:
    """Return a hash for each leading block of a prompt.

    Each hash covers all before it, as the blocks of an engine's prefix cache
    do.
    """
    blocks: list[bytes] = []
    digest = hashlib.blake2b(digest_size=8)
    for start in range(0, len(text), PREFIX_BLOCK_CHARACTERS)[:PREFIX_BLOCKS]:
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        if len(block) < PREFIX_BLOCK_CHARACTERS:
            break
        digest.update(block.encode())
        blocks.append(digest.digest())
    return tuple(blocks)
