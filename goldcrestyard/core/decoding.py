"""Decoding of documents and numbers that come from outside the process.

Whatever another writer sends, these functions return a value.  The decoders
below them raise errors of many kinds: deep nesting, for example, ends in a
``RecursionError``, and a number of thousands of digits in a ``ValueError``.
"""

import math
import re
import tomllib
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

T = TypeVar("T")

MAX_WHOLE_NUMBER = 2**53 - 1
"""Largest whole number from outside.  All implementations of JSON exchange
numbers up to it exactly; arithmetic with floats fails on far larger ones."""

MAX_PORT = 65535

_MAX_COUNT_DIGITS = len(str(MAX_WHOLE_NUMBER))

Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Port = Annotated[int, Meta(gt=0, le=MAX_PORT)]
WholeNumber = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
"""Types of fields of documents from outside.  Types that are also stored must
not use them: a bound that is lowered would make stored records unreadable."""

MAX_ID_LENGTH = 256
"""Longest id or name from outside.  Ids go into headers, log lines and the
replicated state."""

MAX_NESTING = 100
"""Most levels of a document that is passed on.  What one call can decode
another cannot encode if it has less of the stack left."""

_DOTTED_KEY = re.compile(
    r"""(?<![\w-])(?:(?:[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+){32}"""
)
"""More parts than a key of any document has.  The parser's memory grows with
the square of their number."""

_HOST = re.compile(r"[0-9A-Za-z._:%\[\]-]{1,255}")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")

DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
"""What the decoders raise for input that they cannot decode."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The input cannot be decoded."""

    detail: str


def decode_json(data: bytes, expected: type[T]) -> T | Malformed:
    """Return the value of a JSON document, converted to a type."""
    try:
        value = msgspec.json.decode(data, type=expected)
    except DECODE_ERRORS as error:
        return Malformed(str(error))
    # Only a document without a type of its own keeps values of any depth.
    may_be_deep = data.count(b"[") + data.count(b"{") > MAX_NESTING
    if may_be_deep and isinstance(value, dict) and _is_nested_deeply(value):
        return Malformed(f"more than {MAX_NESTING} levels")
    return value


def _is_nested_deeply(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_NESTING):
        level = [
            child
            for node in level
            for child in (node.values() if isinstance(node, dict) else node)
            if type(child) is dict or type(child) is list
        ]
        if not level:
            return False
    return True


def decode_toml(text: str) -> dict[str, Any] | Malformed:
    """Return the tables of a TOML document."""
    if _DOTTED_KEY.search(text) is not None:
        return Malformed("a key has too many parts")
    try:
        return tomllib.loads(text)
    except DECODE_ERRORS as error:
        return Malformed(str(error))


def has_usable_numbers(document: Any) -> bool:
    """Return whether all numbers in a document are finite and not too large.

    Comparisons let NaN pass, and it makes time-outs undefined.
    """
    values: list[Any] = [document]
    while values:
        match values.pop():
            case dict() as table:
                values.extend(table.values())
            case list() as items:
                values.extend(items)
            case int() | float() as number if not abs(number) <= MAX_WHOLE_NUMBER:
                return False
            case _:
                pass
    return True


def is_id(text: str) -> bool:
    """Return whether a text from outside can be sent and stored as an id.

    Control characters cannot be sent in a header, and the lone surrogates
    that stand for bytes which are not UTF-8 cannot be encoded.
    """
    return 0 < len(text) <= MAX_ID_LENGTH and text.isprintable()


def is_header(name: str, value: str) -> bool:
    """Return whether a header can be sent."""
    printable = value.replace("\t", " ").isprintable()
    return printable and _HEADER_NAME.fullmatch(name) is not None


def is_path(text: str) -> bool:
    """Return whether a path, perhaps with a query, can be sent as it is."""
    return _PATH.fullmatch(text) is not None


def encodable(text: str) -> str:
    """Return a text with question marks for what cannot be encoded."""
    return text.encode("utf-8", "replace").decode()


def bytes_of(header: str) -> bytes:
    """Return the bytes of a header or a path as they were received."""
    return header.encode("utf-8", "surrogateescape")


def parse_count(text: str) -> int | None:
    """Return a decimal number, or None.

    ``int`` alone accepts signs, underscores, spaces and digits of all
    scripts, and fails on thousands of digits.
    """
    if len(text) > _MAX_COUNT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return number if number <= MAX_WHOLE_NUMBER else None


def parse_decimal(text: str) -> float | None:
    """Return a finite number with or without a fraction, or None."""
    if len(text) > MAX_ID_LENGTH or not text.isascii() or "_" in text:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def split_address(text: str) -> tuple[str, int] | None:
    """Return host and port of an address, or None if it is not one.

    Port 0, which stands for any free port, is accepted.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_count(port_text)
    if port is None or port > MAX_PORT or _HOST.fullmatch(host) is None:
        return None
    return host, port


def is_address(text: str) -> bool:
    """Return whether a text is ``host:port`` to which one can connect."""
    address = split_address(text)
    return address is not None and address[1] > 0
