"""Settings of the gateway."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting

DEFAULT_HEDGE_SHARE = 0.1


@dataclass(frozen=True)
class HedgingSettings:
    """Second copies of calls that are slow."""

    share: float = setting(
        "Largest number of hedges of a route, as a share of its requests at "
        "this process; 0 turns hedging off.",
        DEFAULT_HEDGE_SHARE,
    )
