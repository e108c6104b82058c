"""Where a process listens on the platform, and where the platform does."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ListeningSettings:
    """Addresses of the platform's interfaces."""

    addresses_by_name: dict[str, str] = setting(
        "Address (host:port) of each listener of this process."
    )
    duties_address: str = setting("Address that takes usage reports and rentals.")
