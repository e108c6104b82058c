"""Tests of decoding documents that come from outside the process.

They guard against a document that ends the task which decodes it, because the
decoder raises an error that its caller does not expect.
"""

import re
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from parameterized import parameterized

import goldcrestyard
from goldcrestyard.core.attempts import Answered
from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.platform import documents, heartbeats, submissions
from goldcrestyard.plugins.engines.event_stream import parse_event
from goldcrestyard.plugins.engines.token_counts import token_count_of_answer
from goldcrestyard.policy.orders import _highest_fence

PACKAGE = Path(goldcrestyard.__file__).parent
DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH

STORED_DOCUMENTS = {
    "plugins/rentals/orders.py",
    "plugins/trainers/manifests.py",
    "storage/vote_file.py",
}
"""Modules that decode only documents that this product has stored."""


@dataclass(frozen=True)
class _Record:
    count: int = 0
    share: float = 0.0
    name: str = ""


class JsonTests(unittest.TestCase):
    """Each document that cannot be decoded ends in ``Malformed``."""

    @parameterized.expand(
        [
            ("empty", b""),
            ("cut", b'{"count":'),
            ("another_type", b'{"count":"1"}'),
            ("nested_deeply_in_a_field", b'{"count":' + DEEP + b"}"),
            ("nested_deeply_in_an_unknown_field", b'{"other":' + DEEP + b"}"),
            ("nested_deeply_in_objects", b'{"other":' * DEPTH + b"1" + b"}" * DEPTH),
            ("number_of_5000_digits", b'{"count":' + b"9" * 5000 + b"}"),
            ("number_beyond_floats", b'{"share":1e999}'),
            ("lone_surrogate", rb'{"name":"\ud800."}'),
            ("surrogate_in_utf_8", b'{"name":"\xed\xa0\x80"}'),
            ("not_utf_8", b'{"name":"\xff"}'),
            ("not_a_number", b'{"share":NaN}'),
            ("utf_16", '{"count":1}'.encode("utf-16")),
        ]
    )
    def test_malformed(self, _: str, data: bytes) -> None:
        self.assertIsInstance(decode_json(data, _Record), Malformed)

    def test_value(self) -> None:
        self.assertEqual(decode_json(b'{"count":4}', _Record), _Record(4))

    def test_all_documents_from_outside_are_decoded_here(self) -> None:
        callers = {
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if re.search(r"json\.decode\(", path.read_text(encoding="utf-8"))
        }
        self.assertEqual(callers, {"core/decoding.py", *STORED_DOCUMENTS})


DECODERS: list[tuple[str, Callable[[bytes], Any]]] = [
    ("heartbeat", lambda body: heartbeats.decode("i-1", body)),
    ("configuration", documents.decode),
    ("job", lambda body: submissions.decode("j", None, "h", "/p", body)),
    ("event", parse_event),
    ("token_count", lambda body: token_count_of_answer(Answered(200, "", body))),
    ("fence", _highest_fence),
]


class NestedDocumentTests(unittest.TestCase):
    """Deep nesting is an error of the document in every decoder."""

    @parameterized.expand(DECODERS)
    def test_deep_nesting(self, _: str, decode: Callable[[bytes], Any]) -> None:
        for body in (b'{"other":' + DEEP + b"}", DEEP):
            decode(body)
