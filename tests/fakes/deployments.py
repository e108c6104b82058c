"""Deployments of real processes, started for each test."""

import unittest

from demo.deployment import Deployment, Instance


def two_regions(control_members: int = 1) -> list[Instance]:
    """Return three instances in two regions; control members come first."""
    locations = [
        ("lisboa-a-1", "lisboa-a", "lisboa"),
        ("lisboa-b-1", "lisboa-b", "lisboa"),
        ("porto-a-1", "porto-a", "porto"),
    ]
    return [
        Instance(name, data_centre, region, position < control_members)
        for position, (name, data_centre, region) in enumerate(locations)
    ]


class DeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a deployment before each test and stops it afterwards."""

    control_members = 1

    async def asyncSetUp(self) -> None:
        self.deployment = Deployment(two_regions(self.control_members))
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
