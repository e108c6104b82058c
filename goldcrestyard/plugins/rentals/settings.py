"""Settings of the rentals: platform interface and capacity limits."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class DataCentreTerms:
    """Hourly prices, and the probability of a reclaim within an hour."""

    on_demand_price: float
    reclaimable_price: float
    reclaim_risk: float = 0.0


@dataclass(frozen=True)
class RentalSettings:
    """The ``[platform]`` section; left out if no targets are rented."""

    OPTIONAL: ClassVar[bool] = True

    address: str = setting("Address (host:port) of the platform interface.")
    terms_by_data_centre: dict[str, DataCentreTerms] = setting(
        "Data centres where targets may be rented, with prices and reclaim risk."
    )
    checks_fencing: bool = setting(
        "Whether the platform refuses stale fencing tokens.", False
    )
    honours_keys: bool = setting(
        "Whether the platform carries out a repeated order id only once.", True
    )
    can_look_up: bool = setting("Whether GET /orders/<id> finds an order.", True)
    min_on_demand: int = setting("Minimum number of on-demand targets.", 1)
    spend_per_hour: float = setting(
        "Highest total price of all targets for an hour.", 1e9
    )
    requests_per_target: float = setting(
        "Concurrent requests that the plan assigns to one target.", 16.0
    )
    max_starts: int = setting("Most targets that one planning run starts.", 32)
    plan_seconds: float = setting("Interval between planning runs, in seconds.", 10.0)
    notice_seconds: float = setting(
        "Interval between requests for reclaim notices, in seconds.", 1.0
    )
    stop_after_seconds: float = setting(
        "How long a surplus must last before a target is stopped, in seconds.", 300.0
    )
    drain_seconds: float = setting(
        "Longest time a target drains before it is stopped, in seconds.", 60.0
    )
    unavailable_seconds: float = setting(
        "How long a rental kind is avoided in a data centre where the platform had "
        "no such target or announced a reclaim, in seconds.",
        120.0,
    )
