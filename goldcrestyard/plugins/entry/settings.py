"""Settings of the entry role."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class EntrySettings:
    """The ``[entry]`` section."""

    lease_seconds: float = setting(
        "How long an entry serves requests with a key after its last contact with "
        "the leader, in seconds. Set the same value on every instance.",
        5.0,
    )
    renew_seconds: float = setting(
        "Interval at which an entry renews its lease, in seconds.", 1.0
    )
    renew_timeout_seconds: float = setting(
        "How long an entry waits for the leader's answer to a lease renewal before "
        "it looks for another leader, in seconds.",
        2.0,
    )
