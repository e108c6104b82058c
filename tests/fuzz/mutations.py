"""Strategies that change valid input in one place, or a few."""

import json
from collections.abc import Callable
from typing import Any

import cbor2
from hypothesis import strategies as st

Encode = Callable[[Any], bytes]

DEEP_VALUES = [
    b"[" * 50_000 + b"]" * 50_000,
    b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
    b"[" * 900 + b"]" * 900,
    b"[" * 50_000,
]
"""Values that no library writes, since encoders are bounded as well."""

_DEEP: Any = None
for _ in range(400):
    _DEEP = [_DEEP]

REPLACEMENTS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([-1, 0, 2**31, 2**53, 2**63, 2**64, -(2**63), 10**30, 10**400]),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["", "\x00", "x" * 70_000, "a\r\nb: c", "a b", "9" * 5000]),
    st.sampled_from(["\ud800", "\udcff", "\u00b2", "\u0661", "1_0", "+1", "nan"]),
    st.sampled_from(["127.0.0.1:99999", "::1:80", "a:²", "127.0.0.1:0", ":1"]),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=3),
    st.just(_DEEP),
)


@st.composite
def changed_tree(draw: st.DrawFn, tree: Any) -> Any:
    """Return a tree of lists and dictionaries with one node changed."""
    if isinstance(tree, dict) and tree and draw(st.integers(0, 4)):
        key = draw(st.sampled_from(sorted(tree, key=str)))
        match draw(st.sampled_from(["inside", "inside", "inside", "drop", "rename"])):
            case "inside":
                return {**tree, key: draw(changed_tree(tree[key]))}
            case "drop":
                return {name: value for name, value in tree.items() if name != key}
            case _:
                return {**tree, draw(st.text(max_size=5)): tree[key]}
    if isinstance(tree, list | tuple) and tree and draw(st.integers(0, 4)):
        position = draw(st.integers(0, len(tree) - 1))
        items = list(tree)
        match draw(st.sampled_from(["inside", "inside", "inside", "drop", "repeat"])):
            case "inside":
                items[position] = draw(changed_tree(items[position]))
            case "drop":
                del items[position]
            case _:
                items *= 2
        return items
    return draw(REPLACEMENTS)


@st.composite
def changed_bytes(draw: st.DrawFn, data: bytes) -> bytes:
    """Return data that is cut, repeated, overwritten or added to."""
    first = draw(st.integers(0, len(data)))
    last = draw(st.integers(first, len(data)))
    match draw(st.sampled_from(["cut", "drop", "repeat", "overwrite", "insert"])):
        case "cut":
            return data[:first]
        case "drop":
            return data[:first] + data[last:]
        case "repeat":
            return data[:last] + data[first:]
        case "overwrite":
            new = draw(st.binary(min_size=last - first, max_size=last - first))
            return data[:first] + new + data[last:]
        case _:
            return data[:first] + draw(st.binary(max_size=40)) + data[first:]


def _encode_json(tree: Any) -> bytes:
    return json.dumps(tree).encode("utf-8", "surrogatepass")


@st.composite
def _with_odd_value(draw: st.DrawFn, data: bytes) -> bytes:
    """Return a JSON document with a deep value or a long number in it."""
    starts = [at + 1 for at, byte in enumerate(data) if byte in b"[:,{"]
    start = draw(st.sampled_from(starts))
    name = b'"other":' if data[start - 1 : start] in b"{," else b""
    value = draw(st.sampled_from([*DEEP_VALUES, b"9" * 400, b"9" * 5000, b"1e999"]))
    return data[:start] + name + value + b"," + data[start:]


def changed_json(tree: Any) -> st.SearchStrategy[bytes]:
    """Return changed documents, as JSON."""
    data = _encode_json(tree)
    return st.one_of(
        changed_tree(tree).map(_encode_json), changed_bytes(data), _with_odd_value(data)
    )


def _encode_cbor(tree: Any) -> bytes:
    try:
        return cbor2.dumps(tree)
    except UnicodeEncodeError:
        return cbor2.dumps(repr(tree))


def changed_cbor(tree: Any) -> st.SearchStrategy[bytes]:
    """Return changed documents, as CBOR."""
    data = cbor2.dumps(tree)
    deep = st.sampled_from([b"\x81" * 50_000, b"\xd8\x1c\x81\xd8\x1d\x00"])
    return st.one_of(
        changed_tree(tree).map(_encode_cbor),
        changed_bytes(data),
        st.tuples(st.integers(0, len(data)), deep).map(
            lambda change: data[: change[0]] + change[1] + data[change[0] :]
        ),
    )


def changed_text(text: str) -> st.SearchStrategy[bytes]:
    """Return changed texts, as the HTTP library gets them in headers."""
    odd = st.sampled_from(["", "²", "\u0661", "9" * 5000, "1_0", "+", "-", "\n", " "])
    return st.one_of(
        changed_bytes(text.encode()),
        st.tuples(odd, st.just(text), odd).map(lambda parts: "".join(parts).encode()),
        st.text(max_size=20).map(str.encode),
        st.integers().map(lambda number: str(number).encode()),
    )
