"""Tests of decoding the operator's configuration document."""

import copy
import json
import unittest
from collections.abc import Callable
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import Region
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.serving import RouteKind, ServingConfig
from goldcrestyard.platform import documents
from goldcrestyard.policy.configuration_review import errors, undecodable

REGIONS = frozenset({Region("north"), Region("south")})
DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "h.example",
            "path_prefix": "/q/",
            "type": "idempotent",
            "timeout_ms": 1200,
            "slo_ms": 242,
            "priority": 2,
            "split": [
                {"service": "engines", "weight": 90},
                {"service": "plain", "weight": 10},
            ],
            "attempts": 2,
            "public": True,
        },
        {
            "name": "r-2",
            "host": "h.example",
            "path_prefix": "/jobs/",
            "type": "rollout",
            "timeout_ms": 10000,
            "service": "engines",
            "attempts": 3,
            "due_ms": 7500,
            "item_ttl_s": 40.5,
            "single_version": True,
            "home_regions": ["north", "south"],
        },
    ],
    "services": [
        {
            "name": "engines",
            "health_path": "/healthz",
            "engine": {
                "slots": 8,
                "models": [{"name": "m1"}, {"name": "m2"}],
                "kv_cap_tokens": 32_921,
                "stride": 16,
            },
            "cold_s": 8,
            "cold_per_s": 12,
            "autoscale": {
                "min": 1,
                "max": 3,
                "boot_s": 4.0,
                "spot_price": 0.2,
                "zone_prices": {"a": 0.85, "b": 1.2},
            },
        },
        {"name": "plain", "health_path": "/healthz"},
    ],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "home_regions": ["south"] * 3,
        }
    ],
    "field_of_a_later_release": {"x": 1},
}


def decode(document: dict[str, Any]) -> ServingConfig | Refusal:
    return documents.decode(json.dumps(document).encode(), REGIONS)


def edit(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    document = copy.deepcopy(DOCUMENT)
    change(document)
    return document


INVALID: list[tuple[str, Callable[[dict[str, Any]], object]]] = [
    ("unknown_service", lambda d: d["routes"][1].update(service="nobody")),
    ("same_place", lambda d: d["routes"][1].update(path_prefix="/q/")),
    ("no_weight", lambda d: [s.update(weight=0) for s in d["routes"][0]["split"]]),
    ("no_timeout", lambda d: d["routes"][0].update(timeout_ms=0)),
    ("shared_key", lambda d: d["tenants"].append({"name": "u", "api_keys": ["k1"]})),
    ("no_service", lambda d: d["routes"][1].pop("service")),
    ("unknown_type", lambda d: d["routes"][0].update(type="magic")),
    ("wrong_type", lambda d: d.update(version="seven")),
    ("no_routes", lambda d: d.pop("routes")),
    ("route_without_host", lambda d: d["routes"][0].pop("host")),
    ("huge_version", lambda d: d.update(version=10**400)),
    ("huge_priority", lambda d: d["routes"][0].update(priority=10**400)),
    ("huge_attempts", lambda d: d["routes"][0].update(attempts=10**400)),
    ("huge_slots", lambda d: d["services"][0]["engine"].update(slots=10**400)),
    ("negative_cold_rate", lambda d: d["services"][0].update(cold_per_s=-1)),
    ("huge_bound", lambda d: d["services"][0]["autoscale"].update(max=10**400)),
    ("organisation_with_line_break", lambda d: d["tenants"][0].update(name="a\nb")),
    ("home_of_no_region", lambda d: d["routes"][0].update(home_regions=["east"])),
    (
        "one_home_of_no_region",
        lambda d: d["tenants"][0].update(home_regions=["north", "east"]),
    ),
    ("home_that_is_no_list", lambda d: d["routes"][0].update(home_regions="north")),
    ("home_that_is_no_name", lambda d: d["routes"][0].update(home_regions=[["north"]])),
    ("home_that_is_null", lambda d: d["tenants"][0].update(home_regions=None)),
    # The parser of heads fails on these, on each connection.
    ("huge_header_limit", lambda d: d["limits"].update(max_header_bytes=2**64)),
    ("negative_header_limit", lambda d: d["limits"].update(max_header_bytes=-1)),
    # Random choices fail on a total that is not finite, on each request.
    (
        "weights_beyond_floats",
        lambda d: [s.update(weight=1e308) for s in d["routes"][0]["split"]],
    ),
]


class DecodeTests(unittest.TestCase):
    """Guards against misreading a document, and accepting an invalid one."""

    def test_fields_are_decoded(self) -> None:
        config = decode(DOCUMENT)
        assert isinstance(config, ServingConfig)
        cold = [(s.cold_seconds, s.cold_per_second) for s in config.services]
        self.assertEqual((8.0, 12.0), cold[0])
        self.assertEqual({(0.0, 0.0)}, set(cold[1:]))
        calls, jobs = config.routes
        self.assertEqual(config.version, 7)
        self.assertEqual((calls.timeout_seconds, calls.objective_seconds), (1.2, 0.242))
        self.assertEqual([s.weight for s in calls.services], [90, 10])
        self.assertTrue(calls.open)
        self.assertIs(jobs.kind, RouteKind.ROLLOUT)
        self.assertEqual((jobs.due_seconds, jobs.item_seconds), (7.5, 40.5))
        self.assertTrue(jobs.single_version)
        engines = config.services[0]
        assert engines.engine is not None
        assert engines.rental is not None
        self.assertEqual(engines.engine.models, ("m1", "m2"))
        self.assertEqual(engines.engine.memory_tokens, 32_921)
        self.assertEqual(engines.engine.tokens_per_event, 16)
        self.assertEqual((engines.rental.least, engines.rental.most), (1, 3))
        self.assertEqual(config.limits.body_bytes, 1000)
        self.assertEqual(config.organisations[0].keys, ("k1", "k2"))
        self.assertEqual(config.organisations[0].residency, ("south",))
        self.assertEqual(calls.residency, ())
        self.assertEqual(jobs.residency, ("north", "south"))

    @parameterized.expand(INVALID)
    def test_invalid(self, _: str, change: Callable[[dict[str, Any]], object]) -> None:
        refusal = decode(edit(change))
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.BAD_REQUEST)
        self.assertNotIn("k1", refusal.detail)

    @parameterized.expand(INVALID)
    def test_review(self, _: str, change: Callable[[dict[str, Any]], object]) -> None:
        """Guards against a check that passes what a control member refuses."""
        read = documents.decode_for_review(json.dumps(edit(change)).encode())
        found = (
            list(errors(read, REGIONS))
            if isinstance(read, ServingConfig)
            else undecodable(read)
        )
        self.assertTrue(found)
        self.assertNotIn("k1", repr(found))

    @parameterized.expand(
        [
            ("cut_short", json.dumps(DOCUMENT).encode()[:-20]),
            ("empty", b""),
            ("not_unicode", b"\xff\xfe"),
            ("a_list", b"[]"),
        ]
    )
    def test_unreadable(self, _: str, body: bytes) -> None:
        self.assertIsInstance(documents.decode(body), Refusal)
        self.assertEqual(len(documents.decode_for_review(body)), 1)

    def test_document_is_read_back_as_it_came(self) -> None:
        body = json.dumps(DOCUMENT, indent=3).encode()
        self.assertEqual(documents.unpack(documents.pack(body)), body)
