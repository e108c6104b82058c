"""Tests of the leader's handler that replaces control members.

They guard against a second replacement for a repeated request, and against a
replacement that is missing from the audit trail.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from parameterized import parameterized

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, RequestId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.audit.records import NoteOperation
from goldcrestyard.plugins.members.leader_side import MemberRequestHandlers
from goldcrestyard.plugins.members.messages import ReplaceMember, ReplaceMemberReply
from goldcrestyard.state.commands import Accepted
from goldcrestyard.wire.connection import Handlers
from tests.fakes.paused_clock import PausedClockTestCase

OLD = InstanceId("lisboa-b-1")
DONE = Applied(LogIndex(9), Accepted())
IN_DOUBT = InDoubt("has not caught up")
REFUSED = NotProposed("no new member answers")


class FakeMember:
    """A leader whose replacements take a second."""

    leader = OLD

    def __init__(self, result: ProposalResult) -> None:
        self._result = result
        self.replacements = 0
        self.notes: list[NoteOperation] = []

    def holds_lease(self) -> bool:
        """Return that this member leads."""
        return True

    async def replace_member(self, *_: object) -> ProposalResult:
        """Return the prepared result after one second."""
        self.replacements += 1
        await asyncio.sleep(1.0)
        return self._result

    async def propose(self, note: NoteOperation, *_: object) -> ProposalResult:
        """Record a note for the audit trail."""
        self.notes.append(note)
        return DONE


class FakeApplication:
    """Runs background tasks in place of the application."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None], name: str) -> None:
        """Run a task."""
        self._tasks.add(asyncio.create_task(coroutine, name=name))


CASES = [
    ("done", DONE, None, 1, ["started", "accepted"]),
    ("refused", REFUSED, RefusalReason.CONFLICT, 1, ["started", "conflict"]),
    (
        "in_doubt_is_continued",
        IN_DOUBT,
        RefusalReason.UNKNOWN_OUTCOME,
        2,
        ["started", "unknown_outcome"] * 2,
    ),
]


class MemberRequestHandlersTests(PausedClockTestCase):
    """Requests to replace a member."""

    @parameterized.expand(CASES)
    async def test_request_is_resent(
        self,
        _: str,
        result: ProposalResult,
        reason: RefusalReason | None,
        replacements: int,
        noted: list[str],
    ) -> None:
        member: Any = FakeMember(result)
        app: Any = FakeApplication()
        handlers = Handlers()
        MemberRequestHandlers(app, member).register(handlers)
        message = ReplaceMember(
            OLD, OLD, "10.0.0.1:7400", "ana", RequestId("r-1"), CorrelationId("c-1")
        )
        handler = handlers.find(message)
        assert handler is not None
        connection: Any = None
        lost = asyncio.create_task(handler(message, connection))  # type: ignore[arg-type]
        await asyncio.sleep(0.5)
        # The connection of the first request closes before its answer.
        lost.cancel()
        answers = [await handler(message, connection) for _ in range(2)]
        self.assertEqual(member.replacements, replacements)
        for answer in answers:
            assert isinstance(answer, ReplaceMemberReply)
            self.assertIs(answer.reason, reason)
        self.assertEqual([note.result for note in member.notes], noted)
