"""An entry's requests and proposals to the leader.

``Subscription`` finds the leader and attaches its connection here.
Without a connection, requests wait for one, up to their time-out.
"""

import asyncio
from collections.abc import Callable

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import CorrelationId, InstanceId
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.state.commands import Command
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import NoAnswer, NotSent, PeerConnection
from goldcrestyard.wire.messages import Failure, NotLeader, Propose, ProposeReply

PROPOSAL_TIMEOUT_SECONDS = 5.0
"""Maximum time to wait for a commit.  It must be longer than an election,
which takes up to about 3 s."""


class LeaderLink:
    """Sends requests to the leader over the subscription's connection."""

    def __init__(self, instance: InstanceId, codec: Codec) -> None:
        self._instance = instance
        self._codec = codec
        self._connection: PeerConnection | None = None
        self._connected = asyncio.Event()
        self._observers: list[Callable[[ProposalResult], None]] = []

    def observe_proposals(self, observer: Callable[[ProposalResult], None]) -> None:
        """Register a function to call with the result of each proposal."""
        self._observers.append(observer)

    def attach(self, connection: PeerConnection) -> None:
        """Use a connection to the current leader."""
        self._connection = connection
        self._connected.set()

    def detach(self) -> None:
        """Stop using the connection; new requests wait for the next one."""
        self._connection = None
        self._connected.clear()

    @property
    def leader(self) -> InstanceId | None:
        """The leader at the other end of the connection; None without one."""
        return self._connection.peer if self._connection is not None else None

    async def request(self, message: object, timeout: float) -> object:
        """Send a request to the leader; wait for a leader if none is known.

        Returns the reply, ``NotSent`` or ``NoAnswer``.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._connected.wait()
        except TimeoutError:
            return NotSent("no leader is known")
        if self._connection is None:
            return NotSent("the connection to the leader was lost")
        return await self._connection.request(message, timeout)

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
        timeout: float = PROPOSAL_TIMEOUT_SECONDS,
    ) -> ProposalResult:
        """Propose a command to the leader and wait until it is committed.

        An empty ``author`` stands for this instance.  The result states
        whether the command was applied, was not proposed, or is in doubt.
        """
        message = Propose(
            self._codec.encode(command), author or self._instance, correlation_id
        )
        result = self._result_of(await self.request(message, timeout))
        for observer in self._observers:
            observer(result)
        return result

    def _result_of(self, reply: object) -> ProposalResult:
        match reply:
            case ProposeReply(index=index, outcome=outcome):
                return Applied(index, self._codec.decode(outcome))
            case NotSent(detail=detail):
                return NotProposed(detail)
            case NotLeader(leader=leader):
                return NotProposed("the contacted member is not the leader", leader)
            case Failure(reason=reason, detail=detail, verdict=Verdict.NOT_RUN):
                return NotProposed(detail, reason=reason)
            case Failure(detail=detail) | NoAnswer(detail=detail):
                return InDoubt(detail)
            case _:
                return InDoubt(f"unexpected reply {type(reply).__name__}")
