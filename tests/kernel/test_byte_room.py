"""Tests of the order in which clients get room for bodies."""

import asyncio
import itertools
import random
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.kernel.byte_room import ArrivingBody, ByteRoom
from goldcrestyard.policy.arrivals import GRACE_SECONDS, WINDOW_SECONDS, Arrival
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs

CAPACITY = 1_600_000
CROWD_SIZES = (700_000, 100_000)
ORDINARY_BYTES = 600_000
COMES_AGAIN_SECONDS = 0.3
MAX_ATTEMPTS = 100
SERVED_SECONDS = GRACE_SECONDS + WINDOW_SECONDS + 2 * COMES_AGAIN_SECONDS


@dataclass(frozen=True)
class Crowd:
    """Clients whose bodies never end, each of which comes again."""

    name: str
    clients: int
    addresses: int
    ordinary_holds: int = 0
    """Bytes that the ordinary client holds beside the body it asks for."""


class OrderTests(PausedClockTestCase):
    """Guards against a crowd that takes whatever room becomes free."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                Crowd("one_address", 30, 1),
                Crowd("few_addresses", 30, 5),
                Crowd("many_clients", 60, 1),
                Crowd("ordinary_holds_some", 30, 1, ordinary_holds=20_000),
            )
        ]
    )
    async def test_ordinary_body_finds_room(self, _: str, case: Crowd) -> None:
        quiet_logs(self)
        room = ByteRoom(CAPACITY)
        source = random.Random(55)
        crowd = [
            asyncio.create_task(self._hold(room, number, case, source))
            for number in range(case.clients)
        ]
        try:
            for _attempt in range(3):
                await asyncio.sleep(source.uniform(3.0, 5.0))
                seconds = await self._seconds_until_served(room, case.ordinary_holds)
                self.assertLess(seconds, SERVED_SECONDS)
        finally:
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
        self.assertEqual(room.held, 0)

    async def test_reserved_room_ends_no_slow_body(self) -> None:
        """Guards against slow bodies that are given up while room is free."""
        room = ByteRoom(CAPACITY)
        now = asyncio.get_running_loop().time
        slow, larger, leaving = (room.lease(name) for name in ("a", "b", "c"))
        ended = asyncio.Event()
        slow.add(500_000)
        larger.add(400_000)
        leaving.add(600_000)
        with slow.arriving(ArrivingBody(Arrival(now(), 10**9), ended.set)):
            await asyncio.sleep(GRACE_SECONDS)
            self.assertFalse(room.lease("d").grow(900_000))
            leaving.release()
            self.assertFalse(larger.grow(100_000))
        self.assertFalse(ended.is_set())

    async def _seconds_until_served(self, room: ByteRoom, holds: int) -> float:
        now = asyncio.get_running_loop().time
        began_at = now()
        lease = room.lease("ordinary")
        lease.add(holds)
        for _attempt in range(MAX_ATTEMPTS):
            if lease.grow(ORDINARY_BYTES):
                break
            await asyncio.sleep(COMES_AGAIN_SECONDS)
        lease.release()
        return now() - began_at

    async def _hold(
        self, room: ByteRoom, number: int, case: Crowd, source: random.Random
    ) -> None:
        """Take room for bodies that stop short, one after another."""
        now = asyncio.get_running_loop().time
        for size in itertools.cycle(CROWD_SIZES[number % 2 :: 2]):
            await asyncio.sleep(source.uniform(0.0, 2 * COMES_AGAIN_SECONDS))
            lease = room.lease(f"crowd-{number % case.addresses}")
            if lease.grow(size):
                arrival = Arrival(now(), size)
                arrival.add(now(), size - 1)
                ended = asyncio.Event()
                with lease.arriving(ArrivingBody(arrival, ended.set)):
                    try:
                        await ended.wait()
                    finally:
                        lease.release()
