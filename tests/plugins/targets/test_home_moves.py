"""Tests of the report of lost targets by their home.

They guard against a live target that is reported as lost because it renews at
another home, and against a lost target that is not reported.
"""

import asyncio
from typing import Any

from parameterized import parameterized

from goldcrestyard.consensus.results import Applied, NotProposed, ProposalResult
from goldcrestyard.core.ids import (
    CorrelationId,
    DataCentre,
    InstanceId,
    LogIndex,
    Region,
    TargetId,
    Term,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Envelope
from tests.fakes.paused_clock import PausedClockTestCase

HERE = InstanceId("lisboa-a-1")
ELSEWHERE = InstanceId("porto-a-1")
LOST_SECONDS = 6.0
ENGINE = Target(
    TargetId("engine-1"),
    TargetKind.ENGINE,
    "127.0.0.1:1",
    DataCentre("lisboa-a"),
    Region("lisboa"),
    ("inspect-lm",),
    incarnation="i1",
)


class RecordingLink:
    """Records proposals, of which the first ``failures`` fail."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.proposed: list[Command] = []

    async def propose(self, command: Command, **_: Any) -> ProposalResult:
        """Record a proposal."""
        self.proposed.append(command)
        if len(self.proposed) <= self.failures:
            return NotProposed("no leader")
        return Applied(LogIndex(1), Accepted())


class HomeTests(PausedClockTestCase):
    """Reports of a target that has stopped renewing at this home."""

    @parameterized.expand(
        [
            ("homed_here", HERE, 0, 1),
            ("homed_here_no_leader", HERE, 2, 3),
            ("renews_at_another_home", ELSEWHERE, 0, 0),
            ("already_removed", None, 0, 1),
        ]
    )
    async def test_report(
        self, _: str, home_now: InstanceId | None, failures: int, proposals: int
    ) -> None:
        targets = TargetsSlice()
        if home_now is not None:
            command = AnnounceTarget(ENGINE, home_now)
            envelope = Envelope(command, HERE, CorrelationId(""), 0.0)
            context = CommandContext(LogIndex(1), Term(1), envelope)
            targets.apply(command, context)
        link = RecordingLink(failures)
        home = TargetHome(HERE, link, self.clock(), LOST_SECONDS)  # type: ignore[arg-type]
        home.track(ENGINE.id, ENGINE.incarnation)
        running = asyncio.create_task(home.run(targets))
        await asyncio.sleep(LOST_SECONDS - 1.0)
        self.assertEqual(link.proposed, [])
        await asyncio.sleep(LOST_SECONDS)
        running.cancel()
        self.assertEqual(len(link.proposed), proposals)
        self.assertFalse(home.renew(ENGINE.id, ENGINE.incarnation))
