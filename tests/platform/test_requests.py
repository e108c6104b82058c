"""Tests of decoding numbers in callers' headers and queries.

They guard against a number on which the decoder raises, so that the caller
gets an internal error, or that is read as another one.
"""

import unittest
from types import SimpleNamespace
from typing import Any

from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict
from parameterized import parameterized

from goldcrestyard.core.refusals import Refusal
from goldcrestyard.fleet.gateway.admission import CallerRequest
from goldcrestyard.platform.callers.jobs import JobEndpoints, _wait_seconds
from goldcrestyard.platform.callers.requests import decode, seconds_left, take_up_of
from goldcrestyard.platform.names import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    RESULTS_PATH,
    WAIT_HEADER,
)
from goldcrestyard.policy.stream_origins import TakeUp

ODD = [
    ("superscript", "\u00b2"),
    ("digits_of_another_script", "\u0661"),
    ("thousands_of_digits", "9" * 5000),
    ("negative", "-1"),
    ("no_number", "nan"),
]


class _OpenAdmission:
    """Takes all requests as those of one organisation."""

    def identify(self, key: str | None) -> Refusal | None:
        return None


class HeaderTests(unittest.TestCase):
    """Odd numbers in headers are ignored."""

    @parameterized.expand([*ODD, ("too_large", "9" * 400)])
    def test_ignored(self, _: str, text: str) -> None:
        headers = {WAIT_HEADER: text, DEADLINE_HEADER: text}
        request = make_mocked_request("GET", "/", headers)
        self.assertEqual(_wait_seconds(request), 0.0)
        self.assertIsNone(seconds_left(request))

    def test_read(self) -> None:
        headers = {WAIT_HEADER: "500", DEADLINE_HEADER: "1500.5"}
        request = make_mocked_request("GET", "/", headers)
        self.assertEqual(_wait_seconds(request), 0.5)
        self.assertEqual(seconds_left(request), 1.5005)


class RequestIdTests(unittest.TestCase):
    """Guards against an id that makes each target's answer look wrong."""

    @parameterized.expand(
        [("ordinary", "9c41", True), ("none", "", True), ("not_text", "9\udcff", False)]
    )
    def test_id(self, _: str, request_id: str, expected: bool) -> None:
        headers = CIMultiDict({REQUEST_ID_HEADER: request_id})
        request: Any = SimpleNamespace(headers=headers, method="GET", raw_path="/")
        self.assertEqual(isinstance(decode(request, b""), CallerRequest), expected)


FIRST, EVENT = ("Resumes", "9c41"), ("Last-Event-Id", "5")


class TakeUpTests(unittest.TestCase):
    """Guards against a take-up whose doubtful headers name a stream."""

    @parameterized.expand(
        [
            ("new_request", [], None),
            ("take_up", [FIRST, EVENT], ("9c41", 5)),
            ("no_attempt", [EVENT], (None, 5)),
            ("empty_attempt", [("Resumes", ""), EVENT], (None, 5)),
            ("attempt_twice", [FIRST, FIRST, EVENT], (None, 5)),
            ("no_event", [FIRST], ("9c41", None)),
            ("event_twice", [FIRST, EVENT, EVENT], ("9c41", None)),
            ("no_number", [FIRST, ("Last-Event-Id", "5x")], ("9c41", None)),
            ("negative", [FIRST, ("Last-Event-Id", "-5")], ("9c41", None)),
            ("huge", [FIRST, ("Last-Event-Id", "9" * 400)], ("9c41", None)),
        ]
    )
    def test_decoded(self, _: str, headers: Any, expected: Any) -> None:
        request: Any = SimpleNamespace(headers=CIMultiDict(headers))
        take_up = TakeUp(*expected) if expected is not None else None
        self.assertEqual(take_up_of(request), take_up)


class QueryTests(unittest.IsolatedAsyncioTestCase):
    """An odd position of a page is refused."""

    @parameterized.expand([*ODD[:4], ("too_large", "9" * 400), ("empty", "")])
    async def test_position(self, _: str, text: str) -> None:
        admission: Any = _OpenAdmission()
        jobs = JobEndpoints(admission, None)  # type: ignore[arg-type]
        request = make_mocked_request("GET", f"{RESULTS_PATH}j?after={text}")
        self.assertEqual((await jobs.results(request)).status, 400)
