"""Settings of the weights' distribution."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class WeightSettings:
    """The ``[weights]`` section."""

    cache_folder: str = setting(
        "Folder in which the temporary folder for fetched weights is made; empty "
        "for the system's folder for temporary files.",
        "",
    )
    cache_bytes: int = setting(
        "Bound on the size of the fetched weights that are kept.", 4 * 1024**3
    )
    fetch_seconds: float = setting(
        "Longest time to fetch a weight version, in seconds.", 600.0
    )
    allowed_locations: tuple[str, ...] = setting(
        "URL prefixes from which weights may be fetched; none allows any. Name the "
        "weight store here, since trainers choose the locations.",
        (),
    )
