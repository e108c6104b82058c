"""Decoding of documents and numbers that come from outside the process.

Whatever another writer sends, these functions return a value.  The decoders
below them raise errors of many kinds: deep nesting, for example, ends in a
``RecursionError``, and a number of thousands of digits in a ``ValueError``.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

T = TypeVar("T")

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
"""What the decoders raise for input that they cannot decode."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The input cannot be decoded."""

    detail: str


def decode_json(data: bytes, expected: type[T]) -> T | Malformed:
    """Return the value of a JSON document, converted to a type."""
    try:
        return msgspec.json.decode(data, type=expected)
    except DECODE_ERRORS as error:
        return Malformed(str(error))
