"""Settings of the operators' API."""

from dataclasses import dataclass

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class OperatorSettings:
    """The ``[operators]`` section."""

    key_sha256_by_name: dict[str, str] = setting(
        "SHA-256 in hexadecimal of each operator's key, by operator name."
    )
