"""Benchmarks of real processes: relayed streams, renewals and idle cost."""

import asyncio
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import replace
from functools import partial
from itertools import cycle
from typing import Any

import aiohttp

from bench.control import free_port
from bench.measure import RUNS, Spread, cpu_seconds, report, resident_bytes
from bench.stand_ins import MODEL, target
from demo.deployment import Deployment, Instance
from goldcrestyard.core.ids import CorrelationId, new_attempt_id
from goldcrestyard.core.records import Target
from goldcrestyard.plugins.engines.requests import InferenceRequest, parse_request
from goldcrestyard.plugins.engines.settings import EngineSettings
from goldcrestyard.plugins.engines.upstream import EngineClient, Finished

STREAM_TOKENS = (16, 64, 256, 1024)
TOKENS_PER_RUN = 12_000
REQUESTS_PER_RUN = 400
CONCURRENT_REQUESTS = 8
IDLE_SECONDS = 10.0
RENEWALS_PER_RUN = 1000
TOKEN_INTERVAL_SECONDS = 0.005
PACED_STREAM_TOKENS = (16, 64, 256, 512)
KNOWN_TARGET_COUNTS = (0, 100, 300, 930)
TARGET_LOST_SECONDS = 600.0
"""Announced targets never renew and must not expire during a run."""


async def _in_parallel(count: int, work: Callable[[], Awaitable[Any]]) -> None:
    remaining = iter(range(count))

    async def worker() -> None:
        for _ in remaining:
            await work()

    await asyncio.gather(*(worker() for _ in range(CONCURRENT_REQUESTS)))


async def _complete(
    session: aiohttp.ClientSession,
    address: str,
    tokens: int,
    stream: bool,
    model: str = MODEL,
) -> None:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "Describe joint 7."}],
        "max_tokens": tokens,
        "stream": stream,
    }
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, json=body) as answer:
        text = await answer.read()
        assert answer.status == 200, text
        assert not stream or text.rstrip().endswith(b"[DONE]"), text[-200:]


async def _cpu_seconds_of_work(
    pid: int, count: int, work: Callable[[], Awaitable[Any]]
) -> Any:
    await _in_parallel(CONCURRENT_REQUESTS, work)
    before = cpu_seconds(pid)
    await _in_parallel(count, work)
    return cpu_seconds(pid) - before


async def _relay(deployment: Deployment) -> None:
    entry = deployment.instances[1]
    key = await deployment.add_organisation("tejo")
    engine = await deployment.start_engine("engine-1", MODEL, entry, token_seconds=0.0)
    port = free_port()
    bare = f"127.0.0.1:{port}"
    process = await deployment.start_process(
        "bare", "bench.bare_relay", str(port), engine
    )
    assert entry.process is not None
    pids = {"entry": entry.process.pid, "bare relay": process.pid}
    addresses = {"entry": entry.public, "bare relay": bare}
    await asyncio.sleep(2.0)
    headers = {"authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for name, pid in pids.items():
            address = addresses[name]
            spreads = []
            for tokens in STREAM_TOKENS:
                count = max(CONCURRENT_REQUESTS, TOKENS_PER_RUN // tokens)
                figures = []
                for _ in range(RUNS):
                    used = await _cpu_seconds_of_work(
                        pid,
                        count,
                        partial(_complete, session, address, tokens, True),
                    )
                    figures.append(used / count * 1e3)
                spreads.append(Spread(tokens, tuple(figures)))
            report(f"{name}: processor time of a stream by tokens", "ms", spreads)
            plain = []
            for _ in range(RUNS):
                used = await _cpu_seconds_of_work(
                    pid,
                    REQUESTS_PER_RUN,
                    partial(_complete, session, address, 16, False),
                )
                plain.append(used / REQUESTS_PER_RUN * 1e3)
            report(f"{name}: whole answer", "ms", [Spread(16, tuple(plain))])


async def _paced(deployment: Deployment) -> None:
    """Measure streams whose tokens arrive at an engine's pace, one by one."""
    entry = deployment.instances[1]
    assert entry.process is not None
    key = await deployment.add_organisation("bien")
    engine = await deployment.start_engine(
        "engine-2", "paced", entry, token_seconds=TOKEN_INTERVAL_SECONDS
    )
    port = free_port()
    process = await deployment.start_process(
        "bare-paced", "bench.bare_relay", str(port), engine
    )
    relays = {
        "entry": (entry.process.pid, entry.public),
        "bare relay": (process.pid, f"127.0.0.1:{port}"),
    }
    await asyncio.sleep(2.0)
    headers = {"authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for name, (pid, address) in relays.items():
            spreads = []
            for tokens in PACED_STREAM_TOKENS:
                work = partial(_complete, session, address, tokens, True, "paced")
                figures = []
                for _ in range(RUNS):
                    used = await _cpu_seconds_of_work(
                        pid, 2 * CONCURRENT_REQUESTS, work
                    )
                    figures.append(used / 2 / CONCURRENT_REQUESTS * 1e3)
                spreads.append(Spread(tokens, tuple(figures)))
            report(f"{name}: processor time of a paced stream by tokens", "ms", spreads)


async def _reading(deployment: Deployment) -> None:
    """Measure paced streams read by ``EngineClient`` without an entry."""
    entry = deployment.instances[1]
    address = await deployment.start_engine(
        "engine-4", "read", entry, token_seconds=TOKEN_INTERVAL_SECONDS
    )
    engine = replace(target(0), address=address)
    spreads = []
    async with aiohttp.ClientSession() as session:
        client = EngineClient(session, EngineSettings())
        for tokens in PACED_STREAM_TOKENS:
            body = {
                "model": "read",
                "messages": [{"role": "user", "content": "Describe joint 7."}],
                "max_tokens": tokens,
                "stream": True,
            }
            request = parse_request("/v1/chat/completions", body)
            assert isinstance(request, InferenceRequest)
            work = partial(_read, client, engine, request)
            figures = []
            for _ in range(RUNS):
                before = time.thread_time()
                await _in_parallel(2 * CONCURRENT_REQUESTS, work)
                used = time.thread_time() - before
                figures.append(used / 2 / CONCURRENT_REQUESTS * 1e3)
            spreads.append(Spread(tokens, tuple(figures)))
    report("reading alone: processor time of a paced stream by tokens", "ms", spreads)


async def _read(
    client: EngineClient, engine: Target, request: InferenceRequest
) -> None:
    attempt = new_attempt_id()
    async with client.stream(engine, request, attempt, CorrelationId("")) as opened:
        assert isinstance(opened, AsyncIterator), opened
        steps = [step async for step in opened]
    assert isinstance(steps[-1], Finished), steps[-1]


async def _known_targets(deployment: Deployment) -> None:
    """Measure requests against the number of known targets of other models."""
    entry = deployment.instances[1]
    assert entry.process is not None
    key = await deployment.add_organisation("sol")
    await deployment.start_engine("engine-3", MODEL, entry, token_seconds=0.0)
    await asyncio.sleep(2.0)
    token = {"authorization": f"Bearer {deployment.target_token}"}
    caller = {"authorization": f"Bearer {key}"}
    spreads, idle, known = [], [], 0
    async with (
        aiohttp.ClientSession(headers=token) as targets,
        aiohttp.ClientSession(headers=caller) as session,
    ):
        work = partial(_complete, session, entry.public, 16, False)
        for count in KNOWN_TARGET_COUNTS:
            for number in range(known, count):
                await _announce(targets, entry, f"known-{number}")
            known = count
            await asyncio.sleep(2.0)
            used = []
            for _ in range(RUNS):
                before = cpu_seconds(entry.process.pid)
                await asyncio.sleep(IDLE_SECONDS / RUNS)
                used.append(
                    (cpu_seconds(entry.process.pid) - before)
                    / IDLE_SECONDS
                    * RUNS
                    * 100
                )
            idle.append(Spread(count, tuple(used)))
            figures = []
            for _ in range(RUNS):
                cpu = await _cpu_seconds_of_work(
                    entry.process.pid, REQUESTS_PER_RUN, work
                )
                figures.append(cpu / REQUESTS_PER_RUN * 1e3)
            spreads.append(Spread(count, tuple(figures)))
    report("entry: whole answer by known targets", "ms", spreads)
    report("entry: idle after requests, by known targets", "% of a core", idle)
    resident = resident_bytes(entry.process.pid) / 1e6
    report("entry: resident memory at the end", "MB", [Spread(known, (resident,))])


async def _announce(
    session: aiohttp.ClientSession, entry: Instance, name: str, incarnation: str = "1"
) -> None:
    body = {
        "id": name,
        "kind": "engine",
        "address": "127.0.0.1:9",
        "data_centre": entry.data_centre,
        "region": entry.region,
        "serves": ["unused"],
        "incarnation": incarnation,
    }
    url = f"http://{entry.public}/targets/announce"
    async with session.post(url, json=body) as answer:
        assert answer.status == 200, await answer.text()


async def _renewals(deployment: Deployment) -> None:
    entry = deployment.instances[1]
    assert entry.process is not None
    token = {"authorization": f"Bearer {deployment.target_token}"}
    url = f"http://{entry.public}/targets"
    async with aiohttp.ClientSession(headers=token) as session:
        spreads = []
        for count in (1, 3, 10, 30):
            ids = [f"stand-in-{count}-{number}" for number in range(count)]
            incarnation = uuid.uuid4().hex
            for name in ids:
                await _announce(session, entry, name, incarnation)
            renew = partial(_renew, session, url, cycle(ids), incarnation)
            figures = []
            for _ in range(RUNS):
                used = await _cpu_seconds_of_work(
                    entry.process.pid, RENEWALS_PER_RUN, renew
                )
                figures.append(used / RENEWALS_PER_RUN * 1e3)
            spreads.append(Spread(count, tuple(figures)))
        report("target renewal at its home, by targets", "ms", spreads)


async def _renew(
    session: aiohttp.ClientSession, url: str, names: Iterator[str], incarnation: str
) -> None:
    body = {"incarnation": incarnation}
    async with session.post(f"{url}/{next(names)}/renew", json=body) as answer:
        assert answer.status == 200, await answer.text()


async def _idle(deployment: Deployment) -> None:
    for instance in deployment.instances:
        assert instance.process is not None
        pid, figures = instance.process.pid, []
        for _ in range(RUNS):
            before = cpu_seconds(pid)
            await asyncio.sleep(IDLE_SECONDS / RUNS)
            figures.append((cpu_seconds(pid) - before) / IDLE_SECONDS * RUNS * 100)
        role = "control member and entry" if instance.control else "entry"
        report(f"{role}, idle", "% of a core", [Spread(1, tuple(figures))])
        resident = resident_bytes(pid) / 1e6
        report(f"{role}, resident memory", "MB", [Spread(1, (resident,))])


async def _run(*benchmarks: Callable[[Deployment], Awaitable[None]]) -> None:
    deployment = Deployment(
        [
            Instance("control-1", "dc-1", "region-1", True),
            Instance("entry-1", "dc-1", "region-1", False),
        ],
        overrides_by_section={"targets": {"lost_seconds": TARGET_LOST_SECONDS}},
    )
    try:
        await deployment.start()
        for benchmark in benchmarks:
            await benchmark(deployment)
    finally:
        await deployment.stop()


def run_relay() -> None:
    """Print the cost of idle processes, requests and target renewals."""
    asyncio.run(_run(_idle, _relay, _renewals))


def run_paced() -> None:
    """Print the processor time of streams whose tokens arrive one by one."""
    asyncio.run(_run(_paced, _reading))


def run_known_targets() -> None:
    """Print the cost of a request against the targets known to an entry."""
    asyncio.run(_run(_known_targets))
