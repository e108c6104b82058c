"""A control member without a log, for tests of leader-only tasks."""

import asyncio

from goldcrestyard.consensus.results import Applied, NotProposed, ProposalResult
from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import Command, Envelope
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.state.slices import Slice
from goldcrestyard.wire.messages import NotLeader


class FakeMember:
    """Applies each proposal at once; tests set leadership and the lease.

    Several members may share one state machine, as replicas of one log would.
    """

    def __init__(self, machine: StateMachine, clock: Clock, name: str = "m1") -> None:
        self.instance = InstanceId(name)
        self.machine = machine
        self.term = Term(1)
        self.leadership_started_at = 0.0
        self.is_leader = True
        self.lease = True
        self.proposed: list[Command] = []
        self.commit_seconds = 0.0
        self._clock = clock

    def holds_lease(self) -> bool:
        return self.is_leader and self.lease

    def make_not_leader_reply(self) -> NotLeader:
        return NotLeader(None)

    def lead(self, term: int) -> None:
        """Become the leader of a term, with the lease, at the present time."""
        self.term = Term(term)
        self.is_leader = True
        self.lease = True
        self.leadership_started_at = self._clock.monotonic()

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
    ) -> ProposalResult:
        if not self.is_leader:
            return NotProposed("not the leader")
        self.proposed.append(command)
        if self.commit_seconds:
            await asyncio.sleep(self.commit_seconds)
        return apply(self.machine, command, self.term, self._clock.wall())


def machine_of(*slices: type[Slice]) -> StateMachine:
    """Return a state machine with new instances of the slice classes."""
    return StateMachine(slice_class() for slice_class in slices)


def apply(
    machine: StateMachine, command: Command, term: int = 1, time: float = 0.0
) -> Applied:
    """Apply a command at the next log index of a state machine."""
    index = LogIndex(machine.applied_index + 1)
    envelope = Envelope(command, "test", CorrelationId(""), time)
    return Applied(index, machine.apply(index, Term(term), envelope).outcome)
