"""Benchmark of failover: time without a leader after its process is killed."""

import asyncio
import time

from bench.measure import Spread, report
from demo.deployment import Deployment
from tests.fakes.control_probe import ControlProbe
from tests.fakes.deployments import two_regions

KILLS = 20
ELECTION_TIMEOUT_SECONDS = 2.0
"""The lower bound of the default setting, the divisor of the ratio."""


def run_failover() -> None:
    """Print the time from a leader's kill to the next holder of the lease."""
    seconds = asyncio.run(_kill_leaders())
    report("kill to next lease", "s", [Spread(3, tuple(seconds))])
    ratios = tuple(value / ELECTION_TIMEOUT_SECONDS for value in seconds)
    report("the same by the election timeout", "ratio", [Spread(3, ratios)])


async def _kill_leaders() -> list[float]:
    deployment = Deployment(two_regions(3))
    seconds: list[float] = []
    try:
        await deployment.start()
        probe = ControlProbe(deployment)
        for _ in range(KILLS):
            leader = await probe.leader()
            assert leader.process is not None
            leader.process.kill()
            started = time.monotonic()
            await leader.process.wait()
            await probe.leader(but=leader)
            seconds.append(time.monotonic() - started)
            await deployment.start_instance(leader)
            await deployment.wait_ready(leader)
    finally:
        await deployment.stop()
    return seconds
