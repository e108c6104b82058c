"""Memory of an entry's view and of a control member's state."""

from bench.control import claim
from bench.measure import memory_of, report_columns
from bench.stand_ins import fill_organisations, fill_targets, full_codec, machine
from goldcrestyard.state.machine import StateMachine
from tests.fakes.member import apply


def view_of_targets(count: int) -> StateMachine:
    """Return the state of an entry that knows a number of targets."""
    state = machine(fan_out_only=True)
    fill_targets(state, count)
    return state


def view_of_organisations(count: int) -> StateMachine:
    """Return the state of an entry with organisations of four keys each."""
    state = machine(fan_out_only=True)
    fill_organisations(state, count, keys=4)
    return state


def member_of_targets(count: int) -> StateMachine:
    """Return the state of a control member, with its audit records."""
    state = machine(fan_out_only=False)
    fill_targets(state, count)
    return state


def member_of_claims(count: int) -> StateMachine:
    """Return the state of a control member with open claims."""
    state = machine(fan_out_only=False)
    for number in range(count):
        apply(state, claim(number))
    return state


def by_targets(count: int) -> dict[str, float]:
    """Measure by targets."""
    codec = full_codec()
    snapshots = view_of_targets(count).to_snapshots(fan_out_only=True)
    return {
        "entry's view by targets|KB": memory_of(lambda: view_of_targets(count)) / 1e3,
        "control member by targets|KB": (
            memory_of(lambda: member_of_targets(count)) / 1e3
        ),
        "snapshot for an entry|KB": (
            sum(len(codec.encode(snapshot)) for snapshot in snapshots.values()) / 1e3
        ),
    }


def by_organisations(count: int) -> dict[str, float]:
    """Measure by organisations."""
    used = memory_of(lambda: view_of_organisations(count))
    return {"entry's view by organisations of 4 keys|KB": used / 1e3}


def by_claims(count: int) -> dict[str, float]:
    """Measure by claims."""
    used = memory_of(lambda: member_of_claims(count))
    return {"control member by claims|KB": used / 1e3}


def run_memory() -> None:
    """Print the memory of states of several sizes."""
    report_columns((100, 300, 930, 2000), by_targets)
    report_columns((8, 64, 256, 1024), by_organisations)
    report_columns((1000, 4000, 16_000, 64_000), by_claims, runs=1)
