"""Settings of the distribution of weights."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class WeightSettings:
    """The ``[weights]`` section."""

    cache_folder: str = setting(
        "Folder in which the temporary folder for fetched weights is created; empty "
        "for the system's folder for temporary files.",
        "",
    )
    cache_bytes: int = setting(
        "Limit on the total size of the cached weights, in bytes.", 4 * 1024**3
    )
    fetch_seconds: float = setting(
        "Longest time to fetch a weight version, in seconds.", 600.0
    )
    allowed_locations: tuple[str, ...] = setting(
        "URL prefixes from which weights may be fetched; none allows any. Name the "
        "weight store here, since trainers choose the locations.",
        (),
    )
