"""Handlers on the leader for queries about plans and revisions in force."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.operators.commands import (
    InForceReply,
    PlanQuery,
    PlanReply,
    PlansListQuery,
    PlansListReply,
    PlanSummary,
    WaitInForce,
)
from goldcrestyard.plugins.operators.slices import PlansSlice
from goldcrestyard.policy.plans import Plan
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

MAX_IN_FORCE_WAIT_SECONDS = 30.0
MAX_LISTED_PLANS = 1000


class PlanRequestHandlers:
    """Answers queries about plans, and waits for a revision in force.

    A member without the leader's lease answers ``NotLeader``.
    """

    def __init__(self, member: ControlMember, sessions: EntrySessions) -> None:
        self._member = member
        self._sessions = sessions

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of other instances."""
        handlers.add(PlanQuery, self._on_query)
        handlers.add(PlansListQuery, self._on_list_query)
        handlers.add(WaitInForce, self._on_wait)

    async def _on_query(self, message: PlanQuery, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        plans_by_number = self._member.machine.get(PlansSlice).plans_by_number
        return PlanReply(plans_by_number.get(message.number))

    async def _on_list_query(
        self, message: PlansListQuery, _: PeerConnection
    ) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        plans_by_number = self._member.machine.get(PlansSlice).plans_by_number
        limit = max(1, min(message.limit, MAX_LISTED_PLANS))
        latest = list(plans_by_number.values())[-limit:]
        return PlansListReply(tuple(_summary_of(plan) for plan in latest))

    async def _on_wait(self, message: WaitInForce, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        seconds = max(0.0, min(message.seconds, MAX_IN_FORCE_WAIT_SECONDS))
        behind = await self._sessions.wait_in_force(message.revision, seconds)
        # If this member lost the leadership during the wait, its successor
        # may have granted leases that this member does not know.
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        return InForceReply(tuple(behind))


def _summary_of(plan: Plan) -> PlanSummary:
    return PlanSummary(
        plan.number,
        plan.digest,
        plan.base,
        plan.author,
        plan.time,
        len(plan.changes),
        len(plan.warnings),
        plan.confirmation,
    )
