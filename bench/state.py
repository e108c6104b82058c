"""Benchmarks of the memory of an entry's view and a control member's state."""

from bench.control import claim
from bench.measure import allocated_bytes, report_columns
from bench.stand_ins import fill_organisations, fill_targets, full_codec, machine
from goldcrestyard.state.machine import StateMachine
from tests.fakes.member import apply


def entry_state_with_targets(count: int) -> StateMachine:
    """Return the state of an entry that knows a number of targets."""
    state = machine(fan_out_only=True)
    fill_targets(state, count)
    return state


def entry_state_with_organisations(count: int) -> StateMachine:
    """Return the state of an entry with organisations of four keys each."""
    state = machine(fan_out_only=True)
    fill_organisations(state, count, keys=4)
    return state


def member_state_with_targets(count: int) -> StateMachine:
    """Return the state of a control member, with its audit records."""
    state = machine(fan_out_only=False)
    fill_targets(state, count)
    return state


def member_state_with_claims(count: int) -> StateMachine:
    """Return the state of a control member with open claims."""
    state = machine(fan_out_only=False)
    for number in range(count):
        apply(state, claim(number))
    return state


def by_targets(count: int) -> dict[str, float]:
    """Measure memory and snapshot size against the number of targets."""
    codec = full_codec()
    snapshots = entry_state_with_targets(count).to_snapshots(fan_out_only=True)
    return {
        "entry's view by targets|KB": allocated_bytes(
            lambda: entry_state_with_targets(count)
        )
        / 1e3,
        "control member by targets|KB": (
            allocated_bytes(lambda: member_state_with_targets(count)) / 1e3
        ),
        "snapshot for an entry|KB": (
            sum(len(codec.encode(snapshot)) for snapshot in snapshots.values()) / 1e3
        ),
    }


def by_organisations(count: int) -> dict[str, float]:
    """Measure an entry's memory against the number of organisations."""
    used = allocated_bytes(lambda: entry_state_with_organisations(count))
    return {"entry's view by organisations of 4 keys|KB": used / 1e3}


def by_claims(count: int) -> dict[str, float]:
    """Measure a control member's memory against the number of open claims."""
    used = allocated_bytes(lambda: member_state_with_claims(count))
    return {"control member by claims|KB": used / 1e3}


def run_memory() -> None:
    """Print the memory of states against targets, organisations and claims."""
    report_columns((100, 300, 930, 2000), by_targets)
    report_columns((8, 64, 256, 1024), by_organisations)
    report_columns((1000, 4000, 16_000, 64_000), by_claims, runs=1)
