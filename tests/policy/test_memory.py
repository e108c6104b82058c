"""Tests of what decoded documents count in the room for bodies."""

import json
import tracemalloc
import unittest
from collections.abc import Callable
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.decoding import decode_json
from goldcrestyard.core.serving import ServingConfig
from goldcrestyard.fleet.jobs.staging import encode_job
from goldcrestyard.platform import documents, submissions
from goldcrestyard.policy.memory import (
    DECODED_SHARE,
    decoded_bytes,
    decoded_config_bytes,
    decoded_job_bytes,
)
from tests.fakes.platform_site import configuration

COUNT = 10_000
ENCODINGS = 4
"""How often the room counts on the bytes of a submitted job."""

HEADERS = {letter: "" for letter in "abcdefghi"}
JOBS_BY_SHAPE: dict[str, Callable[[str], dict[str, Any]]] = {
    "bare": lambda id: {"id": id, "path": "/"},
    "header": lambda id: {"id": id, "path": "/", "headers": {"a": ""}},
    "headers": lambda id: {"id": id, "path": "/", "headers": HEADERS},
    "scorer": lambda id: {
        "id": id,
        "path": "/",
        "scorer": {"id": id, "host": "a", "path": "/"},
    },
}
DOCUMENTS_BY_SHAPE: dict[str, Any] = {
    "numbers": list(range(1000, 1000 + COUNT)),
    "strings": [f"{number:x}" for number in range(COUNT)],
    "arrays": [[] for _ in range(COUNT)],
    "objects": [{} for _ in range(COUNT)],
    "objects_of_one": [{f"{number:x}": 1000} for number in range(COUNT)],
    "keys": {f"{number:x}": [] for number in range(COUNT)},
    "keys_of_numbers": {f"{number:x}": 1000 + number for number in range(COUNT)},
}
ROUTE = configuration()["routes"][0]
CONFIGS_BY_SHAPE: dict[str, Callable[[int], dict[str, Any]]] = {
    "routes": lambda count: {
        "routes": [{**ROUTE, "path_prefix": f"/{n:x}/"} for n in range(count)]
    },
    "keys": lambda count: {
        "tenants": [{"name": "t", "api_keys": [f"{n:x}" for n in range(count)]}]
    },
    "tenants": lambda count: {"tenants": [{"name": f"{n:x}"} for n in range(count)]},
    "services": lambda count: {
        "services": [{"name": f"s{n:x}"} for n in range(count)],
        "routes": [],
    },
}


def peak_of(action: Callable[[], object]) -> int:
    """Return the most memory in bytes that an action takes."""
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class DecodedBytesTests(unittest.TestCase):
    """Guards against documents that take more memory than they count."""

    @parameterized.expand(JOBS_BY_SHAPE.items())
    def test_job(self, _: str, item: Callable[[str], dict[str, Any]]) -> None:
        items = [item(f"{number:x}") for number in range(COUNT)]
        self._check_job({"requests": items})

    def test_job_of_one_item_with_many_headers(self) -> None:
        headers = {f"{number:x}": "" for number in range(COUNT)}
        self._check_job({"requests": [{"id": "a", "path": "/", "headers": headers}]})

    def _check_job(self, document: dict[str, Any]) -> None:
        body = json.dumps(document, separators=(",", ":")).encode()

        def accept() -> None:
            job = submissions.decode("j", None, "h", "/", body)
            assert not isinstance(job, submissions.Refusal), job
            encode_job(job)

        counted = decoded_job_bytes(body) / DECODED_SHARE + ENCODINGS * len(body)
        self.assertLessEqual(peak_of(accept), counted)

    @parameterized.expand(CONFIGS_BY_SHAPE.items())
    def test_config(self, _: str, shape: Callable[[int], dict[str, Any]]) -> None:
        document = {**configuration(), **shape(COUNT)}
        body = json.dumps(document, separators=(",", ":")).encode()
        tracemalloc.start()
        try:
            config = documents.decode(body)
            kept = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        self.assertIsInstance(config, ServingConfig)
        counted = decoded_config_bytes(body, 100 * len(body)) / DECODED_SHARE
        self.assertLessEqual(kept, counted + len(body))
        self.assertEqual(decoded_config_bytes(body, len(body)), len(body) // 2)

    @parameterized.expand(DOCUMENTS_BY_SHAPE.items())
    def test_document(self, _: str, document: object) -> None:
        body = json.dumps({"a": document}, separators=(",", ":")).encode()
        peak = peak_of(lambda: decode_json(body, dict[str, Any]))
        self.assertLessEqual(peak, decoded_bytes(body) / DECODED_SHARE + len(body))
