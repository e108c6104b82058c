"""Tests of decoding the targets' heartbeats."""

import json
import unittest
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.platform import heartbeats
from goldcrestyard.policy.heartbeats import Heartbeat

BEAT: dict[str, Any] = {
    "service": "engines",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 0,
    "phase": "mixed",
    "models": [{"name": "m", "version": 4, "adapters": []}],
    "seq": 12,
    "born": 1700000000000,
    "spot": True,
    "leaves_ms": 2500,
}


class DecodeTests(unittest.TestCase):
    """Guards against using a target whose heartbeat is malformed."""

    def test_fields_are_decoded(self) -> None:
        beat = heartbeats.decode("i-1", json.dumps(BEAT).encode())
        assert isinstance(beat, Heartbeat)
        self.assertEqual(beat.id, "i-1")
        self.assertEqual((beat.started_at_ms, beat.sequence), (1700000000000, 12))
        self.assertEqual(beat.versions_by_model, {"m": 4})
        self.assertIs(beat.state, TargetState.DRAINING)
        self.assertIs(beat.rental, Rental.RECLAIMABLE)
        self.assertEqual(beat.leaves_in_seconds, 2.5)

    @parameterized.expand(
        [
            ("no_service", {"service": None}),
            ("unknown_state", {"state": "resting"}),
            ("address_without_port", {"addr": "10.0.0.9"}),
            ("port_out_of_range", {"addr": "10.0.0.9:99999"}),
            ("port_of_other_digits", {"addr": "10.0.0.9:8\u0660"}),
            ("no_address", {"addr": "a b:8080"}),
            ("absurd_slots", {"slots": 10**9}),
            ("slots_of_another_type", {"slots": "eight"}),
            ("no_number", {"seq": None}),
            ("models_of_another_type", {"models": {"m": 4}}),
        ]
    )
    def test_refused(self, _: str, change: dict[str, Any]) -> None:
        body = json.dumps({**BEAT, **change}).encode()
        self.assertIsInstance(heartbeats.decode("i-1", body), Refusal)

    @parameterized.expand([("empty", b""), ("cut", b'{"service'), ("binary", b"\xff")])
    def test_unreadable(self, _: str, body: bytes) -> None:
        self.assertIsInstance(heartbeats.decode("i-1", body), Refusal)
