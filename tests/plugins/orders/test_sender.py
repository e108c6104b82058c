"""Tests of the order sender on the paused clock.

They guard against orders sent by a member that no longer leads, orders that
are carried out twice, and orders that are never sent.
"""

import asyncio
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.core.ids import OrderId
from goldcrestyard.plugins.orders.client import OrderClient
from goldcrestyard.plugins.orders.commands import IntendOrders, TakeOverOrders
from goldcrestyard.plugins.orders.sender import OrderSender
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settlements import SettlementBatcher
from goldcrestyard.plugins.orders.slices import OrdersSlice
from goldcrestyard.policy.orders import Guards, OrderAnswer, OrderState
from goldcrestyard.state.machine import StateMachine
from tests.fakes.member import FakeMember, apply, machine_of
from tests.fakes.paused_clock import EPOCH, PausedClockTestCase
from tests.plugins.orders.receivers import STEP_SECONDS, FakeReceiver, headers_of, order

QUIET_SECONDS = 3.0
FENCING = Guards(checks_fencing=True)
KEYS = Guards(honours_keys=True)
BOTH = Guards(checks_fencing=True, honours_keys=True)
LOOK_UP = Guards(can_look_up=True)
NONE = Guards()

STEPS_BEFORE_THE_LAST_CHUNK = ["connecting", "connected", "sending", "sent"]


class SenderTestCase(PausedClockTestCase):
    """Runs senders on members that share a state machine."""

    def setUp(self) -> None:
        self.machine = machine_of(OrdersSlice)
        self.orders = self.machine.get(OrdersSlice)

    def member(self, machine: StateMachine | None = None, name: str = "m1"):
        return FakeMember(machine or self.machine, self.clock(), name)

    async def start(
        self, member: FakeMember, receiver: FakeReceiver, **settings: object
    ):
        options = OrderSettings(order_quiet_seconds=QUIET_SECONDS, **settings)
        sender = OrderSender(
            member,
            OrderClient(receiver, options, member.holds_lease, member.instance),
            receiver,
            SettlementBatcher(member),
            self.clock(),
            options,
        )
        task = asyncio.create_task(sender.run())
        self.addAsyncCleanup(self._stop, task)
        # Lets the leadership begin before the test commits its orders.
        await asyncio.sleep(0)
        return task

    async def _stop(self, task: "asyncio.Task[None]") -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def intend(self, *orders: object, term: int = 1) -> None:
        now = EPOCH + asyncio.get_running_loop().time()
        for each in orders:
            apply(self.machine, IntendOrders((each,)), term, now)

    def state(self, order_id: str = "o1") -> OrderState | None:
        record = self.orders.find(OrderId(order_id))
        return record.state if record is not None else None


class LeaseCheckTests(SenderTestCase):
    """The lease is checked in the step that completes the request."""

    @parameterized.expand([(step,) for step in STEPS_BEFORE_THE_LAST_CHUNK])
    async def test_no_whole_request_after_the_lease_is_lost(self, step: str) -> None:
        """Guards against an order from a deposed leader.

        The lease is lost at each step before the request is complete.
        """
        member = self.member()

        def lose(reached: str) -> None:
            if reached == step:
                member.lease = False

        receiver = FakeReceiver(on_step=lose)
        await self.start(member, receiver)
        self.intend(order())
        await asyncio.sleep(QUIET_SECONDS + 20)
        self.assertEqual(receiver.requests, [])
        self.assertIs(self.state(), OrderState.OPEN)
        self.assertEqual(receiver.open_connections, 0)
        receiver.on_step = lambda reached: None
        member.lease = True
        await asyncio.sleep(20)
        self.assertEqual(receiver.carried_out, ["o1"])
        self.assertIs(self.state(), OrderState.DONE)

    async def test_lost_leadership_aborts_what_is_under_way(self) -> None:
        """Guards against a task that goes on after its member's leadership."""
        member = self.member()

        def lose(reached: str) -> None:
            if reached == "sending":
                member.is_leader = False

        receiver = FakeReceiver(on_step=lose)
        await self.start(member, receiver)
        self.intend(order())
        await asyncio.sleep(QUIET_SECONDS + 20)
        self.assertEqual(receiver.requests, [])
        self.assertEqual(receiver.open_connections, 0)

    async def test_new_leader_is_quiet_first(self) -> None:
        """Guards against an order sent before the previous leader's arrive."""
        member = self.member()
        receiver = FakeReceiver()
        await self.start(member, receiver)
        self.intend(order())
        await asyncio.sleep(QUIET_SECONDS - 0.1)
        self.assertEqual(receiver.open_connections, 0)
        self.assertEqual(receiver.requests, [])
        await asyncio.sleep(2.0)
        self.assertEqual(receiver.carried_out, ["o1"])
        self.assertIn(TakeOverOrders("m1"), member.proposed)

    async def test_request_names_order_and_fencing_number(self) -> None:
        """Guards against orders that a receiver cannot tell apart."""
        member = self.member()
        receiver = FakeReceiver()
        await self.start(member, receiver)
        self.intend(order("o1"), order("o2"))
        await asyncio.sleep(QUIET_SECONDS + 10)
        heads = [headers_of(request) for request in receiver.requests]
        self.assertEqual([h["idempotency-key"] for h in heads], ["o1", "o2"])
        self.assertEqual([h["x-fencing-term"] for h in heads], ["1", "1"])
        self.assertEqual([h["x-fencing-index"] for h in heads], ["1", "2"])


@dataclass(frozen=True)
class TakeoverCase:
    """Guards of a receiver, and whether the old leader's order reached it.

    The other fields are the expected results after the take-over.
    """

    name: str
    guards: Guards
    reached: bool
    state: OrderState
    carried_out: int
    sent_by_new: int
    looked_up: bool = False


TAKEOVER_CASES = [
    TakeoverCase("fencing_reached", FENCING, True, OrderState.DONE, 1, 1),
    TakeoverCase("fencing_not_reached", FENCING, False, OrderState.DONE, 1, 1),
    TakeoverCase("keys_reached", KEYS, True, OrderState.DONE, 1, 1),
    TakeoverCase("keys_not_reached", KEYS, False, OrderState.DONE, 1, 1),
    TakeoverCase("both_reached", BOTH, True, OrderState.DONE, 1, 1),
    TakeoverCase("both_not_reached", BOTH, False, OrderState.DONE, 1, 1),
    TakeoverCase("look_up_reached", LOOK_UP, True, OrderState.DONE, 1, 0, True),
    TakeoverCase("look_up_not_reached", LOOK_UP, False, OrderState.DONE, 1, 1, True),
    TakeoverCase("nothing_reached", NONE, True, OrderState.IN_DOUBT, 1, 0),
    TakeoverCase("nothing_not_reached", NONE, False, OrderState.IN_DOUBT, 0, 0),
]


class TakeoverTests(SenderTestCase):
    """A new leader finds an open order of the previous one."""

    @parameterized.expand([(case.name, case) for case in TAKEOVER_CASES])
    async def test_open_order_of_the_last_leader(
        self, _: str, case: TakeoverCase
    ) -> None:
        """Guards against orders carried out twice, or lost without trace."""
        old = self.member(name="old")
        receiver = FakeReceiver(case.guards)

        def die(reached: str) -> None:
            if reached == ("answering" if case.reached else "sending"):
                task.cancel()

        receiver.on_step = die
        task = await self.start(old, receiver)
        self.intend(order(guards=case.guards))
        await asyncio.sleep(QUIET_SECONDS + 5)
        self.assertTrue(task.done())
        self.assertEqual(len(receiver.requests), int(case.reached))
        receiver.on_step = lambda reached: None
        receiver.requests.clear()
        new = self.member(name="new")
        new.lead(2)
        await self.start(new, receiver)
        await asyncio.sleep(QUIET_SECONDS + 20)
        self.assertIs(self.state(), case.state)
        self.assertEqual(len(receiver.carried_out), case.carried_out)
        self.assertEqual(len(receiver.requests), case.sent_by_new)
        self.assertEqual(bool(receiver.looked_up), case.looked_up)
        for request in receiver.requests:
            self.assertEqual(headers_of(request)["idempotency-key"], "o1")

    async def test_frozen_leader_is_fenced_out_by_a_repeated_order(self) -> None:
        """Guards against a late order from a leader that was suspended."""
        receiver = FakeReceiver(BOTH)
        self.intend(order("o1", BOTH), order("o2", BOTH))
        late = self.orders.open_by_id[OrderId("o2")]
        new = self.member(name="new")
        new.lead(2)
        await self.start(new, receiver)
        await asyncio.sleep(QUIET_SECONDS + STEP_SECONDS * 2.5)
        self.assertEqual(receiver.carried_out, ["o1"])
        old = self.member(name="old")
        client = OrderClient(receiver, OrderSettings(), lambda: True, old.instance)
        answer = await client.send(late)
        self.assertIsInstance(answer, OrderAnswer)
        self.assertEqual(answer.status, 409)
        await asyncio.sleep(20)
        self.assertEqual(receiver.carried_out, ["o1", "o2"])

    async def test_numbers_only_rise_after_a_renumbering(self) -> None:
        """Guards against a token below one that the same leader has sent.

        The renumbered order gets a higher token than the order after it, which
        the receiver would then refuse.
        """
        receiver = FakeReceiver(BOTH)
        self.intend(order("o1", BOTH))
        new = self.member(name="new")
        new.lead(2)
        await self.start(new, receiver)
        self.intend(order("o2", BOTH), term=2)
        await asyncio.sleep(QUIET_SECONDS + 20)
        self.assertEqual(receiver.carried_out, ["o1", "o2"])
        self.assertEqual(receiver.refused_as_stale, [])


@dataclass(frozen=True)
class FaultCase:
    """A fault of the receiver and the expected outcome of the order."""

    name: str
    receiver: FakeReceiver
    state: OrderState
    carried_out: int
    seconds_to_live: float = 60.0


FAULT_CASES = [
    FaultCase(
        "refused_connections", FakeReceiver(fail_connections=3), OrderState.DONE, 1
    ),
    FaultCase(
        "never_reached",
        FakeReceiver(fail_connections=10**6),
        OrderState.EXPIRED,
        0,
        10.0,
    ),
    FaultCase(
        "refused_by_the_receiver",
        FakeReceiver(answer=OrderAnswer(422, b"{}")),
        OrderState.REFUSED,
        0,
    ),
    FaultCase(
        "busy_until_the_deadline",
        FakeReceiver(answer=OrderAnswer(503, b"{}")),
        OrderState.EXPIRED,
        0,
        10.0,
    ),
    FaultCase("lost_answer", FakeReceiver(lose_answers=1), OrderState.IN_DOUBT, 1),
    FaultCase(
        "lost_answer_with_keys",
        FakeReceiver(KEYS, lose_answers=2),
        OrderState.DONE,
        1,
    ),
    FaultCase(
        "lost_answer_with_fencing",
        FakeReceiver(FENCING, lose_answers=1),
        OrderState.DONE,
        1,
    ),
    FaultCase(
        "lost_answer_with_look_up",
        FakeReceiver(LOOK_UP, lose_answers=1),
        OrderState.DONE,
        1,
    ),
    FaultCase(
        "answers_never_come",
        FakeReceiver(KEYS, lose_answers=10**6),
        OrderState.IN_DOUBT,
        1,
        10.0,
    ),
]


class TroubleTests(SenderTestCase):
    """Retries, refusals and deadlines."""

    @parameterized.expand([(case.name, case) for case in FAULT_CASES])
    async def test_outcome(self, _: str, case: FaultCase) -> None:
        """Guards against an unsafe retry, and against a false "done"."""
        member = self.member()
        await self.start(member, case.receiver)
        self.intend(
            order(guards=case.receiver.guards, seconds_to_live=case.seconds_to_live)
        )
        await asyncio.sleep(QUIET_SECONDS + 120)
        self.assertIs(self.state(), case.state)
        self.assertEqual(len(case.receiver.carried_out), case.carried_out)

    async def test_connections_are_bounded(self) -> None:
        """Guards against a connection to every engine at the same time."""
        member = self.member()
        receiver = FakeReceiver()
        await self.start(member, receiver, concurrency=4)
        self.intend(*(order(f"o{n}", receiver=f"r{n}") for n in range(20)))
        await asyncio.sleep(QUIET_SECONDS + 30)
        self.assertEqual(len(receiver.carried_out), 20)
        self.assertEqual(receiver.most_connections, 4)

    async def test_silent_receiver_does_not_hold_up_another(self) -> None:
        """Guards against a receiver whose orders block those to others."""
        member = self.member()
        receiver = FakeReceiver(lose_answers=1, silent_to="o1")
        await self.start(member, receiver)
        guards = LOOK_UP
        self.intend(order("o1", guards), order("o2", receiver="r2"))
        await asyncio.sleep(QUIET_SECONDS + 2)
        self.assertIs(self.state("o1"), OrderState.OPEN)
        self.assertIs(self.state("o2"), OrderState.DONE)
