"""The settings sections that every process has; plug-ins add others."""

from dataclasses import dataclass

from goldcrestyard.core.ids import DataCentre, InstanceId, Region
from goldcrestyard.kernel.settings import Settings, setting


@dataclass(frozen=True)
class InstanceSettings:
    """The ``[instance]`` section: identity and location of this process."""

    id: InstanceId = setting("Unique name of this instance.")
    data_centre: DataCentre = setting("Data centre in which this instance runs.")
    region: Region = setting("Region of the data centre.")
    log_level: str = setting("Least severe level that is logged.", "info")
    drain_seconds: float = setting(
        "Longest time a planned stop waits for running requests, in seconds.", 600.0
    )


@dataclass(frozen=True)
class MemorySettings:
    """The ``[memory]`` section: how much memory this process may use."""

    process_bytes: int = setting(
        "Resident memory of this process that must not be exceeded, in bytes. What "
        "callers, peers and targets make it keep is bounded accordingly.",
        512_000_000,
    )
    descriptors: int = setting(
        "Open descriptors that this process may have; 0 takes the limit of the "
        "operating system. The number of clients' connections is bounded accordingly.",
        0,
    )


def process_bytes(settings: Settings) -> int:
    """Return the memory in bytes that this process may use."""
    return (settings.find(MemorySettings) or MemorySettings()).process_bytes
