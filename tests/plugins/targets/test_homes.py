"""Tests of the homes of targets on the paused clock.

They guard against targets that stay listed after they or their home are lost,
and against loads of unknown age.
"""

import asyncio
from types import SimpleNamespace

from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import InstanceId, Revision, TargetId
from goldcrestyard.core.states import TargetState
from goldcrestyard.plugins.targets.commands import RemoveTarget
from goldcrestyard.plugins.targets.home_monitor import HomeMonitor
from goldcrestyard.plugins.targets.homes import Load, TargetHome
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.policy.leases import EntryLease
from goldcrestyard.state.commands import Command
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.plugins.targets.test_slices import TARGET_ID, announce

HOME = InstanceId("e1")


class FakeLink:
    """Commits proposals to a state machine."""

    def __init__(self, machine: object) -> None:
        self.machine = machine
        self.commands: list[Command] = []

    async def propose(self, command: Command) -> Applied:
        self.commands.append(command)
        await asyncio.sleep(0.1)
        return apply(self.machine, command)


class TargetHomeTests(PausedClockTestCase):
    """Renewals and loads tracked at an entry."""

    def setUp(self) -> None:
        self.machine = machine_of(TargetsSlice)
        self.link = FakeLink(self.machine)
        self.home = TargetHome(HOME, self.link, self.clock(), 6.0)

    async def test_silent_target_is_lost_and_one_that_renews_is_not(self) -> None:
        apply(self.machine, announce())
        apply(self.machine, announce(target="u"))
        self.home.track(TARGET_ID, "i1")
        self.home.track(TargetId("u"), "i1")
        task = asyncio.create_task(self.home.run(TargetsSlice()))
        self.addCleanup(task.cancel)
        for _ in range(10):
            await asyncio.sleep(2.0)
            self.assertTrue(self.home.renew(TargetId("u"), "i1"))
        self.assertEqual(list(self.machine.get(TargetsSlice).homed_by_id), ["u"])

    async def test_report_of_an_earlier_home_does_not_remove(self) -> None:
        """Guards against the removal of a target that changed its home."""
        apply(self.machine, announce())
        self.home.track(TARGET_ID, "i1")
        apply(self.machine, announce("e2"))
        task = asyncio.create_task(self.home.run(TargetsSlice()))
        self.addCleanup(task.cancel)
        await asyncio.sleep(10.0)
        expected = RemoveTarget(TARGET_ID, "i1", TargetState.LOST, HOME)
        self.assertEqual(self.link.commands, [expected])
        self.assertIn(TARGET_ID, self.machine.get(TargetsSlice).homed_by_id)

    async def test_load_is_kept_with_its_age(self) -> None:
        """Guards against an older load that replaces a newer one."""
        self.home.track(TARGET_ID, "i1")
        now = self.clock().monotonic()
        newer, older = Load(5, 100, 0.5, now - 1.0), Load(9, 100, 0.5, now - 2.0)
        self.home.renew(TARGET_ID, "i1", newer)
        self.home.renew(TARGET_ID, "i1", older)
        await asyncio.sleep(3.0)
        self.assertEqual(self.home.loads_by_id(), {TARGET_ID: newer})
        self.assertEqual(list(self.home.loads()), [(newer, 4.0)])
        self.assertFalse(self.home.renew(TARGET_ID, "i2", newer))


class HomeMonitorTests(PausedClockTestCase):
    """Removal of the targets of lost homes by the leader."""

    def setUp(self) -> None:
        self.machine = machine_of(TargetsSlice)
        self.member = FakeMember(self.machine, self.clock())
        self.sessions = SimpleNamespace(
            leases_by_entry={HOME: EntryLease(Revision(1), 5.0)}
        )
        apply(self.machine, announce())
        apply(self.machine, announce("e2", target="u"))

    def start(self) -> None:
        clock = self.clock()
        watch = HomeMonitor(self.member, self.sessions, clock, 5.0, 10.0)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)

    def listed(self) -> list[str]:
        return sorted(self.machine.get(TargetsSlice).homed_by_id)

    async def test_targets_of_a_lost_home_are_lost(self) -> None:
        """Guards against targets whose renewals no entry tracks."""
        self.sessions.leases_by_entry[InstanceId("e2")] = EntryLease(1, 1000.0)
        self.start()
        await asyncio.sleep(13.0)
        self.assertEqual(self.listed(), [TARGET_ID, "u"])
        await asyncio.sleep(6.0)
        self.assertEqual(self.listed(), ["u"])

    async def test_target_that_moved_is_kept(self) -> None:
        self.sessions.leases_by_entry[InstanceId("e2")] = EntryLease(1, 1000.0)
        self.start()
        await asyncio.sleep(13.0)
        apply(self.machine, announce("e2"))
        await asyncio.sleep(10.0)
        self.assertEqual(self.listed(), [TARGET_ID, "u"])

    async def test_only_the_holder_of_the_lease_removes(self) -> None:
        """Guards against a deposed leader that removes targets."""
        self.member.lease = False
        self.start()
        await asyncio.sleep(100.0)
        self.assertEqual(self.listed(), [TARGET_ID, "u"])
