"""Settings of the entry role."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class EntrySettings:
    """The ``[entry]`` section."""

    lease_seconds: float = setting(
        "How long an entry serves keyed requests after it last heard from the "
        "leader, in seconds; the same on every instance.",
        5.0,
    )
