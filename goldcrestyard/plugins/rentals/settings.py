"""Settings of the client of the platform interface."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class DataCentreTerms:
    """Prices an hour and the risk of a reclaim within the hour."""

    on_demand_price: float
    reclaimable_price: float
    reclaim_risk: float = 0.0


@dataclass(frozen=True)
class RentalSettings:
    """The ``[platform]`` section; only where targets are rented."""

    OPTIONAL: ClassVar[bool] = True

    address: str = setting("Address (host:port) of the platform interface.")
    terms_by_data_centre: dict[str, DataCentreTerms] = setting(
        "Data centres where targets may be rented, with their terms."
    )
    checks_fencing: bool = setting(
        "Whether the platform refuses stale fencing numbers.", False
    )
    honours_keys: bool = setting(
        "Whether the platform carries out a repeated order id only once.", True
    )
    can_look_up: bool = setting("Whether GET /orders/<id> finds an order.", True)
    min_on_demand: int = setting("Least number of on-demand targets.", 1)
    spend_per_hour: float = setting("Bound on the price of all targets an hour.", 1e9)
    requests_per_target: float = setting(
        "Requests in progress that one target is planned for.", 16.0
    )
    max_starts: int = setting("Most targets that one plan starts.", 32)
    plan_seconds: float = setting("How often targets are planned, in seconds.", 10.0)
    notice_seconds: float = setting(
        "How often announced reclaims are fetched, in seconds.", 1.0
    )
    stop_after_seconds: float = setting(
        "How long a target must be unneeded before it is stopped, in seconds.", 300.0
    )
    drain_seconds: float = setting(
        "How long a target drains before the platform is told to stop it.", 60.0
    )
    unavailable_seconds: float = setting(
        "How long to ask elsewhere after the platform had none, in seconds.", 120.0
    )
