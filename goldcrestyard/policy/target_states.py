"""The life cycle of a target as the replicated state records it."""

from enum import Enum

from transitions import Machine

from goldcrestyard.core.states import TargetState


class TargetEvent(Enum):
    """What is reported of one run of a target."""

    ANNOUNCE = "announce"
    DRAIN = "drain"
    LEAVE = "leave"
    LOSE = "lose"


MOVES = (
    (TargetEvent.ANNOUNCE, TargetState.READY, TargetState.READY),
    # A target that drains may move to another home, but gets no new work.
    (TargetEvent.ANNOUNCE, TargetState.DRAINING, TargetState.DRAINING),
    # A target that was only out of reach comes back; one that has left does
    # not, so a late announcement of it does nothing.
    (TargetEvent.ANNOUNCE, TargetState.LOST, TargetState.READY),
    (TargetEvent.DRAIN, TargetState.READY, TargetState.DRAINING),
    (TargetEvent.DRAIN, TargetState.DRAINING, TargetState.DRAINING),
    (TargetEvent.LEAVE, TargetState.READY, TargetState.LEFT),
    (TargetEvent.LEAVE, TargetState.DRAINING, TargetState.LEFT),
    (TargetEvent.LEAVE, TargetState.LOST, TargetState.LEFT),
    (TargetEvent.LOSE, TargetState.READY, TargetState.LOST),
    (TargetEvent.LOSE, TargetState.DRAINING, TargetState.LOST),
)


class _Run:
    """One run of a target, while it makes a move."""

    state: TargetState


_machine = Machine(
    model=None,
    states=TargetState,
    transitions=[
        {"trigger": event.value, "source": source, "dest": target}
        for event, source, target in MOVES
    ],
    initial=TargetState.READY,
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


def move(state: TargetState, event: TargetEvent) -> TargetState | None:
    """Return the state after an event, or None if it is not allowed."""
    run = _Run()
    _machine.add_model(run, initial=state)
    try:
        moved = getattr(run, event.value)()
        return run.state if moved else None
    finally:
        _machine.remove_model(run)
