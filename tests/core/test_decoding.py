"""Tests of decoding documents that come from outside the process.

They guard against a document that ends the task which decodes it, because the
decoder raises an error that its caller does not expect.
"""

import json
import re
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import web
from msgspec import convert
from parameterized import parameterized

import goldcrestyard
from goldcrestyard.cli.profile import ProfileFault, read_profile
from goldcrestyard.core import keys
from goldcrestyard.core.attempts import Answered
from goldcrestyard.core.decoding import (
    Malformed,
    decode_json,
    decode_toml,
    is_address,
    parse_count,
    parse_decimal,
)
from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.core.records import Organisation
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel.settings import Settings, load
from goldcrestyard.platform import documents, heartbeats, submissions
from goldcrestyard.platform.answers import refusal_response
from goldcrestyard.plugins.engines.event_stream import parse_event
from goldcrestyard.plugins.engines.requests import InferenceRequest, parse_request
from goldcrestyard.plugins.engines.token_counts import (
    StreamTokenCounter,
    token_count_of_answer,
)
from goldcrestyard.plugins.listeners.checks import check_addresses
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.settings import ListenerSettings
from goldcrestyard.plugins.operators import declarations
from goldcrestyard.plugins.operators.declarations import DeclarationFaults
from goldcrestyard.plugins.operators.views import PlanBody
from goldcrestyard.plugins.organisations.declarations import declaration_errors
from goldcrestyard.plugins.services.requests import select_headers
from goldcrestyard.plugins.targets.views import Announcement, TargetRequest
from goldcrestyard.plugins.trainers.questions import parse_question
from goldcrestyard.policy.hand_out import parse_version
from goldcrestyard.policy.orders import _highest_fence
from goldcrestyard.policy.weight_sources import retry_after_seconds
from goldcrestyard.wire.client import PeerAddress

PACKAGE = Path(goldcrestyard.__file__).parent
DEPTH = 100_000
DEEP = b"[" * DEPTH + b"]" * DEPTH

STORED_DOCUMENTS = {
    "plugins/rentals/orders.py",
    "plugins/trainers/manifests.py",
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

    @parameterized.expand([("ordinary", 99, True), ("too_deep", 100, False)])
    def test_levels_of_a_document_that_is_passed_on(
        self, _: str, depth: int, expected: bool
    ) -> None:
        """Guards against a document that can be decoded but not encoded."""
        for body in (
            b'{"a":' * depth + b"{}" + b"}" * depth,
            b'{"a":' + b"[" * depth + b"]" * depth + b"}",
        ):
            decoded = decode_json(body, dict[str, Any])
            self.assertEqual(not isinstance(decoded, Malformed), expected)

    def test_all_documents_from_outside_are_decoded_here(self) -> None:
        callers = {
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if re.search(r"json\.decode\(|tomllib\.", path.read_text(encoding="utf-8"))
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


HUGE = 10**400
DIGITS = b"9" * 400


class LargeNumberTests(unittest.TestCase):
    """Numbers on which later arithmetic would fail are refused on arrival."""

    @parameterized.expand(
        [
            ("load", TargetRequest, b'{"incarnation":"1","load":{"%s":%s}}', name)
            for name in ("queue_length", "running_tokens", "running_requests")
        ]
        + [
            (
                "announcement",
                Announcement,
                b'{"id":"t","kind":"engine","address":"10.0.0.9:80","region":"r",'
                b'"data_centre":"d","serves":[],"incarnation":"1","%s":%s}',
                "max_concurrency",
            ),
            ("plan", PlanBody, b'{"declaration":"","%s":%s}', "number"),
        ]
    )
    def test_body(self, _: str, expected: type, body: bytes, name: str) -> None:
        ordinary = body % (name.encode(), b"9")
        self.assertNotIsInstance(decode_json(ordinary, expected), Malformed)
        huge = body % (name.encode(), DIGITS)
        self.assertIsInstance(decode_json(huge, expected), Malformed)

    @parameterized.expand([("huge", HUGE), ("negative", -1), ("one_answer", 2**40)])
    def test_token_counts_of_an_answer(self, _: str, number: int) -> None:
        usage = {"prompt_tokens": 3, "completion_tokens": number}
        body = json.dumps({"usage": usage}).encode()
        self.assertIsNone(token_count_of_answer(Answered(200, "", body)))
        request = parse_request("/v1/completions", {"model": "m", "prompt": "a"})
        assert isinstance(request, InferenceRequest)
        counter = StreamTokenCounter(request)
        counter.add({"usage": usage})
        self.assertEqual(counter.count.generated, 0)

    @parameterized.expand([("max_tokens",), ("n",)])
    def test_inference_request(self, name: str) -> None:
        body = {"model": "m", "prompt": "a", name: HUGE}
        self.assertIsInstance(parse_request("/v1/completions", body), Refusal)

    @parameterized.expand([("max_tokens",), ("attempt",), ("top_k",)])
    def test_question(self, name: str) -> None:
        question = {
            "model": "m",
            "prompts": [{"group": "g", "prompt": "a"}],
            "samples_per_prompt": 1,
            "max_tokens": 1,
        }
        self.assertNotIsInstance(parse_question(question), Refusal)
        self.assertIsInstance(parse_question({**question, name: HUGE}), Refusal)

    def test_declared_limit(self) -> None:
        record = Organisation(OrganisationId("o"), 1.0, HUGE)
        self.assertTrue(list(declaration_errors(record)))

    def test_highest_fence_of_an_answer(self) -> None:
        body = b'{"error":"stale_fencing","highest":[%s,1]}' % DIGITS
        self.assertIsNone(_highest_fence(body))


NOT_TEXT = "a\udcff"
"""A header with a byte that is not UTF-8, as the HTTP library returns it."""


class TextTests(unittest.TestCase):
    """Text that cannot be encoded is refused, replaced or passed as bytes."""

    @parameterized.expand([("platform", refusal_response), ("product", refuse)])
    def test_detail_of_a_refusal(
        self, _: str, respond: Callable[[Refusal], web.Response]
    ) -> None:
        refusal = Refusal(RefusalReason.NOT_FOUND, f"no route for {NOT_TEXT}")
        self.assertEqual(respond(refusal).status, 404)

    def test_secret_of_a_key(self) -> None:
        self.assertNotEqual(keys.hash_secret(NOT_TEXT), keys.hash_secret("a?"))

    def test_headers_of_an_answer(self) -> None:
        headers = [("Content-Type", NOT_TEXT), ("X-A", "b\tc")]
        allowed = frozenset({"content-type", "x-a"})
        self.assertEqual(select_headers(headers, allowed), (("x-a", "b\tc"),))


ADDRESSES = [
    ("ordinary", "10.0.0.9:8080", True),
    ("name", "localhost:1", True),
    ("ipv6", "[::1]:80", True),
    ("largest_port", "10.0.0.9:65535", True),
    ("port_out_of_range", "10.0.0.9:65536", False),
    ("port_zero", "10.0.0.9:0", False),
    ("negative_port", "10.0.0.9:-1", False),
    ("signed_port", "10.0.0.9:+80", False),
    ("superscript_port", "10.0.0.9:\u00b2", False),
    ("port_of_another_script", "10.0.0.9:\u0661", False),
    ("endless_port", "10.0.0.9:" + "9" * 5000, False),
    ("space", "10.0.0.9: 80", False),
    ("line_break", "10.0.0.9:80\n", False),
    ("no_port", "10.0.0.9", False),
    ("empty_port", "10.0.0.9:", False),
    ("no_host", ":80", False),
    ("host_with_space", "a b:80", False),
    ("host_with_nul", "a\x00:80", False),
    ("host_that_is_not_text", "\udcff:80", False),
    ("path", "10.0.0.9/x:80", False),
    ("endless_host", "a" * 1000 + ":80", False),
    ("empty", "", False),
]


class AddressTests(unittest.TestCase):
    """Only addresses to which a connection can be opened are taken."""

    @parameterized.expand(ADDRESSES)
    def test_address(self, _: str, text: str, expected: bool) -> None:
        self.assertEqual(is_address(text), expected)
        if not expected and not text.endswith(":0"):
            with self.assertRaises(ValueError):
                PeerAddress.parse(text)
        listeners = Settings({"listeners": ListenerSettings(text, "10.0.0.1:1")})
        self.assertEqual(not list(check_addresses(listeners)), expected)

    @parameterized.expand(
        [
            ("address", text)
            for name, text, is_valid in ADDRESSES
            if not is_valid and name != "port_zero"
        ]
        + [
            ("id", "a\nb"),
            ("id", ""),
            ("incarnation", "x" * 1000),
            ("data_centre", "a\x00"),
            ("serves", ["m\n"]),
        ]
    )
    def test_announcement(self, field: str, value: object) -> None:
        ordinary = {
            "id": "t",
            "kind": "engine",
            "address": "10.0.0.9:80",
            "region": "r",
            "data_centre": "d",
            "serves": ["m"],
            "incarnation": "1",
        }
        self.assertTrue(convert(ordinary, Announcement).is_valid())
        odd = convert({**ordinary, field: value}, Announcement)
        self.assertFalse(odd.is_valid())


class NumberTests(unittest.TestCase):
    """Only what is written as a number is read as one."""

    @parameterized.expand(
        [
            ("largest", "9007199254740991", 2**53 - 1),
            ("leading_zero", "07", 7),
            ("too_large", "9007199254740992", None),
            ("thousands_of_digits", "9" * 5000, None),
            ("superscript", "\u00b2", None),
            ("digits_of_another_script", "\u0661", None),
            ("sign", "+1", None),
            ("negative", "-1", None),
            ("underscore", "1_0", None),
            ("space", " 1", None),
            ("empty", "", None),
            ("not_text", NOT_TEXT, None),
        ]
    )
    def test_count(self, _: str, text: str, expected: int | None) -> None:
        self.assertEqual(parse_count(text), expected)

    @parameterized.expand(
        [
            ("fraction", "1.5", 1.5),
            ("exponent", "1e3", 1000.0),
            ("negative", "-1", -1.0),
            ("infinite", "inf", None),
            ("beyond_floats", "1e999", None),
            ("no_number", "nan", None),
            ("thousands_of_digits", "9" * 5000, None),
            ("digits_of_another_script", "\u0661", None),
            ("underscore", "1_0", None),
            ("empty", "", None),
        ]
    )
    def test_decimal(self, _: str, text: str, expected: float | None) -> None:
        self.assertEqual(parse_decimal(text), expected)

    @parameterized.expand([("superscript", "\u00b2"), ("digits", "9" * 5000)])
    def test_weight_version_of_a_piece(self, _: str, text: str) -> None:
        self.assertIsNone(parse_version(text))

    @parameterized.expand(
        [
            ("year", "01 Jan 999999999999 00:00:00"),
            ("zone", "1 Jan 2020 00:00:00 +99999999999999"),
        ]
    )
    def test_delay_of_an_impossible_date(self, _: str, header: str) -> None:
        self.assertEqual(retry_after_seconds(header, 0.0, 2.0), 2.0)


ODD_TOML = [
    ("cut", "[a"),
    ("arrays_nested_deeply", "a=" + "[" * 5000 + "]" * 5000),
    ("tables_nested_deeply", "a=" + "{a=" * 5000),
    ("number_of_5000_digits", "a=" + "9" * 5000),
    ("many_parts", "a." * 10_000 + "a=1"),
    ("many_quoted_parts", "['a' . \"b\" . " + "'c' ." * 10_000 + "d]"),
]


ODD_NUMBERS = [
    ("number_of_400_digits", "a=[{b=" + "9" * 400 + "}]"),
    ("not_a_number", "a=nan"),
    ("infinite", "a=[-inf]"),
]


class TomlTests(unittest.TestCase):
    """An odd document is a fault of it, at a bounded cost."""

    @parameterized.expand(ODD_TOML)
    def test_malformed(self, _: str, text: str) -> None:
        self.assertIsInstance(declarations.read(text, ()), DeclarationFaults)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "file.toml"
            path.write_text(text)
            self.assertEqual([p.id for p in load(path, {})[1]], ["settings.E002"])
            profile = read_profile(path, ("127.0.0.1:1",), None)
            assert isinstance(profile, ProfileFault)
            self.assertIn("faulty", profile.message)

    @parameterized.expand(ODD_NUMBERS)
    def test_number_in_settings(self, _: str, text: str) -> None:
        """Guards against a time-out of NaN, which passes all checks."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "file.toml"
            path.write_text(text)
            self.assertEqual([p.id for p in load(path, {})[1]], ["settings.E002"])

    def test_long_texts_are_no_keys(self) -> None:
        text = f'a = "{"10.0.0.1:80, " * 10_000}"\nb = "{"x" * 1_000_000}"'
        self.assertNotIsInstance(decode_toml(text), Malformed)
