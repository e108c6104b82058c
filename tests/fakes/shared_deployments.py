"""A deployment of real processes shared by the tests of a class."""

import asyncio
import unittest
from typing import Any, ClassVar

from demo.deployment import Deployment
from tests.fakes.deployments import two_regions


class SharedDeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts one deployment for all tests of a class.

    For tests that leave the deployment unchanged.  The processes belong to an
    event loop of the class; each test has its own loop and uses only the
    processes' addresses.
    """

    control_members = 1
    overrides_by_section: ClassVar[dict[str, dict[str, Any]]] = {}
    deployment: ClassVar[Deployment]
    _runner: ClassVar[asyncio.Runner]

    @classmethod
    def setUpClass(cls) -> None:
        cls._runner = asyncio.Runner()
        cls.addClassCleanup(cls._runner.close)
        cls.deployment = Deployment(
            two_regions(cls.control_members),
            overrides_by_section=cls.overrides_by_section,
        )
        cls.addClassCleanup(lambda: cls._runner.run(cls.deployment.stop()))
        cls._runner.run(cls._start())

    @classmethod
    async def _start(cls) -> None:
        await cls.deployment.start()
        await cls.prepare()

    @classmethod
    async def prepare(cls) -> None:
        """Start what the tests need besides instances; for subclasses."""
