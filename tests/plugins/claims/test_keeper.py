"""Tests of the claim manager.

They guard against a call that is sent without a confirmed claim, against a
claim that is not released although its call has not run, against the loss of
an outcome when the caller's connection closes, and against an answer that does
not count in memory for as long as its call runs, or counts for longer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from parameterized import parameterized

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import (
    CorrelationId,
    DataCentre,
    InstanceId,
    LogIndex,
    OrganisationId,
    Region,
    RequestId,
    Term,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.byte_room import ByteRoom
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.claims.commands import (
    ClaimCall,
    ReleaseClaim,
    SettleClaim,
)
from goldcrestyard.plugins.claims.manager import (
    CallResult,
    ClaimedCall,
    ClaimManager,
)
from goldcrestyard.plugins.claims.slices import ClaimsSlice
from goldcrestyard.policy.claims import StoredOutcome
from goldcrestyard.state.commands import Command, Envelope
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec
from tests.fakes.paused_clock import PausedClockTestCase

ENTRY = InstanceId("lisboa-a-1")
OUTCOME = StoredOutcome(200, (), b"done", 4)
CALL_SECONDS = 20.0


def call_of(request: str = "r1", *, id_is_generated: bool = False) -> ClaimedCall:
    """Return a call with the given request id."""
    return ClaimedCall(
        OrganisationId("tejo"),
        RequestId(request),
        id_is_generated,
        "POST desk",
        "f",
        CorrelationId("c"),
        CALL_SECONDS,
    )


@dataclass
class FakeLink:
    """Leader link that applies proposals to a claims slice, with faults.

    Each proposal takes the next of ``faults`` and returns it, unless it is
    None.  For the first ``lost_replies`` faults the command is applied as
    well, as if only the reply was lost.
    """

    machine: StateMachine
    now: Callable[[], float]
    faults: list[ProposalResult | None] = field(default_factory=list)
    lost_replies: int = 0
    proposed: list[Command] = field(default_factory=list)

    async def propose(self, command: Command, **_: Any) -> ProposalResult:
        """Apply a command, unless the next fault prevents it."""
        self.proposed.append(command)
        await asyncio.sleep(0.01)
        fault = self.faults.pop(0) if self.faults else None
        if fault is not None and not self.lost_replies:
            return fault
        envelope = Envelope(command, ENTRY, CorrelationId(""), self.now())
        index = LogIndex(self.machine.applied_index + 1)
        applied = self.machine.apply(index, Term(1), envelope)
        if fault is not None:
            self.lost_replies -= 1
            return fault
        return Applied(index, applied.outcome)


class ClaimManagerTests(PausedClockTestCase):
    """Claims, single sending, settlement and release of calls."""

    async def asyncSetUp(self) -> None:
        clock = self.clock()
        entries = StateMachine([EntriesSlice()])
        entry = Entry(ENTRY, "", "", DataCentre(""), Region(""))
        envelope = Envelope(PutEntry(entry), ENTRY, CorrelationId(""), 0.0)
        entries.apply(LogIndex(1), Term(1), envelope)
        view = EntryView(entries, Codec(), clock)
        self.slice = ClaimsSlice()
        self.link = FakeLink(StateMachine([self.slice]), clock.wall)
        self.claims = ClaimManager(ENTRY, view, self.link, clock)  # type: ignore[arg-type]
        self.sent = 0
        self.room = ByteRoom(1_000_000)
        self.recheck_refusal: Refusal | None = None

    async def run_call(self, call: ClaimedCall | None = None) -> CallResult:
        return await self.claims.run(
            call or call_of(),
            self.send,
            lambda: self.recheck_refusal,
            self.room.lease(),
        )

    async def send(self) -> CallResult:
        self.sent += 1
        await asyncio.sleep(1.0)
        return OUTCOME

    def attempts(self) -> set[str]:
        return {c.attempt for c in self.link.proposed if isinstance(c, ClaimCall)}

    @parameterized.expand(
        [
            ("lost_before_commit", [InDoubt("lost")], 0),
            ("lost_after_commit", [InDoubt("lost")], 1),
            ("no_leader_first", [NotProposed("none"), NotProposed("none")], 0),
            ("doubt_then_no_leader", [InDoubt("lost"), NotProposed("none")], 1),
        ]
    )
    async def test_claim_is_confirmed_before_the_call_is_sent(
        self, _: str, faults: list[ProposalResult | None], lost_replies: int
    ) -> None:
        self.link.faults, self.link.lost_replies = faults, lost_replies
        self.assertEqual(await self.run_call(), OUTCOME)
        self.assertEqual(self.sent, 1)
        self.assertEqual(len(self.attempts()), 1)

    @parameterized.expand(
        [
            ("doubt", InDoubt("lost"), False, Verdict.MAY_HAVE_RUN),
            ("doubt_new_id", InDoubt("lost"), True, Verdict.NOT_RUN),
            ("no_leader", NotProposed("none"), False, Verdict.MAY_HAVE_RUN),
            ("no_leader_new_id", NotProposed("none"), True, Verdict.NOT_RUN),
        ]
    )
    async def test_without_a_confirmed_claim_nothing_is_sent(
        self, _: str, fault: ProposalResult, id_is_generated: bool, verdict: Verdict
    ) -> None:
        self.link.faults = [fault] * 1000
        result = await self.run_call(call_of(id_is_generated=id_is_generated))
        assert isinstance(result, Refusal)
        self.assertIs(result.verdict, verdict)
        self.assertEqual(self.sent, 0)

    async def test_claim_in_doubt_is_released_when_given_up(self) -> None:
        # The claim is applied, but each reply is lost.  Without a release it
        # would stay held for a day although nothing was sent.
        self.link.faults = [InDoubt("lost")] * 30
        self.link.lost_replies = 30
        await self.run_call()
        self.link.faults = []
        await self.claims.drain()
        self.assertEqual(self.slice.claims_by_key, {})
        self.assertEqual(self.sent, 0)

    async def test_resend_waits_for_the_running_call(self) -> None:
        results = await asyncio.gather(*(self.run_call() for _ in range(5)))
        self.assertEqual(results, [OUTCOME] * 5)
        self.assertEqual(self.sent, 1)

    async def test_questions_about_a_running_call_back_off(self) -> None:
        async def slow() -> CallResult:
            self.sent += 1
            await asyncio.sleep(CALL_SECONDS - 1.0)
            return OUTCOME

        first = asyncio.create_task(
            self.claims.run(call_of(), slow, lambda: None, self.room.lease())
        )
        await asyncio.sleep(0.1)
        earlier_proposals = len(self.link.proposed)
        self.assertEqual(await self.run_call(), OUTCOME)
        await first
        self.assertLess(len(self.link.proposed) - earlier_proposals, 20)
        self.assertEqual(self.sent, 1)

    async def test_call_and_outcome_survive_the_caller(self) -> None:
        caller = asyncio.create_task(self.run_call())
        await asyncio.sleep(0.5)
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)
        await self.claims.drain()
        self.assertEqual(await self.run_call(), OUTCOME)
        self.assertEqual(self.sent, 1)

    @parameterized.expand([("caller_stays", False), ("caller_leaves", True)])
    async def test_answer_counts_until_the_call_has_ended(
        self, _: str, leaves: bool
    ) -> None:
        lease = self.room.lease()

        async def answer() -> CallResult:
            await asyncio.sleep(1.0)
            lease.add(1_000)
            await asyncio.sleep(1.0)
            return OUTCOME

        run = self.claims.run(call_of(), answer, lambda: None, lease)
        caller = asyncio.create_task(run)
        await asyncio.sleep(0.5)
        if leaves:
            caller.cancel()
        await asyncio.sleep(1.0)
        self.assertEqual(self.room.held, 1_000)
        await asyncio.gather(caller, return_exceptions=True)
        await self.claims.drain()
        self.assertEqual(self.room.held, 0)

    @parameterized.expand(
        [
            ("not_run", Verdict.NOT_RUN, ReleaseClaim),
            ("may_have_run", Verdict.MAY_HAVE_RUN, SettleClaim),
        ]
    )
    async def test_claim_ends_as_the_verdict_says(
        self, _: str, verdict: Verdict, ending: type
    ) -> None:
        refusal = Refusal(RefusalReason.TARGET_FAILED, "failed", verdict)

        async def fail() -> CallResult:
            return refusal

        result = await self.claims.run(call_of(), fail, lambda: None, self.room.lease())
        self.assertEqual(result, refusal)
        await self.claims.drain()
        self.assertIsInstance(self.link.proposed[-1], ending)
        resent = await self.run_call()
        if verdict is Verdict.NOT_RUN:
            self.assertEqual(resent, OUTCOME)
        else:
            assert isinstance(resent, Refusal)
            self.assertIs(resent.verdict, Verdict.MAY_HAVE_RUN)
            self.assertEqual(self.sent, 0)

    async def test_settlement_is_repeated_until_it_is_committed(self) -> None:
        self.link.faults = [None, *[NotProposed("none")] * 20]
        self.assertEqual(await self.run_call(), OUTCOME)
        await self.claims.drain()
        [claim] = self.slice.claims_by_key.values()
        self.assertEqual(claim.outcome, OUTCOME)

    async def test_objection_after_a_long_wait_stops_the_call(self) -> None:
        # The key is withdrawn while there is no leader to commit the claim.
        self.link.faults = [NotProposed("none")] * 4
        refusal = Refusal(RefusalReason.KEY_WITHDRAWN, "", Verdict.MAY_HAVE_RUN)
        caller = asyncio.create_task(self.run_call())
        await asyncio.sleep(0.05)
        self.recheck_refusal = refusal
        result = await caller
        assert isinstance(result, Refusal)
        self.assertIs(result.reason, RefusalReason.KEY_WITHDRAWN)
        self.assertIs(result.verdict, Verdict.NOT_RUN)
        await self.claims.drain()
        self.assertEqual((self.sent, self.slice.claims_by_key), (0, {}))
