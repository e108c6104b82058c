"""Tests of the usage meter and the window closer on the paused clock.

They guard against attempts that are counted twice or lost between an entry
and the log, and against windows closed by a deposed leader.
"""

import asyncio
from dataclasses import dataclass, field

from parameterized import parameterized

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.plugins.orders.commands import Receiver, ReceiverId
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.plugins.usage.meter import UsageMeter
from goldcrestyard.plugins.usage.settings import UsageSettings
from goldcrestyard.plugins.usage.slices import UsageSlice
from goldcrestyard.plugins.usage.window_closer import WindowCloser
from goldcrestyard.state.commands import Command
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase


@dataclass
class FakeLink:
    """Commits to a state machine; each fault affects one proposal.

    ``lost`` commits but reports a proposal in doubt; ``doubt`` and
    ``refused`` commit nothing.
    """

    machine: object
    faults: list[str] = field(default_factory=list)
    commands: list[Command] = field(default_factory=list)

    async def propose(self, command: Command) -> ProposalResult:
        self.commands.append(command)
        await asyncio.sleep(0.1)
        match self.faults.pop(0) if self.faults else "":
            case "refused":
                return NotProposed("no leader")
            case "doubt":
                return InDoubt("no answer")
            case "lost":
                self._apply(command)
                return InDoubt("no answer")
        return self._apply(command)

    def _apply(self, command: Command) -> Applied:
        now = EPOCH + asyncio.get_running_loop().time()
        return apply(self.machine, command, time=now)


class MeterTests(PausedClockTestCase):
    """Usage in the log for the attempts that an entry records."""

    def setUp(self) -> None:
        self.machine = machine_of(OrdersSlice, UsageSlice)
        self.link = FakeLink(self.machine)

    def meter(self) -> UsageMeter:
        return UsageMeter("e1", self.link, self.clock(), 3600, 30.0)

    def start(self, meter: UsageMeter) -> None:
        task = asyncio.create_task(meter.run())
        self.addCleanup(task.cancel)

    def attempts(self) -> int:
        windows = self.machine.get(UsageSlice).open_by_window.values()
        return sum(line.attempts for lines in windows for line in lines.values())

    @parameterized.expand(
        [
            ("no_fault", []),
            ("no_leader", ["refused"] * 5),
            ("commit_in_doubt", ["doubt"]),
            ("answer_lost", ["lost"]),
            ("answers_lost_in_a_row", ["lost", "lost", "refused", "lost"]),
        ]
    )
    async def test_each_attempt_counts_once(self, _: str, faults: list[str]) -> None:
        meter = self.meter()
        self.link.faults = faults
        self.start(meter)
        for number in range(200):
            meter.record("tejo", "lm", 10, 20, f"a{number}")
            await asyncio.sleep(1.0)
        await asyncio.sleep(60.0)
        self.assertEqual(self.attempts(), 200)

    async def test_repeated_attempt_counts_once(self) -> None:
        meter = self.meter()
        for _ in range(3):
            meter.record("tejo", "lm", 10, 20, "a1")
        self.assertTrue(await meter.flush())
        self.assertEqual(self.attempts(), 1)

    async def test_busy_entry_sends_once_in_an_interval(self) -> None:
        """Guards against a message to the leader for each request."""
        meter = self.meter()
        self.start(meter)
        for number in range(3000):
            meter.record("tejo", "lm", 10, 20, f"a{number}")
            await asyncio.sleep(0.1)
        self.assertLessEqual(len(self.link.commands), 300 / 30 + 2)

    async def test_planned_stop_sends_what_is_left(self) -> None:
        """Guards against usage that is lost in a planned stop."""
        meter = self.meter()
        self.link.faults = ["refused", "lost"]
        meter.record("tejo", "lm", 10, 20, "a1")
        await meter.flush_before_stop()
        self.assertEqual(self.attempts(), 1)


class ClosingTests(PausedClockTestCase):
    """Closing of windows by the leader."""

    async def test_only_the_holder_of_the_lease_closes(self) -> None:
        """Guards against windows closed by a deposed leader."""
        machine = machine_of(OrdersSlice, UsageSlice)
        member = FakeMember(machine, self.clock())
        settings = UsageSettings(
            "127.0.0.1:1", window_seconds=10, grace_seconds=3.0, flush_seconds=1.0
        )
        receiver = Receiver(ReceiverId("usage"), settings.address)
        closer = WindowCloser(member, self.clock(), settings, receiver)
        task = asyncio.create_task(closer.run())
        self.addCleanup(task.cancel)
        member.lease = False
        await asyncio.sleep(30.0)
        self.assertEqual(machine.get(UsageSlice).last_closed, 0)
        member.lease = True
        await asyncio.sleep(1.0)
        self.assertEqual(machine.get(UsageSlice).last_closed, EPOCH + 20)
        await asyncio.sleep(10.0)
        self.assertEqual(machine.get(UsageSlice).last_closed, EPOCH + 30)
