"""Settings of the address list."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class AddressSettings:
    """The ``[addresses]`` section."""

    ttl_seconds: float = setting(
        "How long callers may cache the list of addresses, in seconds. An entry "
        "that stops keeps accepting callers for this long.",
        15.0,
    )
