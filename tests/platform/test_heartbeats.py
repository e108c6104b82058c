"""Tests of decoding the targets' heartbeats."""

import json
import unittest
from typing import Any

from aiohttp.test_utils import RawTestServer, TestClient
from parameterized import parameterized
from yarl import URL

from goldcrestyard.core.ids import TargetId
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.slices import VersionsSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.platform import heartbeats
from goldcrestyard.platform.control.front import (
    MAX_HEARTBEAT_BYTES,
    ControlFront,
)
from goldcrestyard.platform.names import HEARTBEAT_PATH
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.heartbeats import Heartbeat
from tests.fakes.member import FakeMember, machine_of
from tests.fakes.quiet_logs import quiet_logs

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
        self.assertEqual(beat.software, "v1")
        self.assertIs(beat.state, TargetState.DRAINING)
        self.assertIs(beat.rental, Rental.RECLAIMABLE)
        self.assertEqual(beat.leaves_in_seconds, 2.5)
        self.assertEqual(beat.cold_seconds_left, 0.0)

    @parameterized.expand(
        [
            ("cold", 1500, 1.5),
            ("warm", 0, 0.0),
            ("none", None, 0.0),
            ("negative", -3, 0.0),
            ("longest", 1e300, heartbeats.MAX_COLD_SECONDS),
        ]
    )
    def test_cold_time(self, _: str, sent: float | None, expected: float) -> None:
        """Guards against a target that one odd heartbeat keeps cold."""
        body = json.dumps({**BEAT, "cold_left_ms": sent}).encode()
        beat = heartbeats.decode("i-1", body)
        assert isinstance(beat, Heartbeat)
        self.assertEqual(expected, beat.cold_seconds_left)

    @parameterized.expand(
        [
            ("no_service", {"service": None}),
            ("software_of_another_type", {"version": 4}),
            ("no_software", {"version": ""}),
            ("unknown_state", {"state": "resting"}),
            ("address_without_port", {"addr": "10.0.0.9"}),
            ("port_out_of_range", {"addr": "10.0.0.9:99999"}),
            ("port_of_other_digits", {"addr": "10.0.0.9:8\u0660"}),
            ("no_address", {"addr": "a b:8080"}),
            ("absurd_slots", {"slots": 10**9}),
            ("slots_of_another_type", {"slots": "eight"}),
            ("no_number", {"seq": None}),
            ("models_of_another_type", {"models": {"m": 4}}),
            *((f"huge_{name}", {name: 10**400}) for name in ("seq", "born", "slots")),
            ("huge_version", {"models": [{"name": "m", "version": 10**400}]}),
            ("huge_leaves", {"leaves_ms": 10**400}),
            ("inexact_born", {"born": 2**53}),
            ("negative_born", {"born": -1}),
            ("negative_seq", {"seq": -1}),
        ]
    )
    def test_refused(self, _: str, change: dict[str, Any]) -> None:
        body = json.dumps({**BEAT, **change}).encode()
        self.assertIsInstance(heartbeats.decode("i-1", body), Refusal)

    @parameterized.expand(
        [
            ("line_break", "a\nb"),
            ("nul", "a\x00b"),
            ("byte_that_is_not_text", "a\udcffb"),
            ("empty", ""),
            ("endless", "x" * 1000),
        ]
    )
    def test_names_that_cannot_be_sent(self, _: str, name: str) -> None:
        body = json.dumps(BEAT).encode()
        self.assertIsInstance(heartbeats.decode(name, body), Refusal)
        for field in ("service", "zone"):
            body = json.dumps({**BEAT, field: name}).encode()
            self.assertIsInstance(heartbeats.decode("i-1", body), Refusal)

    @parameterized.expand([("empty", b""), ("cut", b'{"service'), ("binary", b"\xff")])
    def test_unreadable(self, _: str, body: bytes) -> None:
        self.assertIsInstance(heartbeats.decode("i-1", body), Refusal)


GOOD = {"seq": 1, "state": "ready", "leaves_ms": None}

ODD_BODIES = [
    ("nested_deeply", b'{"other":' + b"[" * 100_000 + b"]" * 100_000 + b"}"),
    ("binary", bytes(range(256))),
    # A later start at the same address would end the other target there.
    ("number_too_large", {**BEAT, **GOOD, "born": 10**400}),
    ("port_out_of_range", {**BEAT, **GOOD, "addr": "10.0.0.9:70000"}),
    ("id_with_line_break", {**BEAT, **GOOD}, "i%0Aodd"),
    ("endless_service", {**BEAT, **GOOD, "service": "x" * 1000}),
]


class ControlFrontTests(unittest.IsolatedAsyncioTestCase):
    """Guards against an odd heartbeat that ends or stops its receiver."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        machine = machine_of(TargetsSlice, ServingSlice, VersionsSlice)
        self.targets = machine.get(TargetsSlice)
        member: Any = FakeMember(machine, Clock())
        self.tracker = TargetTracker(member, {}, 1.0, Clock())
        front = ControlFront(member, None, self.tracker, None, "127.0.0.1:1")  # type: ignore[arg-type]
        self.client = TestClient(RawTestServer(front.handle))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def _put(self, target_id: str, body: bytes | dict[str, Any]) -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        path = URL(f"{HEARTBEAT_PATH}{target_id}", encoded=True)
        async with self.client.put(path, data=data) as response:
            return response.status

    async def test_endless_heartbeat(self) -> None:
        """Guards against the cost of one heartbeat for the leader."""
        body = json.dumps(BEAT).encode() + b" " * MAX_HEARTBEAT_BYTES
        self.assertEqual(await self._put("i-1", body), 413)

    @parameterized.expand(ODD_BODIES)
    async def test_odd_heartbeat_among_good_ones(
        self, _: str, odd: bytes | dict[str, Any], odd_id: str = "i-odd"
    ) -> None:
        self.assertEqual(await self._put("i-1", {**BEAT, **GOOD}), 200)
        self.assertEqual(await self._put(odd_id, odd), 400)
        for seq in (2, 3):
            beat = {**BEAT, **GOOD, "seq": seq, "slots": 8 + seq}
            self.assertEqual(await self._put("i-1", beat), 200)
        other = {**BEAT, **GOOD, "addr": "10.0.0.10:8080"}
        self.assertEqual(await self._put("i-2", other), 200)
        served = {target.id for target in self.targets.serving("engines")}
        self.assertEqual(served, {"i-1", "i-2"})
        known = self.tracker.tracked_by_id
        self.assertEqual(known[TargetId("i-1")].sequence, 3)

    async def test_departed_target_shows_that_it_goes_on(self) -> None:
        """Guards against a live target ended by its former run's departure."""
        await self._put("i-1", {**BEAT, **GOOD})
        async with self.client.delete(f"{HEARTBEAT_PATH}i-1") as response:
            self.assertEqual(response.status, 200)
        for seq in (2, 3):
            self.assertEqual(self.targets.serving("engines"), ())
            body = json.dumps({**BEAT, **GOOD, "seq": seq}).encode()
            async with self.client.put(
                f"{HEARTBEAT_PATH}i-1", data=body, allow_redirects=False
            ) as response:
                self.assertEqual(response.status, 307)
                location = URL(response.headers["Location"])
            self.assertEqual(location.authority, "127.0.0.1:1")
            async with self.client.put(location.relative(), data=body) as response:
                self.assertEqual(response.status, 200)
        served = [target.id for target in self.targets.serving("engines")]
        self.assertEqual(served, ["i-1"])
