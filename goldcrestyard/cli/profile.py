"""Connection settings of the tool: addresses of instances and operator key.

They come from options or a profile file, not from environment variables:
those are inherited by other programs and shown in process listings.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from goldcrestyard.core.decoding import Malformed, decode_toml

DEFAULT_PROFILE = Path("goldcrest.toml")


@dataclass(frozen=True, slots=True)
class Profile:
    """Admin addresses (host:port) of instances, and the operator key."""

    servers: tuple[str, ...]
    key: str


@dataclass(frozen=True, slots=True)
class ProfileFault:
    """Message that says why the connection settings are not usable."""

    message: str


@dataclass(frozen=True, slots=True)
class _ProfileFile:
    servers: tuple[str, ...] = ()
    key_file: str = ""


def read_profile(
    profile_path: Path | None, servers: Sequence[str], key_path: Path | None
) -> Profile | ProfileFault:
    """Combine a profile file with the options, which take precedence."""
    path = profile_path or DEFAULT_PROFILE
    found = _ProfileFile()
    if profile_path is not None or path.exists():
        try:
            document = decode_toml(path.read_text(encoding="utf-8"))
            if isinstance(document, Malformed):
                return ProfileFault(f"profile {path} is faulty: {document.detail}")
            found = msgspec.convert(document, _ProfileFile)
        except OSError as error:
            return ProfileFault(f"profile {path} cannot be read: {error.strerror}")
        except (ValueError, msgspec.ValidationError) as error:
            return ProfileFault(f"profile {path} is faulty: {error}")
    if key_path is None and found.key_file:
        # A path in the profile is relative to the folder of the profile.
        key_path = path.parent / found.key_file
    addresses = tuple(servers) or found.servers
    if not addresses:
        return ProfileFault(
            "no server is given; use --server host:port or write "
            f"'servers = [\"host:port\"]' into {path}"
        )
    if key_path is None:
        return ProfileFault(
            "no operator key is given; use --key-file PATH or write "
            f"'key_file = \"PATH\"' into {path}"
        )
    try:
        key = key_path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return ProfileFault(f"key file {key_path} cannot be read: {error}")
    return Profile(addresses, key)
