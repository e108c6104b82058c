"""Settings for the addresses of listeners and of the platform's interface."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ListeningSettings:
    """Addresses on which this process listens, and that of the platform."""

    addresses_by_name: dict[str, str] = setting(
        "Address (host:port) of each listener of this process."
    )
    duties_address: str = setting(
        "Address (host:port) of the platform's interface for usage reports and "
        "rentals; empty if there is none."
    )
