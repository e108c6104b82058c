"""A real control member whose log on disk is damaged while it is down."""

import asyncio

from demo.deployment import Instance
from tests.fakes.deployments import DeploymentTestCase

EXIT_TIMEOUT_SECONDS = 30.0


class DamagedFolderTests(DeploymentTestCase):
    """Guards against a member that starts with a damaged log.

    It could vote or answer from entries that differ from what it had
    acknowledged.  One bit of the log is flipped here.
    """

    async def test_damaged_log_keeps_the_daemon_from_starting(self) -> None:
        instance = self.deployment.instances[0]
        for number in range(5):
            await self.deployment.add_organisation(f"o{number}")
        await self._kill(instance)
        folder = self.deployment.folder / instance.id / "log"
        (segment,) = folder.glob("*.log")
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 0x10
        segment.write_bytes(data)
        await self.deployment.start_instance(instance)
        assert instance.process is not None
        async with asyncio.timeout(EXIT_TIMEOUT_SECONDS):
            self.assertNotEqual(await instance.process.wait(), 0)
        log = (self.deployment.folder / f"{instance.id}.log").read_text()
        self.assertIn("Replace this member from the others", log)

    async def _kill(self, instance: Instance) -> None:
        assert instance.process is not None
        instance.process.kill()
        await instance.process.wait()
