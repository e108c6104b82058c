"""Orders to the platform from real processes with one control member."""

import unittest

from demo.deployment import wait_for
from tests.fakes.deployments import two_regions
from tests.processes.ordering import (
    OrderingDeployment,
    fetch_state,
    platform_settings,
    update_stand_in,
)


class PlatformOrderTests(unittest.IsolatedAsyncioTestCase):
    """Guards the path from a planned target to a settled order."""

    async def asyncSetUp(self) -> None:
        self.deployment = OrderingDeployment(two_regions(1))
        self.addAsyncCleanup(self.deployment.stop)
        self.platform = await self.deployment.start_receiver("platform")
        self.deployment.extra_settings = platform_settings(self.platform)

    async def _targets(self, count: int) -> None:
        async def held(_: object) -> bool:
            return len((await fetch_state(self.platform))["targets"]) == count

        await wait_for(held, f"{count} rented targets")

    async def test_minimum_of_on_demand_targets_is_rented_and_settled(self) -> None:
        """Guards against orders that are sent but never settled."""
        await self.deployment.start()
        await self._targets(2)

        async def settled(_: object) -> bool:
            orders = await self.deployment.operate("GET", "/orders")
            states = [order["state"] for order in orders["settled"]]
            return states == ["done", "done"] and not orders["open"]

        await wait_for(settled, "both orders to be settled")
        state = await fetch_state(self.platform)
        places = {target["data_centre"] for target in state["targets"]}
        self.assertEqual(places, {"lisboa-a", "porto-a"})
        fences = [tuple(arrival["fence"]) for arrival in state["arrivals"]]
        self.assertEqual(fences, sorted(set(fences)))
        self.assertEqual(
            {arrival["sender"] for arrival in state["arrivals"]}, {"lisboa-a-1"}
        )

    async def test_killed_leader_does_not_start_targets_twice(self) -> None:
        """Guards against a second order after a lost answer."""
        await update_stand_in(self.platform, "options", hold=True)
        await self.deployment.start()

        async def under_way(_: object) -> bool:
            return bool((await fetch_state(self.platform))["arrivals"])

        await wait_for(under_way, "an order to be under way")
        leader = self.deployment.instances[0]
        assert leader.process is not None
        leader.process.kill()
        await leader.process.wait()
        await update_stand_in(self.platform, "options", hold=False)
        await self.deployment.start_instance(leader)
        await self.deployment.wait_ready(leader)

        async def settled(_: object) -> bool:
            orders = await self.deployment.operate("GET", "/orders")
            return len(orders["settled"]) == 2 and not orders["open"]

        await wait_for(settled, "both orders to be settled")
        state = await fetch_state(self.platform)
        self.assertEqual(len(state["targets"]), 2)
        results = [arrival["result"] for arrival in state["arrivals"]]
        self.assertIn("repeated", results)
