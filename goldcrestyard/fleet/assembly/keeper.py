"""Keeps the members of the replicated log as the deployment needs them."""

import asyncio
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.assembly.commands import (
    JoinCluster,
    JoinNoted,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.membership import (
    Add,
    Drop,
    Joiner,
    MemberFacts,
    Promote,
    Step,
    may_retire,
    next_step,
)
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)

CHECK_SECONDS = 0.25
JOIN_SECONDS = 3.0
"""How long a request to join counts; a process that still wants it repeats
it every half second."""

ADD_SECONDS = 1.0
"""Longest wait for the answer of a process that is to be added."""


@dataclass(frozen=True, slots=True)
class _Asked:
    joiner: Joiner
    at: float


class MembershipKeeper:
    """Adds, promotes and removes members while this one leads."""

    def __init__(self, member: ControlMember, wanted_voters: int, clock: Clock) -> None:
        self._member = member
        self._machines = member.machine.get(MachinesSlice)
        self._wanted_voters = wanted_voters
        self._clock = clock
        self._asked_by_instance: dict[InstanceId, _Asked] = {}
        self._known_since_by_id: dict[MemberId, float] = {}

    def register(self, handlers: Handlers) -> None:
        """Serve the requests of processes that want to join."""
        handlers.add(JoinCluster, self._on_join)

    async def run(self) -> None:
        """Make one change after another, for one time of leading."""
        while True:
            step = next_step(
                self._facts(),
                self._joiners(),
                self._wanted_voters,
                self._machines.retiring_instances(),
            )
            if step is not None:
                result = await self._take(step)
                logger.info(
                    "members of the log changed", step=str(step), result=str(result)
                )
                if isinstance(result, Applied):
                    # Between the removal of a lost voter and the vote of its
                    # successor the cluster bears no further loss.
                    continue
            await asyncio.sleep(CHECK_SECONDS)

    async def retire(self, machine: str) -> Refusal | None:
        """Start to empty a machine, or say why it has to stay."""
        instance = self._machines.instance_of(machine)
        if instance is None or instance not in self._instances():
            if machine in self._machines.retiring:
                return None
            return Refusal(RefusalReason.NOT_FOUND, f"no machine {machine}")
        if not may_retire(self._facts(), instance, self._wanted_voters):
            return Refusal(
                RefusalReason.CONFLICT,
                f"without {machine} fewer than {self._wanted_voters} members remain",
            )
        result = await self._propose(RetireMachine(machine))
        if isinstance(result, Applied):
            return None
        return Refusal(RefusalReason.NO_LEADER, "the order was not committed")

    def is_retired(self, machine: str) -> bool | None:
        """Return whether a machine is empty, or None if it is not known."""
        if machine not in self._machines.retiring:
            return None
        return self._machines.instance_of(machine) not in self._instances()

    def _instances(self) -> set[InstanceId]:
        return {status.instance for status in self._member.members()}

    def _facts(self) -> list[MemberFacts]:
        facts = []
        now = self._clock.monotonic()
        known = self._member.members()
        self._known_since_by_id = {
            status.id: self._known_since_by_id.get(status.id, now) for status in known
        }
        for status in known:
            silent = now - self._known_since_by_id[status.id]
            if status.last_contact_seconds is not None:
                silent = min(silent, status.last_contact_seconds)
            facts.append(
                MemberFacts(
                    status.id,
                    status.instance,
                    status.role is not Role.LEARNER,
                    silent,
                    self._member.has_caught_up(status.id),
                )
            )
        return facts

    def _joiners(self) -> list[Joiner]:
        now = self._clock.monotonic()
        return [
            asked.joiner
            for asked in self._asked_by_instance.values()
            if now - asked.at < JOIN_SECONDS
        ]

    async def _take(self, step: Step) -> ProposalResult:
        match step:
            case Add(joiner=joiner):
                self._asked_by_instance.pop(joiner.instance, None)
                return await self._member.add_learner(
                    joiner.instance, joiner.address, ADD_SECONDS
                )
            case Promote(instance=instance):
                return await self._member.promote(instance)
            case Drop(id=member_id):
                return await self._member.remove(member_id)

    async def _on_join(self, message: JoinCluster, _: PeerConnection) -> object:
        return await self.note_join(message)

    async def note_join(self, message: JoinCluster) -> JoinNoted | NotLeader:
        """Remember a process that wants to join, and name its machine."""
        if not self._member.holds_lease():
            return self._member.not_leader()
        joiner = Joiner(message.member, message.instance, message.address)
        self._asked_by_instance[message.instance] = _Asked(
            joiner, self._clock.monotonic()
        )
        known = self._machines.names_by_instance.get(message.instance)
        if known != message.machine:
            name = NameMachine(message.instance, message.machine)
            if not isinstance(await self._propose(name), Applied):
                return self._member.not_leader()
        return JoinNoted()

    async def _propose(self, command: object) -> ProposalResult:
        return await self._member.propose(command)
