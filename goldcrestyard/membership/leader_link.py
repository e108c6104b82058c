"""An entry's connection to the leader, used for proposals."""

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

PROPOSAL_SECONDS = 5.0
"""Longest wait for a commit; an election takes up to about 3 s."""


class LeaderLink:
    """Sends proposals to the leader over the subscription's connection."""

    def __init__(self, instance: InstanceId, codec: Codec) -> None:
        self._instance = instance
        self._codec = codec
        self._connection: PeerConnection | None = None
        self._connected = asyncio.Event()
        self._observers: list[Callable[[ProposalResult], None]] = []

    def observe_proposals(self, observer: Callable[[ProposalResult], None]) -> None:
        """Call a function with the result of each proposal."""
        self._observers.append(observer)

    def attach(self, connection: PeerConnection) -> None:
        """Use a connection to the current leader."""
        self._connection = connection
        self._connected.set()

    def detach(self) -> None:
        """Stop using the connection; proposals wait for the next one."""
        self._connection = None
        self._connected.clear()

    @property
    def leader(self) -> InstanceId | None:
        """The instance to which proposals go, if one is known."""
        return self._connection.peer if self._connection is not None else None

    async def request(self, message: object, timeout: float) -> object:
        """Send any request to the leader, waiting for one if none is known.

        Returns the reply, ``NotSent`` or ``NoAnswer``.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._connected.wait()
        except TimeoutError:
            return NotSent("no leader is known")
        if self._connection is None:
            return NotSent("the leader has just been lost")
        return await self._connection.request(message, timeout)

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
        timeout: float = PROPOSAL_SECONDS,
    ) -> ProposalResult:
        """Commit a command through the leader and return its outcome."""
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
                return NotProposed("the asked member does not lead", leader)
            case Failure(detail=detail, verdict=Verdict.NOT_RUN):
                return NotProposed(detail)
            case Failure(detail=detail) | NoAnswer(detail=detail):
                return InDoubt(detail)
            case _:
                return InDoubt(f"unexpected reply {type(reply).__name__}")
