"""Benchmarks of control members: commits, idle cost, snapshots and restarts.

The members run in one process, each with its peer server on its own thread.
"""

import asyncio
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from bench.measure import RUNS, Spread, report, report_columns
from bench.stand_ins import (
    LoopThread,
    RecordingDialer,
    full_codec,
    identity,
    machine,
    target,
)
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import (
    AttemptId,
    CorrelationId,
    InstanceId,
    OrganisationId,
    RequestId,
)
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.claims.commands import ClaimCall
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.server import PeerServer

COMMIT_SECONDS = 2.0
IDLE_SECONDS = 5.0
TARGET_COUNT = 930
NO_SNAPSHOT_ENTRIES = 10**9
"""A snapshot interval, in log entries, that no run reaches."""


@dataclass
class MemberThread:
    """A control member with its peer server, on its own thread."""

    name: str
    thread: LoopThread
    member: ControlMember
    server: PeerServer
    dialer: RecordingDialer

    @classmethod
    def start(
        cls,
        name: str,
        addresses_by_name: dict[str, str],
        folder: Path,
        snapshot_entries: int = NO_SNAPSHOT_ENTRIES,
    ) -> "MemberThread":
        """Start a member of the cluster of these addresses on a new thread."""
        thread = LoopThread()
        codec, handlers = full_codec(), Handlers()
        dialer = RecordingDialer(identity(InstanceId(name)), codec, handlers)

        async def begin() -> tuple[ControlMember, PeerServer]:
            member = ControlMember(
                InstanceId(name),
                folder / name,
                machine(fan_out_only=False),
                codec,
                Clock(),
                dialer,
                {InstanceId(n): a for n, a in addresses_by_name.items()},
                snapshot_entries=snapshot_entries,
            )
            member.register(handlers)
            server = PeerServer(identity(InstanceId(name)), codec, handlers)
            host, _, port = addresses_by_name[name].rpartition(":")
            await server.start(host, int(port))
            await member.start()
            return member, server

        member, server = thread.call(begin())
        return cls(name, thread, member, server, dialer)

    def leads(self) -> bool:
        """Return whether the member holds the leader's lease."""

        async def ask() -> bool:
            return self.member.holds_lease()

        return self.thread.call(ask())

    def close(self) -> None:
        """Stop the member, its server and its thread."""
        self.thread.call(self.member.stop())
        self.thread.call(self.server.stop())
        self.thread.close()


def start_members(count: int, folder: Path) -> list[MemberThread]:
    """Start members of one cluster and wait for a leader, listed first."""
    addresses = {f"m{n}": f"127.0.0.1:{free_port()}" for n in range(count)}
    members = [MemberThread.start(name, addresses, folder) for name in addresses]
    leader = wait_for_leader(members)
    return sorted(members, key=lambda member: member is not leader)


def wait_for_leader(members: list[MemberThread]) -> MemberThread:
    """Return the leader; raise ``TimeoutError`` after 30 s without one."""
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        for member in members:
            if member.leads():
                return member
        time.sleep(0.02)
    raise TimeoutError("no leader")


def free_port() -> int:
    """Return a free port on loopback."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        return int(opened.getsockname()[1])


def claim(number: int) -> ClaimCall:
    """Return the claim command that an entry would propose."""
    return ClaimCall(
        OrganisationId("organisation-0001"),
        RequestId(f"request-{number:08d}"),
        "/services/quotes/orders",
        "f" * 64,
        InstanceId("entry-1"),
        AttemptId(f"{number:032x}"),
    )


async def commit(
    member: ControlMember, concurrent: int, seconds: float, one_at_a_time: bool
) -> int:
    """Return the number of claims committed within ``seconds``."""
    end = time.monotonic() + seconds
    proposal_slots = asyncio.Semaphore(1 if one_at_a_time else concurrent)
    counter = iter(range(10**9))
    committed = 0

    async def propose() -> None:
        nonlocal committed
        while time.monotonic() < end:
            async with proposal_slots:
                result = await member.propose(
                    claim(next(counter)), "bench", CorrelationId("")
                )
            committed += isinstance(result, Applied)

    await asyncio.gather(*(propose() for _ in range(concurrent)))
    return committed


def commits(concurrent: int) -> dict[str, float]:
    """Measure commits of three members with and without group commit."""
    figures = {}
    for name, one_at_a_time in (("with group commit", False), ("one at a time", True)):
        with tempfile.TemporaryDirectory(prefix="bench-") as folder:
            members = start_members(3, Path(folder))
            leader, follower = members[0], members[1]
            before = leader.thread.cpu(), follower.thread.cpu()
            done = leader.thread.call(
                commit(leader.member, concurrent, COMMIT_SECONDS, one_at_a_time)
            )
            after = leader.thread.cpu(), follower.thread.cpu()
            for member in members:
                member.close()
        figures[f"commits, {name}|1/s"] = done / COMMIT_SECONDS
        figures[f"processor time at the leader, {name}|ms a commit"] = (
            (after[0] - before[0]) / done * 1e3
        )
        figures[f"processor time at a follower, {name}|ms a commit"] = (
            (after[1] - before[1]) / done * 1e3
        )
    return figures


def idle(count: int) -> dict[str, float]:
    """Measure the processor time and traffic of members without proposals."""
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        members = start_members(count, Path(folder))
        time.sleep(1.0)
        cpu = [member.thread.cpu() for member in members]
        sent = sum(member.dialer.bytes() for member in members)
        time.sleep(IDLE_SECONDS)
        used = [m.thread.cpu() - old for m, old in zip(members, cpu, strict=True)]
        total = sum(member.dialer.bytes() for member in members) - sent
        for member in members:
            member.close()
    return {
        "processor time at the leader|% of a core": used[0] / IDLE_SECONDS * 100,
        "processor time at a follower|% of a core": used[-1] / IDLE_SECONDS * 100,
        "bytes on all connections|B/s": total / IDLE_SECONDS,
    }


def restart(entries: int, snapshot_entries: int) -> tuple[float, int, int]:
    """Return the restart's seconds, and the log's and snapshot's bytes."""
    addresses = {"m0": f"127.0.0.1:{free_port()}"}
    with tempfile.TemporaryDirectory(prefix="bench-") as text:
        folder = Path(text)
        running = MemberThread.start("m0", addresses, folder, snapshot_entries)
        wait_for_leader([running])
        running.thread.call(_announce(running.member, entries))
        time.sleep(0.3)
        running.close()
        log = sum(path.stat().st_size for path in (folder / "m0" / "log").iterdir())
        snapshot = folder / "m0" / "snapshot"
        started = time.monotonic()
        running = MemberThread.start("m0", addresses, folder, snapshot_entries)
        wait_for_leader([running])
        seconds = time.monotonic() - started
        running.close()
        return seconds, log, snapshot.stat().st_size if snapshot.exists() else 0


async def _announce(member: ControlMember, entries: int) -> None:
    """Announce the same targets repeatedly, so that only the log grows."""
    for first in range(0, entries, 250):
        await asyncio.gather(
            *(
                member.propose(
                    AnnounceTarget(
                        target(number % TARGET_COUNT), InstanceId("entry-1")
                    ),
                    "bench",
                    CorrelationId(""),
                )
                for number in range(first, min(first + 250, entries))
            )
        )


def restarts(entries: int) -> dict[str, float]:
    """Measure the restart of one member with ``entries`` log entries."""
    plain = restart(entries, NO_SNAPSHOT_ENTRIES)
    short = restart(entries, 1000)
    return {
        "restart without snapshots|s": plain[0],
        "restart with a snapshot every 1,000 entries|s": short[0],
        "log without snapshots|KB": plain[1] / 1000,
        "log with snapshots|KB": short[1] / 1000,
        "snapshot|KB": short[2] / 1000,
    }


def run_commits() -> None:
    """Print the commit rate against the number of concurrent proposals."""
    report_columns((1, 16, 64, 256), commits)


def run_idle() -> None:
    """Print the cost of idle members, with the design's three members."""
    results = [idle(3) for _ in range(RUNS)]
    for name in results[0]:
        title, _, unit = name.partition("|")
        report(title, unit, [Spread(3, tuple(result[name] for result in results))])


def run_restarts() -> None:
    """Print the restart time against the number of log entries."""
    report_columns((1000, 2500, 5000, 10_000), restarts)
