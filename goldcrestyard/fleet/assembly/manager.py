"""Membership management: the leader adds, promotes and removes members.

The policy in ``goldcrestyard.policy.membership`` chooses each change from the
present members and the pending join requests; this module carries it out.
"""

import asyncio
from collections import deque
from dataclasses import replace

import structlog

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.consensus.roles import Role
from goldcrestyard.core.decoding import is_address
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.assembly.commands import (
    CompleteRetirement,
    JoinCluster,
    JoinNoted,
    NameMachine,
    RetireMachine,
)
from goldcrestyard.fleet.assembly.health import ClusterHealthMonitor, StepMonitor
from goldcrestyard.fleet.assembly.join_requests import JoinRequest, JoinRequests
from goldcrestyard.fleet.assembly.slices import MachinesSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.policy.membership import (
    GONE_SECONDS,
    TAKE_OVER_SECONDS,
    Add,
    Drop,
    Joiner,
    MemberFacts,
    MembershipChange,
    Promote,
    Replace,
    has_enough_sound_voters,
    may_retire,
    next_membership_change,
)
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure, NotLeader

logger = structlog.get_logger(__name__)

MEMBERSHIP_CHECK_INTERVAL_SECONDS = 0.25
MIN_CHECK_INTERVAL_SECONDS = 0.02
"""Bounds in seconds of the interval between two checks of the members.  A join
request, a reported identity and a learner that has caught up lead to a check
at once."""

COPYING_LOG_INTERVAL_SECONDS = 1.0
"""Interval in seconds at which the progress of a copy is logged."""


class MembershipManager:
    """Adds, promotes and removes cluster members while this member leads."""

    def __init__(self, member: ControlMember, wanted_voters: int, clock: Clock) -> None:
        self._member = member
        self._machines = member.machine.get(MachinesSlice)
        self._wanted_voters = wanted_voters
        self._clock = clock
        self._join_requests = JoinRequests()
        self._first_seen_by_id: dict[MemberId, float] = {}
        # Times of the latest checks and the last index of the log at each, and
        # the index at the last check before them.
        self._last_indexes: deque[tuple[float, int]] = deque()
        self._earlier_index = 0
        self._heard_at_by_instance: dict[InstanceId, float] = {}
        # Last check at which too few voters had answered to keep the lease.
        self._without_quorum_at = float("-inf")
        self._copying_logged_at = float("-inf")
        # Set when a change of the members may have become possible.
        self._check_due = asyncio.Event()
        member.add_membership_listener(self._check_due.set)
        self.monitor = ClusterHealthMonitor(member, wanted_voters, clock)
        self._steps = StepMonitor(member, self._machines, wanted_voters, clock)

    def register(self, handlers: Handlers) -> None:
        """Register the handler for join requests."""
        handlers.add(JoinCluster, self._on_join)

    async def run(self) -> None:
        """Apply membership changes one at a time until cancelled."""
        while True:
            facts = self._member_facts()
            self._log_copying_members(facts)
            self._check_health(facts)
            change = next_membership_change(
                self._without_own_silence(facts),
                self._joiners(),
                self._wanted_voters,
                self._machines.retiring_instances(),
                self._machines.retired_instances(),
            )
            if change is not None:
                result = await self._apply_and_watch(change)
                logger.info(
                    "membership change finished", step=str(change), result=str(result)
                )
                if isinstance(result, Applied):
                    # Go on at once: a cluster with too few voters tolerates
                    # fewer losses than it should.
                    continue
            await self._complete_retirements()
            await self._wait_for_check()

    async def _wait_for_check(self) -> None:
        await asyncio.sleep(MIN_CHECK_INTERVAL_SECONDS)
        rest = MEMBERSHIP_CHECK_INTERVAL_SECONDS - MIN_CHECK_INTERVAL_SECONDS
        await wait_at_most(rest, self._check_due.wait())
        self._check_due.clear()

    async def retire(self, machine: str) -> Refusal | None:
        """Start to retire a machine; return None, or why that is refused."""
        if machine in self._machines.retiring:
            return None
        instance = self._machines.instance_of(machine)
        if instance is None:
            return Refusal(RefusalReason.NOT_FOUND, f"no machine {machine}")
        if not self._member.holds_lease():
            return Refusal(RefusalReason.NO_LEADER, "this member does not lead")
        remaining = self._remaining_instances()
        retiring = self._machines.retiring_instances()
        if not may_retire(remaining, retiring, instance, self._wanted_voters):
            return Refusal(
                RefusalReason.CONFLICT,
                f"without {machine} fewer than {self._wanted_voters} members remain",
            )
        result = await self._propose(RetireMachine(machine))
        if isinstance(result, Applied):
            return None
        return Refusal(RefusalReason.NO_LEADER, "the order was not committed")

    def is_retired(self, machine: str) -> bool | None:
        """Return whether a retiring machine may be taken away with its disk.

        None means that the machine is not retiring.
        """
        if machine not in self._machines.retiring:
            return None
        return machine in self._machines.retired

    async def _complete_retirements(self) -> None:
        """Record which retiring machines are no longer needed.

        The removal of a machine's member must be committed, and enough voters
        for the planned losses must have just answered and store that removal:
        the machine may be taken away as soon as the record is committed.
        """
        waiting = self._machines.retiring - self._machines.retired
        if not waiting or not has_enough_sound_voters(
            self._member_facts(), self._wanted_voters
        ):
            return
        settled = self._member.settled_instances()
        for machine in sorted(waiting):
            if settled.isdisjoint(self._machines.instances_of(machine)):
                result = await self._propose(CompleteRetirement(machine))
                logger.info("retirement completed", machine=machine, result=str(result))

    def _remaining_instances(self) -> frozenset[InstanceId]:
        """Return the instances that have been heard of lately.

        These are members, and processes that have been or ask to be.
        """
        self._member_facts()
        heard_since = self._clock.monotonic() - GONE_SECONDS
        self._heard_at_by_instance = {
            instance: heard_at
            for instance, heard_at in self._heard_at_by_instance.items()
            if heard_at > heard_since
        }
        return frozenset(self._heard_at_by_instance)

    def _member_facts(self) -> list[MemberFacts]:
        facts = []
        now = self._clock.monotonic()
        known = self._member.member_statuses()
        self._first_seen_by_id = {
            status.id: self._first_seen_by_id.get(status.id, now) for status in known
        }
        last_index = max((status.matched_index or 0 for status in known), default=0)
        self._last_indexes.append((now, last_index))
        while self._last_indexes[0][0] < now - TAKE_OVER_SECONDS:
            self._earlier_index = self._last_indexes.popleft()[1]
        led_since = self._member.leadership_started_at
        for status in known:
            # A new leader has heard nobody yet.
            silent = known_for = now - max(self._first_seen_by_id[status.id], led_since)
            answers = self._member.has_answered(status.id)
            # Under load, a member far away lacks many entries all the time.
            is_behind = (
                answers
                and known_for > TAKE_OVER_SECONDS
                and (status.matched_index or 0) < self._earlier_index
            )
            if status.last_contact_seconds is not None:
                silent = min(silent, status.last_contact_seconds)
            self._record_heard(status.instance, now - silent)
            facts.append(
                MemberFacts(
                    status.id,
                    status.instance,
                    status.role is not Role.LEARNER,
                    silent,
                    self._member.has_caught_up(status.id),
                    answers,
                    is_behind,
                )
            )
        return facts

    def _without_own_silence(self, facts: list[MemberFacts]) -> list[MemberFacts]:
        """Count silence only from when enough voters answered.

        Before that it may have been this member that was cut off or paused.
        """
        now = self._clock.monotonic()
        if not self._member.holds_lease():
            self._without_quorum_at = now
        seconds = now - self._without_quorum_at
        return [
            replace(fact, silent_seconds=min(fact.silent_seconds, seconds))
            for fact in facts
        ]

    def _record_heard(self, instance: InstanceId, heard_at: float) -> None:
        before = self._heard_at_by_instance.get(instance, heard_at)
        self._heard_at_by_instance[instance] = max(before, heard_at)

    def _log_copying_members(self, facts: list[MemberFacts]) -> None:
        """Log, at intervals, how far members that answer are behind."""
        now = self._clock.monotonic()
        behind = {
            fact.id
            for fact in facts
            if not fact.caught_up and (fact.answers or not fact.voter)
        }
        if not behind or now - self._copying_logged_at < COPYING_LOG_INTERVAL_SECONDS:
            return
        self._copying_logged_at = now
        statuses = self._member.member_statuses()
        last_index = max(status.matched_index or 0 for status in statuses)
        for status in statuses:
            if status.id in behind:
                logger.info(
                    "member is catching up",
                    member=status.id,
                    role=status.role.value,
                    matched_index=status.matched_index,
                    last_index=last_index,
                    silent_seconds=status.last_contact_seconds,
                )

    def _joiners(self) -> list[Joiner]:
        """Return the processes that ask to join and can be added now.

        A process that has lost the disk of a member need not ask: over lossy
        links the leader may reach it before its request arrives.
        """
        members = self._member.member_statuses()
        for instance, identity, answered_at in self._member.newcomers():
            joiner = Joiner(identity.member, instance, identity.address)
            self._join_requests.record(
                JoinRequest(joiner, identity.cluster, answered_at), members
            )
        pending = self._join_requests.pending(members, self._clock.monotonic())
        return [request.joiner for request in pending if self._can_be_added(request)]

    def _can_be_added(self, request: JoinRequest) -> bool:
        joiner, cluster = request.joiner, request.cluster
        if cluster is None:
            # The link to a process of an earlier release reports its cluster.
            identity = self._member.contact(joiner.instance, joiner.address)
            if identity is None or identity.member != joiner.id:
                return False
            cluster = identity.cluster
        return self._member.can_be_added(joiner.id, cluster)

    def _check_health(self, facts: list[MemberFacts]) -> None:
        self.monitor.check(facts, self._machines.retiring_instances())
        self._steps.check(facts)

    async def _apply_and_watch(self, change: MembershipChange) -> ProposalResult:
        """Carry out a change; check the members' health until it ends."""
        task = asyncio.create_task(self._apply_change(change))
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=MEMBERSHIP_CHECK_INTERVAL_SECONDS)
                if not task.done():
                    self._check_health(self._member_facts())
        finally:
            task.cancel()
        return await task

    async def _apply_change(self, change: MembershipChange) -> ProposalResult:
        match change:
            case Add(joiner=joiner):
                return await self._member.add_known_learner(
                    joiner.id, joiner.instance, joiner.address
                )
            case Promote(learner=learner):
                return await self._member.promote(learner)
            case Replace(voter=voter, learner=learner):
                return await self._member.replace(voter, learner)
            case Drop(id=member_id):
                return await self._member.remove(member_id)

    async def _on_join(self, message: JoinCluster, _: PeerConnection) -> object:
        return await self.record_join(message)

    async def record_join(
        self, message: JoinCluster
    ) -> JoinNoted | NotLeader | Failure:
        """Record a join request and commit the sender's machine name."""
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        if not is_address(message.address):
            logger.warning(
                "join request with a malformed address refused",
                instance=message.instance,
                address=message.address,
            )
            return Failure(
                RefusalReason.BAD_REQUEST,
                f"{message.address!r} is not an address",
                Verdict.NOT_RUN,
            )
        if message.cluster not in (None, "", self._member.cluster):
            logger.warning(
                "join request of a member of another cluster refused",
                instance=message.instance,
                member=message.member,
                cluster=message.cluster,
            )
            return Failure(
                RefusalReason.CONFLICT,
                f"{message.member} belongs to another cluster",
                Verdict.NOT_RUN,
            )
        joiner = Joiner(message.member, message.instance, message.address)
        now = self._clock.monotonic()
        self._record_heard(message.instance, now)
        request = JoinRequest(joiner, message.cluster, now)
        if self._join_requests.record(request, self._member.member_statuses()):
            self._member.contact(message.instance, message.address)
            self._check_due.set()
        known = self._machines.names_by_instance.get(message.instance)
        if known != message.machine:
            name = NameMachine(message.instance, message.machine)
            if not isinstance(await self._propose(name), Applied):
                return self._member.make_not_leader_reply()
        return JoinNoted()

    async def _propose(self, command: object) -> ProposalResult:
        return await self._member.propose(command)
