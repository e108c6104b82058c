"""Orders to the platform while the leader is killed or suspended.

The tests guard against orders from two processes that both believe they lead,
and against targets that are started twice because the answer to an order was
lost.
"""

import signal
import unittest
from dataclasses import dataclass, field
from typing import Any

from parameterized import parameterized

from demo.deployment import wait_for
from tests.fakes.deployments import two_regions
from tests.processes.ordering import (
    OrderingDeployment,
    fetch_state,
    platform_settings,
    update_stand_in,
    wait_settled,
)


@dataclass(frozen=True)
class Case:
    """The abilities of a platform and a fault of the leader."""

    name: str
    fault: signal.Signals
    options: tuple[str, ...]
    settings: dict[str, Any] = field(default_factory=dict)
    in_doubt: bool = False


NO_FENCING = {"checks_fencing": False}
LOOK_UP_ONLY = {"checks_fencing": False, "honours_keys": False}
NOTHING = {**LOOK_UP_ONLY, "can_look_up": False}
IGNORES_ALL = ("--ignore-fencing", "--ignore-keys")

# The other combinations are in tests.plugins.orders.test_sender, without
# processes and with simulated time.
CASES = [
    Case("killed_fencing", signal.SIGKILL, ()),
    Case("killed_look_up_only", signal.SIGKILL, IGNORES_ALL, LOOK_UP_ONLY),
    Case("killed_nothing", signal.SIGKILL, IGNORES_ALL, NOTHING, in_doubt=True),
    Case("stopped_fencing", signal.SIGSTOP, ()),
    Case("stopped_keys_only", signal.SIGSTOP, ("--ignore-fencing",), NO_FENCING),
    Case("stopped_nothing", signal.SIGSTOP, IGNORES_ALL, NOTHING, in_doubt=True),
]


class FailoverTests(unittest.IsolatedAsyncioTestCase):
    """The leader fails while one of its orders is unanswered."""

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_order_under_way(self, _: str, case: Case) -> None:
        deployment = OrderingDeployment(two_regions(3))
        self.addAsyncCleanup(deployment.stop)
        platform = await deployment.start_receiver("platform", *case.options)
        deployment.extra_settings = platform_settings(platform, **case.settings)
        await update_stand_in(platform, "options", hold=True)
        await deployment.start()

        async def under_way(_: object) -> bool:
            return bool((await fetch_state(platform))["arrivals"])

        await wait_for(under_way, "an order to be under way")
        old = (await fetch_state(platform))["arrivals"][0]["sender"]
        process = deployment.processes_by_name[old]
        process.send_signal(case.fault)
        await update_stand_in(platform, "options", hold=False)
        orders = await wait_settled(deployment, not_by=old, at_least=2)
        self.assertEqual(bool(orders["in_doubt"]), case.in_doubt)
        new = orders["sender"]
        if case.fault is signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
        # The loss of a target makes the current leader order another one.
        lost = (await fetch_state(platform))["targets"][0]["id"]
        await update_stand_in(platform, "state", lost_targets=[lost])

        async def replaced(_: object) -> bool:
            targets = (await fetch_state(platform))["targets"]
            return len(targets) == 2 and lost not in {t["id"] for t in targets}

        await wait_for(replaced, "the lost target to be replaced")
        await wait_settled(deployment, at_least=3)
        self._check(await fetch_state(platform), old, new)

    def _check(self, state: Any, old: str, new: str) -> None:
        senders = [arrival["sender"] for arrival in state["arrivals"]]
        self.assertEqual(senders, sorted(senders, key=[old, new].index))
        self.assertEqual(set(senders), {old, new})
        ids = [order["order_id"] for order in state["carried_out"]]
        self.assertEqual(len(ids), len(set(ids)), "an order was carried out twice")
        self.assertEqual(len(ids), 3)
        self.assertEqual(len(state["targets"]), 2)
