"""Benchmarks of lease renewals and change fan-out by number of entries."""

import time

from bench.measure import report_columns
from bench.stand_ins import Entries, Leader, LoopThread
from goldcrestyard.core.ids import CorrelationId, OrganisationId
from goldcrestyard.core.records import Organisation
from goldcrestyard.plugins.organisations.commands import PutOrganisation

RENEWAL_SECONDS = 3.0
CHANGE_COUNT = 20


def renewals(count: int) -> dict[str, float]:
    """Measure an idle deployment whose entries renew once a second."""
    leader_thread, entries_thread = LoopThread(), LoopThread()
    try:
        leader = Leader(leader_thread)
        entries = Entries(entries_thread, leader, count)
        time.sleep(0.5)
        before = leader_thread.cpu(), entries_thread.cpu(), entries.bytes()
        time.sleep(RENEWAL_SECONDS)
        after = leader_thread.cpu(), entries_thread.cpu(), entries.bytes()
    finally:
        entries_thread.close()
        leader_thread.close()
    used = [new - old for new, old in zip(after, before, strict=True)]
    entry_seconds = count * RENEWAL_SECONDS
    return {
        "processor time at the leader for all entries|% of a core": (
            used[0] / RENEWAL_SECONDS * 100
        ),
        "processor time at one entry|% of a core": used[1] / entry_seconds * 100,
        "bytes of one entry, both ways|B/s": used[2] / entry_seconds,
        "bytes at the leader|KB/s": used[2] / RENEWAL_SECONDS / 1000,
    }


def changes(count: int) -> dict[str, float]:
    """Measure changes and the renewals by which entries confirm them."""
    leader_thread, entries_thread = LoopThread(), LoopThread()
    try:
        leader = Leader(leader_thread)
        entries = Entries(entries_thread, leader, count)
        before = leader_thread.cpu(), entries_thread.cpu(), entries.bytes()
        applied = in_force = 0.0
        for number in range(CHANGE_COUNT):
            started = time.monotonic()
            name = OrganisationId(f"organisation-{number:04d}")
            command = PutOrganisation(Organisation(name))
            result = leader_thread.call(
                leader.member.propose(command, "bench", CorrelationId(""))
            )
            revision = leader.member.machine.revision
            entries_thread.call(entries.wait_for_revision(revision))
            applied += time.monotonic() - started
            behind = leader_thread.call(leader.sessions.wait_in_force(revision, 10.0))
            in_force += time.monotonic() - started
            assert result is not None and not behind
        after = leader_thread.cpu(), entries_thread.cpu(), entries.bytes()
    finally:
        entries_thread.close()
        leader_thread.close()
    used = [(new - old) / CHANGE_COUNT for new, old in zip(after, before, strict=True)]
    return {
        "time until applied on all entries|ms": applied / CHANGE_COUNT * 1e3,
        "time until in force|ms": in_force / CHANGE_COUNT * 1e3,
        "processor time at the leader, with confirmations|ms": used[0] * 1e3,
        "processor time at one entry|ms": used[1] / count * 1e3,
        "bytes at the leader, both ways|KB": used[2] / 1000,
    }


def run_renewals() -> None:
    """Print the cost of renewals against the number of entries."""
    report_columns((8, 32, 64, 128), renewals)


def run_changes() -> None:
    """Print the cost of a change against the number of entries."""
    report_columns((2, 8, 32, 128), changes)
