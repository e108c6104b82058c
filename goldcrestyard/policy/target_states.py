"""State machine for the life cycle of a target in the replicated state."""

from enum import Enum

from transitions import Machine

from goldcrestyard.core.states import TargetState


class TargetEvent(Enum):
    """A reported event of one run of a target."""

    ANNOUNCE = "announce"
    CONFIRM = "confirm"
    """The run has shown that it goes on after its departure was recorded."""
    DRAIN = "drain"
    LEAVE = "leave"
    LOSE = "lose"


TRANSITIONS = (
    (TargetEvent.ANNOUNCE, TargetState.READY, TargetState.READY),
    # A draining target may move to another home, but gets no new work.
    (TargetEvent.ANNOUNCE, TargetState.DRAINING, TargetState.DRAINING),
    # A lost target that was only unreachable becomes ready again.  A
    # target that has left does not, so its late announcement has no effect.
    (TargetEvent.ANNOUNCE, TargetState.LOST, TargetState.READY),
    (TargetEvent.CONFIRM, TargetState.LOST, TargetState.READY),
    (TargetEvent.CONFIRM, TargetState.LEFT, TargetState.READY),
    (TargetEvent.DRAIN, TargetState.READY, TargetState.DRAINING),
    (TargetEvent.DRAIN, TargetState.DRAINING, TargetState.DRAINING),
    (TargetEvent.LEAVE, TargetState.READY, TargetState.LEFT),
    (TargetEvent.LEAVE, TargetState.DRAINING, TargetState.LEFT),
    (TargetEvent.LEAVE, TargetState.LOST, TargetState.LEFT),
    (TargetEvent.LOSE, TargetState.READY, TargetState.LOST),
    (TargetEvent.LOSE, TargetState.DRAINING, TargetState.LOST),
)


class _TransitionModel:
    """Model object that holds the state during a transition."""

    state: TargetState


_machine = Machine(
    model=None,
    states=TargetState,
    transitions=[
        {"trigger": event.value, "source": source, "dest": target}
        for event, source, target in TRANSITIONS
    ],
    initial=TargetState.READY,
    auto_transitions=False,
    ignore_invalid_triggers=True,
)


def next_state(state: TargetState, event: TargetEvent) -> TargetState | None:
    """Return the state after an event, or None if it is not allowed."""
    model = _TransitionModel()
    _machine.add_model(model, initial=state)
    try:
        accepted = getattr(model, event.value)()
        return model.state if accepted else None
    finally:
        _machine.remove_model(model)
