"""Settings of the interface for targets and of lost-target detection."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class TargetSettings:
    """The ``[targets]`` section."""

    token_sha256: str = setting(
        "SHA-256 in hexadecimal of the token with which targets announce themselves."
    )
    renew_seconds: float = setting(
        "Interval at which a target renews, in seconds.", 2.0
    )
    lost_seconds: float = setting(
        "A target that has not renewed for this long is lost, in seconds.", 6.0
    )
    lost_home_seconds: float = setting(
        "A target whose home entry has been without a lease for this long, and "
        "which has not announced itself elsewhere, is lost, in seconds.",
        10.0,
    )
