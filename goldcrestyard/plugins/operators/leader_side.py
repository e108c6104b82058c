"""What the leader answers to the operators' interface of any instance."""

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.membership.entry_sessions import EntrySessions
from goldcrestyard.plugins.operators.commands import (
    InForceReply,
    PlansQuery,
    PlansReply,
    WaitInForce,
)
from goldcrestyard.plugins.operators.slices import PlansSlice
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import NotLeader

MAX_WAIT_SECONDS = 30.0
MAX_PLANS = 1000


class PlansAtLeader:
    """Serves plans, and says when a revision is in force."""

    def __init__(self, member: ControlMember, sessions: EntrySessions) -> None:
        self._member = member
        self._sessions = sessions

    def register(self, handlers: Handlers) -> None:
        """Serve the messages of other instances."""
        handlers.add(PlansQuery, self._on_query)
        handlers.add(WaitInForce, self._on_wait)

    async def _on_query(self, message: PlansQuery, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        plans_by_number = self._member.machine.get(PlansSlice).plans_by_number
        if message.number is not None:
            plan = plans_by_number.get(message.number)
            return PlansReply((plan,) if plan is not None else ())
        limit = max(1, min(message.limit, MAX_PLANS))
        return PlansReply(tuple(plans_by_number.values())[-limit:])

    async def _on_wait(self, message: WaitInForce, _: PeerConnection) -> object:
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        seconds = max(0.0, min(message.seconds, MAX_WAIT_SECONDS))
        behind = await self._sessions.wait_in_force(message.revision, seconds)
        # A member that lost the leadership meanwhile no longer knows the
        # leases that its successor grants.
        if not self._member.holds_lease():
            return NotLeader(self._member.leader)
        return InForceReply(tuple(behind))
