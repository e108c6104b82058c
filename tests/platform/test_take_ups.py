"""Tests of streams that callers take up, with the real programs.

They guard against a stream joined from the texts of two software versions,
within one answer, over a caller's tries, or after all fronts and all control
members were killed at once.
"""

import asyncio
import contextlib
import functools
import re
import signal
import unittest
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from parameterized import parameterized

from tests.fakes.platform_site import HOST, KEY, MODEL, Process, Site, configuration
from tests.fakes.platform_targets import StandInTarget

EVENTS = 20
OTHER_KEY = "nu6wsjnbanfqasnmgkcu"
PIECE = re.compile(rb"id: (\d+)\ndata: piece (\d+) by (\w+)\n\n")
MAX_TRIES = 3
"""Tries of a caller that is answered 503."""


def stream_configuration() -> dict[str, Any]:
    """Return a configuration with two routes of resumable streams."""
    document = configuration(version=2)
    for name in ("talk", "other"):
        document["routes"].append(
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "type": "streaming",
                "resumable": True,
                "service": "engines",
                "timeout_ms": 10000,
                "slo_ms": 500,
                "attempts": 3,
            }
        )
    document["tenants"].append({"name": "lis", "api_keys": [OTHER_KEY]})
    return document


@dataclass(frozen=True)
class Refused:
    """Headers of a take-up that names no known stream."""

    name: str
    headers: tuple[tuple[str, str], ...]
    """``{first}`` stands for the attempt that began the stream."""
    key: str = KEY
    path: str = ""
    """Empty for the path of the stream."""


FIRST, EVENT = ("Resumes", "{first}"), ("Last-Event-Id", "5")
REFUSED = [
    Refused("no_such_attempt", (("Resumes", "no-such"), EVENT)),
    Refused("no_attempt", (EVENT,)),
    Refused("empty_attempt", (("Resumes", ""), EVENT)),
    Refused("garbled_attempt", (("Resumes", "\u00e9 ,"), EVENT)),
    Refused("attempt_twice", (FIRST, FIRST, EVENT)),
    Refused("no_event", (FIRST,)),
    Refused("garbled_event", (FIRST, ("Last-Event-Id", "5x"))),
    Refused("event_twice", (FIRST, EVENT, EVENT)),
    Refused("another_tenants", (FIRST, EVENT), OTHER_KEY),
    Refused("another_routes", (FIRST, EVENT), path="/other/1"),
]


@dataclass
class Reader:
    """A caller's stream over its tries, checked event by event."""

    first: str
    path: str
    """A path of its own, since a request under which two engines end is held
    back wherever it comes again."""
    numbers: list[int] = field(default_factory=list)
    versions: set[str] = field(default_factory=set)
    statuses: list[int] = field(default_factory=list)
    retry_after: str | None = None
    whole: bool = False

    def take(self, data: bytes) -> None:
        for number, piece, version in PIECE.findall(data):
            assert number == piece
            self.numbers.append(int(number))
            self.versions.add(version.decode())

    def check(self) -> None:
        """Raise ``AssertionError`` on a stream that is joined or has gaps."""
        assert len(self.versions) <= 1, f"joined from {self.versions}"
        assert self.numbers == list(range(1, len(self.numbers) + 1)), self.numbers


class TakeUpTests(unittest.IsolatedAsyncioTestCase):
    """Guards against streams joined from two software versions."""

    async def start(self, *software: str, fronts: int = 3) -> None:
        """Start a site with an engine of each of the software versions."""
        self.site = Site(fronts=fronts)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(engines=0, services=1)
        for number, version in enumerate(software, 1):
            await self.add(number, version)
        await self.site.put_configuration(stream_configuration())

        await asyncio.gather(*map(self.wait_versions, self.site.fronts))

    async def wait_versions(self, front: Process) -> None:
        """Wait until a front has relayed streams of all software versions."""

        async def all_known() -> bool:
            # Whole streams, since a front prefers targets with short ones.
            reads = (self.read(front) for _ in self.site.engines)
            readers = await asyncio.gather(*reads)
            seen.update(*(reader.versions for reader in readers))
            return seen == {engine.software for engine in self.site.engines}

        seen: set[str] = set()
        await self.site.wait(all_known, "a front that knows the engines")

    async def add(self, number: int, software: str) -> StandInTarget:
        engine = self.site.new_target(number, engine=True, events=EVENTS)
        engine.software = software
        self.site.targets.append(engine)
        await engine.listen()
        engine.announce()
        return engine

    async def read(
        self,
        front: Process | None = None,
        stream: Reader | None = None,
        until: int = EVENTS,
        headers: list[tuple[str, str]] | None = None,
        key: str = KEY,
        path: str = "",
    ) -> Reader:
        """Read a new stream, or go on with one, until it has some events."""
        attempt = self.site.marker()
        sent = [
            ("Host", HOST),
            ("X-Goldcrestyard-Attempt-Id", attempt),
            ("X-Goldcrestyard-Deadline-Ms", "8000"),
            ("X-Goldcrestyard-Model", MODEL),
            ("Authorization", f"Bearer {key}"),
        ]
        if stream is None:
            stream = Reader(attempt, f"/talk/{attempt}")
        elif headers is None:
            headers = [
                ("Resumes", stream.first),
                ("Last-Event-Id", str(len(stream.numbers))),
            ]
        front = front or self.site.fronts[0]
        assert self.site.session is not None
        data = b""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self.site.session.post(
                f"http://{front.address('front')}{path or stream.path}",
                data=b"body",
                headers=[*sent, *(headers or [])],  # type: ignore[arg-type]
                timeout=aiohttp.ClientTimeout(total=8.0),
            ) as response:
                stream.statuses.append(response.status)
                stream.retry_after = response.headers.get("Retry-After")
                if response.status != 200:
                    return stream
                have = len(stream.numbers)
                async for chunk in response.content.iter_any():
                    data += chunk
                    if have + data.count(b"\n\n") >= until < EVENTS:
                        break
                else:
                    stream.whole = True
        stream.take(data[: data.rfind(b"\n\n") + 2])
        return stream

    async def begin(self, count: int) -> list[Reader]:
        """Begin streams on all fronts in turn and leave them midway."""
        fronts = self.site.fronts
        reads = (self.read(fronts[n % len(fronts)], until=5) for n in range(count))
        readers = await asyncio.gather(*reads)
        for reader in readers:
            self.assertEqual(reader.statuses, [200])
        return readers

    async def begin_of_both(self) -> list[Reader]:
        """Begin twelve streams or more, until some are of each version."""
        readers: list[Reader] = []

        async def are_of_both() -> bool:
            readers.extend(await self.begin(12))
            # Fronts prefer targets of which they know no whole stream.
            await asyncio.gather(*map(self.read, self.site.fronts))
            return len(set().union(*(reader.versions for reader in readers))) == 2

        await self.site.wait(are_of_both, "streams of both versions")
        return readers

    async def wait_recorded(self) -> None:
        """Wait until all streams that have begun are recorded.

        A front records its streams in their order, so the last one is enough.
        """
        fronts = self.site.fronts

        async def last_is_recorded(front: Process, other: Process) -> bool:
            begun = await self.read(front, until=1)
            return (await self.read(other, begun, until=3)).statuses == [200, 200]

        for front, other in zip(fronts, [*fronts[1:], fronts[0]], strict=True):
            await self.site.wait(
                functools.partial(last_is_recorded, front, other), "recorded streams"
            )

    async def go_on(
        self, readers: list[Reader], shift: int, until: int = EVENTS
    ) -> None:
        """Take streams up, each on another front than before."""

        async def take_up(front: Process, reader: Reader) -> None:
            for _ in range(MAX_TRIES):
                await self.read(front, reader, until)
                if reader.statuses[-1] != 503:
                    return
                await asyncio.sleep(float(reader.retry_after or 0))

        fronts = self.site.fronts
        await asyncio.gather(
            *(
                take_up(fronts[(number + shift) % len(fronts)], reader)
                for number, reader in enumerate(readers)
            )
        )
        for reader in readers:
            reader.check()

    async def test_within_one_answer(self) -> None:
        await self.start("v1", "v1", "v2", fronts=1)
        for engine in self.site.engines:
            engine.event_seconds = 0.1
        first, _, other = self.site.engines
        readers: list[asyncio.Task[Reader]] = []

        async def both_work() -> bool:
            readers.extend(asyncio.create_task(self.read()) for _ in range(4))
            await asyncio.sleep(0.3)
            return all(
                any(engine.events_sent[r] for r in +engine.in_progress)
                for engine in (first, other)
            )

        await self.site.wait(both_work, "streams at both engines")
        await other.stop()
        await first.stop()
        streams = await asyncio.gather(*readers)
        for stream in streams:
            stream.check()
        for stream in streams:
            self.assertTrue(stream.whole or stream.versions == {"v2"})

    @parameterized.expand(
        [
            ("on_another_front", "none"),
            ("all_fronts_killed", "fronts"),
            ("all_processes_killed", "all"),
        ]
    )
    async def test_taken_up(self, _: str, killed: str) -> None:
        await self.start("v1", "v1", "v2", "v2")
        readers = await self.begin_of_both()
        await self.wait_recorded()
        processes = list(self.site.fronts) if killed != "none" else []
        if killed == "all":
            processes += self.site.controls
        await asyncio.gather(*(process.kill() for process in processes))
        for process in processes:
            await process.start()
        if processes:
            await asyncio.gather(*map(self.wait_versions, self.site.fronts))
        await self.go_on(readers, shift=1)
        self.assertEqual([r.statuses for r in readers if not r.whole], [])

    async def test_tries_in_a_row_on_other_fronts(self) -> None:
        await self.start("v1", "v1", "v2", "v2")
        readers = await self.begin_of_both()
        await self.wait_recorded()
        for until in (9, 13):
            await self.go_on(readers, until % 3, until)
        await self.go_on(readers, shift=2)
        self.assertTrue(all(reader.whole for reader in readers))

    async def start_again(self, engine: StandInTarget, software: str) -> None:
        """End an engine and start it again with other software.

        It has the same id and address as before.
        """
        await engine.stop()
        again = self.site.new_target(len(self.site.targets), engine=True, events=EVENTS)
        again.id, again.host, again.zone = engine.id, engine.host, engine.zone
        again.software = software
        self.site.targets.remove(engine)
        self.site.targets.append(again)
        await again.listen(int(engine.own_address.rpartition(":")[2]))

    async def test_engines_start_again_while_control_stands_still(self) -> None:
        """A front that is cut off has not heard of their other software."""
        await self.start("v1", "v1", fronts=1)
        readers = await self.begin(4)
        for process in self.site.controls:
            process.signal(signal.SIGSTOP)
        for engine in list(self.site.engines):
            await self.start_again(engine, "v2")
        await asyncio.gather(*(self.read(None, reader) for reader in readers))
        for process in self.site.controls:
            process.signal(signal.SIGCONT)
        for reader in readers:
            reader.check()
            self.assertEqual(reader.statuses, [200, 503])

    async def test_front_killed_at_once(self) -> None:
        """A stream whose record was lost is refused, not joined."""
        await self.start("v1", "v2")
        doomed, other = self.site.fronts[:2]
        readers = []
        for number in range(3):
            reading = [self.read(doomed, until=1) for _ in range(4)]
            readers += await asyncio.gather(*reading)
            if number == 2:
                await doomed.kill()
        for reader in readers:
            await self.read(other, reader)
            reader.check()
            self.assertEqual(reader.whole, reader.statuses[-1] == 200)

    async def test_refused(self) -> None:
        """All cases on one site, since a site takes seconds to start."""
        await self.start("v1", "v1", "v2", "v2", fronts=1)
        for case in REFUSED:
            with self.subTest(case.name):
                (reader,) = await self.begin(1)
                headers = [
                    (name, value.replace("{first}", reader.first))
                    for name, value in case.headers
                ]
                runs = sum(len(engine.runs) for engine in self.site.engines)
                await self.read(
                    None, reader, headers=headers, key=case.key, path=case.path
                )
                self.assertEqual(reader.statuses, [200, 503])
                self.assertEqual(reader.retry_after, "0.3")
                self.assertEqual(sum(len(e.runs) for e in self.site.engines), runs)

    async def test_only_one_version_serves(self) -> None:
        """Any stream goes on, also one of an attempt that nobody knows."""
        await self.start("v1", "v1", fronts=1)
        (reader,) = await self.begin(1)
        unknown = [("Resumes", "no-such"), ("Last-Event-Id", "5")]
        await self.read(None, reader, headers=unknown)
        reader.check()
        self.assertTrue(reader.whole)

    async def test_version_has_left(self) -> None:
        """Streams of a version that is gone are refused, new ones begin."""
        await self.start("v1", "v1", fronts=1)
        readers = await self.begin(2)
        for engine in list(self.site.engines):
            await engine.drain()
            await engine.stop()
        await self.add(8, "v2")

        async def new_serve() -> bool:
            return (await self.read()).versions == {"v2"}

        await self.site.wait(new_serve, "a stream of the new version")
        unknown = [("Last-Event-Id", "5")]
        await self.read(None, readers[0], headers=unknown)
        await self.read(None, readers[1])
        for reader in readers:
            reader.check()
            self.assertEqual(reader.statuses, [200, 503])
