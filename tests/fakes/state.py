"""Application of commands to a state machine without a log."""

from goldcrestyard.core.ids import CorrelationId, LogIndex, Term
from goldcrestyard.state.commands import Command, Envelope, Outcome
from goldcrestyard.state.machine import StateMachine


def apply(machine: StateMachine, command: Command) -> Outcome:
    """Apply a command at the next log index and return its outcome."""
    envelope = Envelope(command, "test", CorrelationId(""), 0.0)
    return machine.apply(LogIndex(machine.applied_index + 1), Term(1), envelope).outcome
