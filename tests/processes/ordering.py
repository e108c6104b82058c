"""Helpers for tests of orders and usage reports with real processes.

They start a deployment together with stand-ins for the platform and the usage
interface, write the settings for them, and read or change their state.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp

from demo.deployment import Deployment, Instance, free_port, wait_for
from goldcrestyard.core.ids import CorrelationId, InstanceId
from goldcrestyard.kernel import registry
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import Propose, ProposeReply


@dataclass
class OrderingDeployment(Deployment):
    """A deployment that sends orders or usage reports to stand-ins."""

    extra_settings: str = ""
    """Sections that are appended to the settings of every instance."""

    def settings_of(self, instance: Instance) -> str:
        """Return the settings of an instance with the extra sections."""
        return super().settings_of(instance) + self.extra_settings

    async def start_receiver(self, name: str, *options: str) -> str:
        """Start a stand-in receiver; return its address."""
        port = free_port()
        address = f"127.0.0.1:{port}"
        await self.start_process(name, f"demo.fakes.{name}", f"--port={port}", *options)

        async def answers(_: object) -> bool:
            return bool(await fetch_state(address) is not None)

        await wait_for(answers, f"{name} to answer")
        return address


async def fetch_orders(deployment: Deployment, instance: Instance) -> Any:
    """Return the orders that a control member lists.

    None means that it did not answer within 1 s.
    """
    headers = {"authorization": f"Bearer {deployment.operator_key}"}
    timeout = aiohttp.ClientTimeout(total=1.0)
    url = f"http://{instance.admin}/operator/v1/orders"
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.get(url) as answer,
        ):
            return await answer.json()
    except (aiohttp.ClientError, TimeoutError):
        return None


async def wait_settled(
    deployment: Deployment, *, not_by: str = "", at_least: int = 0
) -> Any:
    """Wait until a leader lists no open order and return its list.

    The answer of the instance ``not_by`` is ignored.  At least ``at_least``
    orders must be settled or in doubt.
    """
    found: list[Any] = []

    async def settled(_: object) -> bool:
        for instance in deployment.instances:
            if not instance.control or instance.id == not_by:
                continue
            orders = await fetch_orders(deployment, instance)
            if orders is None or not orders["leads"] or orders["open"]:
                continue
            done = len(orders["settled"]) + len(orders["in_doubt"])
            if orders["sender"] == instance.id and done >= at_least:
                found.append(orders)
                return True
        return False

    await wait_for(settled, "a leader without open orders", 60.0)
    return found[-1]


def usage_settings(address: str, **settings: Any) -> str:
    """Return the usage section of the settings, with windows of one second."""
    values = {
        "window_seconds": 1,
        "grace_seconds": 0.5,
        "flush_seconds": 0.2,
        **settings,
    }
    lines = "\n".join(f"{name} = {toml(value)}" for name, value in values.items())
    return f"""
[usage]
address = "{address}"
{lines}
"""


async def commit(deployment: Deployment, command: object) -> None:
    """Commit a command as an entry does, through the current leader.

    The members are asked in turn until one accepts the command, because the
    leader may change at any time.
    """
    codec = Codec()
    plugins = registry.discover_plugins()
    codec.register(*(message for plugin in plugins for message in plugin.messages))
    secret = (deployment.folder / "secret").read_bytes().strip()
    identity = Identity("demo", InstanceId("test-entry"), secret)
    dialer = PeerDialer(identity, codec, Handlers())
    message = Propose(codec.encode(command), "test-entry", CorrelationId("test"))

    async def committed(_: object) -> bool:
        for instance in deployment.instances:
            if not instance.control:
                continue
            try:
                address = PeerAddress.parse(instance.peer)
                async with asyncio.timeout(3), dialer.connect(address) as connection:
                    reply = await connection.request(message, 2.0)
            except (PeerUnavailableError, TimeoutError):
                continue
            if isinstance(reply, ProposeReply):
                return True
        return False

    await wait_for(committed, "a command to be committed")


def platform_settings(address: str, **settings: Any) -> str:
    """Return the platform section of the settings, with two data centres."""
    values = {
        "checks_fencing": True,
        "honours_keys": True,
        "min_on_demand": 2,
        "plan_seconds": 0.5,
        **settings,
    }
    lines = "\n".join(f"{name} = {toml(value)}" for name, value in values.items())
    return f"""
[platform]
address = "{address}"
{lines}

[platform.terms_by_data_centre.lisboa-a]
on_demand_price = 3.0
reclaimable_price = 1.0
reclaim_risk = 0.1

[platform.terms_by_data_centre.porto-a]
on_demand_price = 3.0
reclaimable_price = 1.0
reclaim_risk = 0.1
"""


def toml(value: Any) -> str:
    """Return a string, number or boolean as TOML."""
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


async def fetch_state(address: str) -> Any:
    """Return the recorded state of the stand-in at an address."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/fake/state") as answer,
    ):
        return await answer.json()


async def update_stand_in(address: str, path: str, **values: Any) -> None:
    """Change the options, faults or state of the stand-in at an address."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/fake/{path}", json=values) as answer,
    ):
        answer.raise_for_status()
