"""Strategies that change valid input in one place, or a few."""

import json
from collections.abc import Callable
from typing import Any

import cbor2
from hypothesis import strategies as st

Encode = Callable[[Any], bytes]

_DEEP: Any = None
for _ in range(400):
    _DEEP = [_DEEP]

REPLACEMENTS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([-1, 0, 2**31, 2**63, 2**64, -(2**63), 10**30]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
    st.sampled_from(["", "\x00", "x" * 70_000, "127.0.0.1:99999", "::1:80", "a:²"]),
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


def changed_json(tree: Any) -> st.SearchStrategy[bytes]:
    """Return changed documents, as JSON."""
    return st.one_of(
        changed_tree(tree).map(_encode_json), changed_bytes(_encode_json(tree))
    )


def changed_cbor(tree: Any) -> st.SearchStrategy[bytes]:
    """Return changed documents, as CBOR."""
    return st.one_of(
        changed_tree(tree).map(cbor2.dumps), changed_bytes(cbor2.dumps(tree))
    )
