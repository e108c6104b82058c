"""Choice of a target for a scheduled request, by expected response time.

Each entry keeps its own statistics of the targets and combines them with their
load reports, which arrive late.  Failing targets are ejected for a while, and
a target's concurrency limit falls when it turns a request away.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from goldcrestyard.core.ids import Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import Priority, Rental

REMOTE_REGION_COST_SECONDS = 2.0
"""Cost in seconds of a request over the link between regions, which is billed
by volume."""

LOAD_REPORT_HALVING_AGE_SECONDS = 5.0
"""Age in seconds at which the waiting tokens of a load report count half."""

INITIAL_TOKENS_PER_SECOND = 50.0
LATEST_SPEED_WEIGHT = 0.2
"""Weight of the latest request in the moving average of a target's speed."""

FULL_SPEED_SHARE = 0.5
"""Share of its maximum concurrency at which a target is assumed to run at full
speed.  The throughput of a target with fewer requests is scaled up to this
share; otherwise the busiest target would seem the fastest and get even more
requests."""

EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which a target is ejected."""

FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
"""Shortest and longest time in seconds for which a target is ejected.  The
time doubles with each ejection."""

LIMIT_DECREASE_FACTOR = 0.7
"""New concurrency limit of a target that has turned a request away, as a share
of its requests in progress."""

PREFIX_BLOCK_CHARACTERS = 512
MAX_PREFIX_BLOCKS = 8
CACHED_BLOCK_SAVING_SECONDS = 0.05
"""Prefill time that a cached block of a prompt saves."""

MAX_CACHED_BLOCKS_PER_TARGET = 512
"""Maximum number of prompt blocks that are assumed to be in an engine's cache;
the least recently used are dropped."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reported, and the time of its measurement."""

    waiting_tokens: float
    measured_at: float


@dataclass(slots=True)
class TargetStatistics:
    """This entry's statistics of one target."""

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

        A target whose ejection has ended gets one request at a time until one
        has succeeded.
        """
        if now < self.ejected_until:
            return False
        if self.failures_in_a_row >= EJECT_AFTER_FAILURES:
            return self.in_flight == 0
        return self.in_flight < int(self.concurrency_limit)

    def record_start(self, tokens: float, prefix: Iterable[bytes]) -> None:
        """Record the start of a request with its prompt's prefix blocks."""
        self.in_flight += 1
        self.in_flight_tokens += tokens
        for block in prefix:
            self.prefixes[block] = None
            self.prefixes.move_to_end(block)
        while len(self.prefixes) > MAX_CACHED_BLOCKS_PER_TARGET:
            self.prefixes.popitem(last=False)

    def record_end(self, tokens: float) -> None:
        """Record the end of a request, whatever its outcome."""
        self.in_flight -= 1
        self.in_flight_tokens = max(0.0, self.in_flight_tokens - tokens)

    def record_success(self, tokens: float, seconds: float, maximum: int) -> None:
        """Record a complete response.

        ``maximum`` is the target's own concurrency limit.
        """
        self.failures_in_a_row = 0
        self.ejections = 0
        # Additive increase: one more for each full round of requests, as in
        # TCP's congestion control.
        raised = self.concurrency_limit + 1 / self.concurrency_limit
        self.concurrency_limit = min(float(maximum), raised)
        if seconds > 0 and tokens > 0:
            concurrency = max(1.0, self.in_flight, maximum * FULL_SPEED_SHARE)
            speed = tokens * concurrency / seconds
            self.tokens_per_second += LATEST_SPEED_WEIGHT * (
                speed - self.tokens_per_second
            )

    def record_overload(self) -> None:
        """Lower the concurrency limit, since the target had no capacity."""
        self.concurrency_limit = max(1.0, self.in_flight * LIMIT_DECREASE_FACTOR)

    def record_failure(self, now: float) -> None:
        """Record a failure; eject the target after several in a row."""
        self.failures_in_a_row += 1
        if self.failures_in_a_row < EJECT_AFTER_FAILURES:
            return
        ejection_seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self.ejections
        )
        self.ejections += 1
        self.ejected_until = now + ejection_seconds


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """What a request requires of a target."""

    tokens: float
    """Estimated work in tokens: all tokens of the answer and a part of the
    tokens of the prompt."""
    priority: Priority
    prefix: tuple[bytes, ...] = ()
    """Hashes of the prompt's leading blocks, from ``prefix_blocks``."""
    survives_reclaim: bool = True
    """Whether the request can be resumed or repeated if its target is lost."""


def may_serve(
    target: Target, needs: RequestNeeds, tried: AbstractSet[TargetId]
) -> bool:
    """Return whether a target is eligible for a request, whatever its load."""
    return target.id not in tried and (
        needs.survives_reclaim or target.rental is not Rental.RECLAIMABLE
    )


def choose_target(
    candidates: Iterable[Target],
    statistics_by_id: Mapping[TargetId, TargetStatistics],
    needs: RequestNeeds,
    region: Region,
    tried: AbstractSet[TargetId],
    now: float,
) -> Target | None:
    """Return the target with the lowest expected response time, or None.

    Considers only targets with free capacity, and ejected targets only if all
    targets are ejected.
    """
    usable = [target for target in candidates if may_serve(target, needs, tried)]
    # If all targets are ejected, the fault may lie in the requests or in the
    # network, and waiting would not help.  Each then gets one request at a
    # time.
    all_ejected = all(now < statistics_by_id[t.id].ejected_until for t in usable)
    best: Target | None = None
    best_cost = float("inf")
    for target in usable:
        statistics = statistics_by_id[target.id]
        if not statistics.has_room(now) and not (
            all_ejected and statistics.in_flight == 0
        ):
            continue
        cost = expected_seconds(target, statistics, needs, region, now)
        if cost < best_cost or (
            cost == best_cost and best is not None and target.id < best.id
        ):
            best, best_cost = target, cost
    return best


def expected_seconds(
    target: Target,
    statistics: TargetStatistics,
    needs: RequestNeeds,
    region: Region,
    now: float,
) -> float:
    """Return the expected time in seconds until a request is answered."""
    waiting = statistics.in_flight_tokens
    if statistics.load is not None:
        age = max(0.0, now - statistics.load.measured_at)
        age_discount = LOAD_REPORT_HALVING_AGE_SECONDS / (
            LOAD_REPORT_HALVING_AGE_SECONDS + age
        )
        waiting = max(waiting, statistics.load.waiting_tokens * age_discount)
    seconds = (waiting + needs.tokens) / max(1.0, statistics.tokens_per_second)
    if target.region != region:
        seconds += REMOTE_REGION_COST_SECONDS
    cached_blocks = sum(1 for block in needs.prefix if block in statistics.prefixes)
    return seconds - cached_blocks * CACHED_BLOCK_SAVING_SECONDS


def prefix_blocks(text: str) -> tuple[bytes, ...]:
    """Return a hash for each complete leading block of a prompt.

    Each hash covers the text up to the end of its block, like the keys of an
    engine's prefix cache.
    """
    blocks: list[bytes] = []
    digest = hashlib.blake2b(digest_size=8)
    for start in range(0, len(text), PREFIX_BLOCK_CHARACTERS)[:MAX_PREFIX_BLOCKS]:
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        if len(block) < PREFIX_BLOCK_CHARACTERS:
            break
        digest.update(block.encode())
        blocks.append(digest.digest())
    return tuple(blocks)
