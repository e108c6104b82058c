"""Settings for requests to cold targets."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ColdTargetSettings:
    """How many requests a cold target may get, and who may send them."""

    overage: float = setting(
        "Factor of a service's requests a second, for the requests that a cold "
        "target may get in any one second.",
        1.5,
    )
    slack: float = setting(
        "Number of requests, added to these, that a cold target may get in any "
        "one second.",
        5.0,
    )
    silence_seconds: float = setting(
        "Time without the leader after which an entry sends nothing to services "
        "whose targets may be cold.",
        2.0,
    )
