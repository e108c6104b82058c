"""API keys of callers: format, generation, parsing and hashing.

The format is ``gcy_<key id>_<secret>``.
"""

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass

from goldcrestyard.core.decoding import bytes_of
from goldcrestyard.core.ids import KeyHash, KeyId

_KEY_PATTERN = re.compile(r"gcy_([a-z0-9]{12})_([A-Za-z0-9_-]{32,64})")

KEY_ID_BYTES = 6
SECRET_BYTES = 32


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """The id of a presented API key and the hash of its secret."""

    id: KeyId
    secret_hash: KeyHash


def generate() -> tuple[str, PresentedKey]:
    """Return a new key as text, and its id and hash."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    key_id = KeyId(secrets.token_hex(KEY_ID_BYTES))
    return f"gcy_{key_id}_{secret}", PresentedKey(key_id, hash_secret(secret))


def parse(text: str) -> PresentedKey | None:
    """Return a key's id and hash, or None if the text is malformed."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    return PresentedKey(KeyId(match[1]), hash_secret(match[2]))


def hash_secret(secret: str) -> KeyHash:
    """Return the SHA-256 hash of a secret in hexadecimal.

    Secrets are 256 random bits, so a fast hash cannot be reversed by
    guessing; a deliberately slow one would only delay each request.
    """
    return KeyHash(hashlib.sha256(bytes_of(secret)).hexdigest())


def hashes_equal(first: KeyHash, second: KeyHash) -> bool:
    """Compare two hashes in constant time."""
    return hmac.compare_digest(first, second)
