"""Which targets to start and to stop, from demand, cost and risk."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field

from goldcrestyard.core.ids import DataCentre, TargetId
from goldcrestyard.core.states import Rental

MAX_RECLAIM_RISK = 0.5
"""Above this chance of a reclaim within the hour, work that is lost and done
again costs more than an on-demand target."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests in progress or waiting, by what the loss of a target costs."""

    firm: float = 0.0
    """Interactive and non-idempotent work, on on-demand targets only."""
    resumable: float = 0.0
    """Work that survives the loss of its target."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What targets of one data centre cost an hour."""

    data_centre: DataCentre
    on_demand_price: float
    reclaimable_price: float
    reclaim_risk: float = 0.0

    def price(self, rental: Rental) -> float:
        """Return the price of a target for an hour."""
        match rental:
            case Rental.ON_DEMAND:
                return self.on_demand_price
            case Rental.RECLAIMABLE:
                return self.reclaimable_price


@dataclass(frozen=True, slots=True)
class RentedTarget:
    """A target that runs, or that an open order starts."""

    id: TargetId
    data_centre: DataCentre
    rental: Rental
    pending: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """What operators allow."""

    min_on_demand: int = 1
    spend_per_hour: float = math.inf
    requests_per_target: float = 16.0
    max_starts: int = 32
    """Bounds one plan, so that a false demand cannot spend everything."""
    stop_margin: float = 0.2
    """Share of capacity that must stay free after a stop."""
    stop_after_seconds: float = 300.0


@dataclass(frozen=True, slots=True)
class Memory:
    """What a plan must know of the plans before it."""

    surplus_since: float | None = None


@dataclass(frozen=True, slots=True)
class StartTargets:
    """Rent more targets in a data centre."""

    data_centre: DataCentre
    rental: Rental
    count: int


@dataclass(frozen=True, slots=True)
class StopTarget:
    """Give back one target, after its work has ended."""

    target: TargetId
    data_centre: DataCentre


TargetOrder = StartTargets | StopTarget


@dataclass(frozen=True, slots=True)
class Plan:
    """Orders, what to remember, and how many targets the bounds deny."""

    orders: tuple[TargetOrder, ...]
    memory: Memory
    denied: int = 0


@dataclass(slots=True)
class _Fleet:
    """Counts while a plan is made."""

    terms_by_data_centre: dict[DataCentre, Terms]
    counts: Counter[tuple[DataCentre, Rental]] = field(default_factory=Counter)
    spend: float = 0.0
    started: Counter[tuple[DataCentre, Rental]] = field(default_factory=Counter)

    def add(self, data_centre: DataCentre, rental: Rental) -> None:
        self.counts[data_centre, rental] += 1
        terms = self.terms_by_data_centre.get(data_centre)
        if terms is not None:
            self.spend += terms.price(rental)

    def total(self, rental: Rental) -> int:
        return sum(count for (_, held), count in self.counts.items() if held is rental)


def plan(
    demand: Demand,
    targets: Sequence[RentedTarget],
    terms: Iterable[Terms],
    bounds: Bounds,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
    memory: Memory,
    now: float,
) -> Plan:
    """Return the orders that bring the targets in line with the demand.

    ``unavailable`` names what the platform has lately refused to rent.
    """
    fleet = _Fleet({term.data_centre: term for term in terms})
    staying = [target for target in targets if not target.leaving]
    for target in staying:
        fleet.add(target.data_centre, target.rental)
    firm, resumable = _needed(demand, bounds)
    on_demand = fleet.total(Rental.ON_DEMAND)
    short_firm = max(0, firm - on_demand)
    covered = max(0, on_demand - firm) + fleet.total(Rental.RECLAIMABLE)
    short_resumable = max(0, resumable - covered)
    if short_firm or short_resumable:
        denied = _start(fleet, short_firm, short_resumable, bounds, unavailable)
        orders = tuple(
            StartTargets(data_centre, rental, count)
            for (data_centre, rental), count in sorted(
                fleet.started.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        )
        return Plan(orders, Memory(), denied)
    surplus = _surplus_target(staying, firm, demand, bounds)
    if surplus is None:
        return Plan((), Memory())
    since = memory.surplus_since if memory.surplus_since is not None else now
    if now - since < bounds.stop_after_seconds:
        return Plan((), Memory(since))
    stop = StopTarget(surplus.id, surplus.data_centre)
    return Plan((stop,), Memory(now))


def _needed(demand: Demand, bounds: Bounds) -> tuple[int, int]:
    firm = math.ceil(demand.firm / bounds.requests_per_target)
    resumable = math.ceil(demand.resumable / bounds.requests_per_target)
    return max(bounds.min_on_demand, firm), resumable


def _start(
    fleet: _Fleet,
    short_firm: int,
    short_resumable: int,
    bounds: Bounds,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
) -> int:
    """Add targets to the fleet; return how many could not be added."""
    denied = 0
    left = bounds.max_starts
    wanted = [(Rental.ON_DEMAND,)] * short_firm + [
        (Rental.RECLAIMABLE, Rental.ON_DEMAND)
    ] * short_resumable
    for rentals in wanted:
        if left == 0:
            denied += 1
            continue
        for rental in rentals:
            place = _cheapest(fleet, rental, bounds, unavailable)
            if place is not None:
                fleet.add(place, rental)
                fleet.started[place, rental] += 1
                left -= 1
                break
        else:
            denied += 1
    return denied


def _cheapest(
    fleet: _Fleet,
    rental: Rental,
    bounds: Bounds,
    unavailable: AbstractSet[tuple[DataCentre, Rental]],
) -> DataCentre | None:
    """Return where to start a target within the spend bound, or None.

    On-demand targets are spread, so that the loss of a data centre takes as
    few as possible; reclaimable ones go where they last longest for the
    money.
    """
    candidates = [
        terms
        for terms in fleet.terms_by_data_centre.values()
        if (terms.data_centre, rental) not in unavailable
        and fleet.spend + terms.price(rental) <= bounds.spend_per_hour
        and (rental is Rental.ON_DEMAND or terms.reclaim_risk <= MAX_RECLAIM_RISK)
    ]

    def rank(terms: Terms) -> tuple[float, float, DataCentre]:
        held = fleet.counts[terms.data_centre, rental]
        match rental:
            case Rental.ON_DEMAND:
                return held, terms.on_demand_price, terms.data_centre
            case Rental.RECLAIMABLE:
                effective = terms.reclaimable_price / (1 - terms.reclaim_risk)
                return effective, held, terms.data_centre

    best = min(candidates, key=rank, default=None)
    return best.data_centre if best is not None else None


def _surplus_target(
    staying: Sequence[RentedTarget], firm: int, demand: Demand, bounds: Bounds
) -> RentedTarget | None:
    """Return a target that demand with its margin does not need."""
    if any(target.pending for target in staying):
        return None
    work = (demand.firm + demand.resumable) * (1 + bounds.stop_margin)
    if (len(staying) - 1) * bounds.requests_per_target < work:
        return None
    on_demand = [t for t in staying if t.rental is Rental.ON_DEMAND]
    reclaimable = [t for t in staying if t.rental is Rental.RECLAIMABLE]
    firm_work = demand.firm * (1 + bounds.stop_margin)
    spare = (
        len(on_demand) > firm
        and (len(on_demand) - 1) * bounds.requests_per_target >= firm_work
    )
    # The dearer kind goes first, as far as firm work leaves it free.
    candidates = on_demand if spare else reclaimable
    crowded = Counter(target.data_centre for target in candidates)
    return min(candidates, key=lambda t: (-crowded[t.data_centre], t.id), default=None)
