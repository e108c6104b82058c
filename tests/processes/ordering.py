"""Deployments with stand-ins for the platform and the usage interface."""

from dataclasses import dataclass
from typing import Any

import aiohttp

from demo.deployment import Deployment, Instance, free_port, wait_for


@dataclass
class OrderingDeployment(Deployment):
    """A deployment whose instances know receivers of orders."""

    extra_settings: str = ""

    def settings_of(self, instance: Instance) -> str:
        """Return the settings with those of the receivers."""
        return super().settings_of(instance) + self.extra_settings

    async def start_receiver(self, name: str, *options: str) -> str:
        """Start a stand-in receiver; return its address."""
        port = free_port()
        address = f"127.0.0.1:{port}"
        await self.start_process(name, f"demo.fakes.{name}", f"--port={port}", *options)

        async def answers(_: object) -> bool:
            return bool(await shown(address) is not None)

        await wait_for(answers, f"{name} to answer")
        return address


def platform_settings(address: str, **settings: Any) -> str:
    """Return the section of a platform with two data centres."""
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
    """Return a TOML value."""
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


async def shown(address: str) -> Any:
    """Return what a stand-in has recorded."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/fake/state") as answer,
    ):
        return await answer.json()


async def change(address: str, path: str, **values: Any) -> None:
    """Change the options or the state of a stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/fake/{path}", json=values) as answer,
    ):
        answer.raise_for_status()
