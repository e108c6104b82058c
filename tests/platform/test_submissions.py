"""Tests of decoding submitted jobs and encoding their results."""

import base64
import json
import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import ItemId, OrganisationId, WeightVersion
from goldcrestyard.core.jobs import ItemOutcome, ItemResult, Job
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.fleet.jobs.commands import ResultsPage
from goldcrestyard.platform import submissions

ITEM: dict[str, Any] = {
    "id": "i1",
    "path": "/jobs/3/91",
    "headers": {"X-Goldcrestyard-Model": "m2", "X-Other": "kept"},
    "body": base64.b64encode(b"prompt").decode(),
    "tokens": 900,
    "group": "g1",
    "scorer": {
        "id": "r1",
        "host": "h.example",
        "path": "/score/1",
        "body": base64.b64encode(b"rubric").decode(),
    },
}
LOT: dict[str, Any] = {
    "step": 7,
    "model": "m1",
    "least_required": 6,
    "group_count": 1,
    "requests": [ITEM, {"id": "i2", "path": "/jobs/4"}],
}


SCORER = ITEM["scorer"]
UNSENDABLE: list[tuple[str, dict[str, Any]]] = [
    ("id_with_line_break", {"id": "a\nb"}),
    ("empty_id", {"id": ""}),
    ("endless_id", {"id": "x" * 1000}),
    ("path_with_line_break", {"path": "/a\r\nX: y"}),
    ("path_with_space", {"path": "/a b"}),
    ("path_without_slash", {"path": "a"}),
    ("header_with_line_break", {"headers": {"X": "a\nb"}}),
    ("header_name_with_colon", {"headers": {"X: y": "a"}}),
    ("header_without_name", {"headers": {"": "a"}}),
    ("scorer_id_with_line_break", {"scorer": {**SCORER, "id": "a\nb"}}),
    ("scorer_path_with_line_break", {"scorer": {**SCORER, "path": "/a\nb"}}),
    ("scorer_host_with_line_break", {"scorer": {**SCORER, "host": "a\nb"}}),
]


def decode(document: object, job: str = "j") -> Job | Refusal:
    body = json.dumps(document).encode()
    return submissions.decode(job, OrganisationId("o"), "h.example", "/jobs/", body)


class DecodeTests(unittest.TestCase):
    """Guards against running an item differently from its submission."""

    def test_fields_are_decoded(self) -> None:
        job = decode(LOT)
        assert isinstance(job, Job)
        self.assertEqual((job.step, job.oldest_version, job.wanted_groups), (7, 6, 1))
        first, second = job.items
        self.assertEqual(
            (first.body, first.model, first.group), (b"prompt", "m2", "g1")
        )
        self.assertIn(("X-Other", "kept"), first.headers)
        assert first.reward is not None
        self.assertEqual((first.reward.request, first.reward.body), ("r1", b"rubric"))
        self.assertEqual((second.model, second.reward), ("m1", None))

    @parameterized.expand(
        [
            ("stated", "540,400", 540),
            ("not_stated", None, 0),
            ("no_number", "many", 0),
            ("endless", "9" * 40, 0),
        ]
    )
    def test_tokens_of_the_prompt(
        self, _: str, value: str | None, expected: int
    ) -> None:
        """An engine's memory is overbooked if prompts count as too small."""
        headers = {} if value is None else {"X-Goldcrestyard-Token-Count": value}
        job = decode({**LOT, "requests": [{**ITEM, "headers": headers}]})
        assert isinstance(job, Job)
        self.assertEqual(job.items[0].prompt_tokens, expected)

    @parameterized.expand(
        [
            ("not_an_object", [], "j"),
            ("no_items", {"model": "m"}, "j"),
            ("item_without_id", {"requests": [{"path": "/x"}]}, "j"),
            ("same_id_twice", {"requests": [ITEM, ITEM]}, "j"),
            ("body_not_base64", {"requests": [{**ITEM, "body": "%%"}]}, "j"),
            ("body_not_ascii", {"requests": [{**ITEM, "body": "\u1000qqqq"}]}, "j"),
            ("version_of_another_type", {**LOT, "least_required": "6"}, "j"),
            ("job_without_id", LOT, ""),
            ("job_id_that_is_not_text", LOT, "j\udcff"),
            ("endless_job_id", LOT, "j" * 1000),
            *(
                (f"item_{name}", {**LOT, "requests": [{**ITEM, **change}]}, "j")
                for name, change in UNSENDABLE
            ),
            *(
                (f"huge_{name}", {**LOT, name: 10**400}, "j")
                for name in ("step", "least_required", "group_count")
            ),
        ]
    )
    def test_refused(self, _: str, document: object, job: str) -> None:
        self.assertIsInstance(decode(document, job), Refusal)

    def test_host_that_is_not_text(self) -> None:
        body = json.dumps(LOT).encode()
        job = submissions.decode("j", None, "h.example:\udcff", "/jobs/", body)
        self.assertIsInstance(job, Refusal)

    def test_headers_that_frame_a_request_are_left_out(self) -> None:
        framing = {"Content-Length": "5", "transfer-encoding": "chunked", "X": "y"}
        job = decode({**LOT, "requests": [{**ITEM, "headers": framing}]})
        assert isinstance(job, Job)
        self.assertEqual(job.items[0].headers, (("X", "y"),))


class EncodeTests(unittest.TestCase):
    """Guards against changes of the result format that trainers read."""

    def test_page(self) -> None:
        result = ItemResult(
            ItemId("i1"),
            ItemOutcome.COMPLETE,
            b"one\ntwo",
            (WeightVersion(6), WeightVersion(7)),
            "stamp",
        )
        failed = ItemResult(ItemId("i2"), ItemOutcome.ERRORED)
        page = json.loads(submissions.encode(ResultsPage(40, (result, failed), 14)))
        self.assertEqual((page["total"], page["next"]), (40, 14))
        self.assertEqual(
            page["results"][0],
            {
                "id": "i1",
                "state": "complete",
                "text": "one\ntwo",
                "versions": [6, 7],
                "score": "stamp",
            },
        )
        self.assertEqual(page["results"][1]["state"], "errored")
