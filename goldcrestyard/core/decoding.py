"""Decoding of documents and numbers that come from outside the process.

Whatever another writer sends, these functions return a value.  The decoders
below them raise errors of many kinds: deep nesting, for example, ends in a
``RecursionError``, and a number of thousands of digits in a ``ValueError``.
"""

from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

T = TypeVar("T")

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number from outside.  All implementations of JSON exchange
numbers up to it exactly; arithmetic with floats fails on far larger ones."""

Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
WholeNumber = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
"""Types of fields of documents from outside.  Types that are also stored must
not use them: a bound that is lowered would make stored records unreadable."""

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
