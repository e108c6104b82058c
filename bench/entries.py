"""Lease renewals and fanned-out changes against the number of entries."""

import time

from bench.measure import report_columns
from bench.stand_ins import Entries, Leader, LoopThread
from goldcrestyard.core.ids import CorrelationId, OrganisationId
from goldcrestyard.core.records import Organisation
from goldcrestyard.plugins.organisations.commands import PutOrganisation

RENEWAL_SECONDS = 3.0
CHANGES = 20


def renewals(count: int) -> dict[str, float]:
    """Measure the renewals of an idle deployment, one a second each."""
    ours, theirs = LoopThread(), LoopThread()
    try:
        leader = Leader(ours)
        entries = Entries(theirs, leader, count)
        time.sleep(0.5)
        before = ours.cpu(), theirs.cpu(), entries.bytes()
        time.sleep(RENEWAL_SECONDS)
        after = ours.cpu(), theirs.cpu(), entries.bytes()
    finally:
        theirs.close()
        ours.close()
    used = [new - old for new, old in zip(after, before, strict=True)]
    number = count * RENEWAL_SECONDS
    return {
        "processor time at the leader for all entries|% of a core": (
            used[0] / RENEWAL_SECONDS * 100
        ),
        "processor time at one entry|% of a core": used[1] / number * 100,
        "bytes of one entry, both ways|B/s": used[2] / number,
        "bytes at the leader|KB/s": used[2] / RENEWAL_SECONDS / 1000,
    }


def changes(count: int) -> dict[str, float]:
    """Measure changes, each with the renewals that confirm it."""
    ours, theirs = LoopThread(), LoopThread()
    try:
        leader = Leader(ours)
        entries = Entries(theirs, leader, count)
        before = ours.cpu(), theirs.cpu(), entries.bytes()
        applied = in_force = 0.0
        for number in range(CHANGES):
            started = time.monotonic()
            name = OrganisationId(f"organisation-{number:04d}")
            command = PutOrganisation(Organisation(name))
            result = ours.call(
                leader.member.propose(command, "bench", CorrelationId(""))
            )
            revision = leader.member.machine.revision
            theirs.call(entries.reach(revision))
            applied += time.monotonic() - started
            behind = ours.call(leader.sessions.wait_in_force(revision, 10.0))
            in_force += time.monotonic() - started
            assert result is not None and not behind
        after = ours.cpu(), theirs.cpu(), entries.bytes()
    finally:
        theirs.close()
        ours.close()
    used = [(new - old) / CHANGES for new, old in zip(after, before, strict=True)]
    return {
        "time until applied on all entries|ms": applied / CHANGES * 1e3,
        "time until in force|ms": in_force / CHANGES * 1e3,
        "processor time at the leader, with confirmations|ms": used[0] * 1e3,
        "processor time at one entry|ms": used[1] / count * 1e3,
        "bytes at the leader, both ways|KB": used[2] / 1000,
    }


def run_renewals() -> None:
    """Print the costs of renewals."""
    report_columns((8, 32, 64, 128), renewals)


def run_changes() -> None:
    """Print the costs of changes."""
    report_columns((2, 8, 32, 128), changes)
