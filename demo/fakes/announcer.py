"""Client of the targets' interface, shared by the stand-in targets.

It announces a target at an entry, renews the announcement, and asks for the
target to be drained or removed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp


@dataclass
class Announcer:
    """Keeps a target announced at one of several entries."""

    entries: list[str]
    token: str
    announcement: dict[str, Any]
    load: Callable[[], dict[str, Any]] | None = None
    """Returns the load to report with each renewal; None for no load."""

    async def run(self) -> None:
        """Announce and renew until cancelled; change the entry on failure."""
        async with aiohttp.ClientSession(headers=self._headers()) as session:
            turn = 0
            while True:
                entry = self.entries[turn % len(self.entries)]
                turn += 1
                try:
                    await self._announce_and_renew(session, entry)
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.2)

    async def leave(self) -> None:
        """Remove the target through the first entry that accepts it."""
        async with aiohttp.ClientSession(headers=self._headers()) as session:
            for entry in self.entries:
                url = f"http://{entry}/targets/{self.announcement['id']}"
                try:
                    async with session.delete(url, json=self._renewal()) as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    continue

    async def drain(self) -> None:
        """Drain the target through the first entry that accepts it."""
        async with aiohttp.ClientSession(headers=self._headers()) as session:
            for entry in self.entries:
                url = f"http://{entry}/targets/{self.announcement['id']}/drain"
                try:
                    async with session.post(url, json=self._renewal()) as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    continue

    async def _announce_and_renew(
        self, session: aiohttp.ClientSession, entry: str
    ) -> None:
        url = f"http://{entry}/targets"
        timeout = aiohttp.ClientTimeout(total=8)
        async with session.post(
            f"{url}/announce", json=self.announcement, timeout=timeout
        ) as answer:
            if answer.status != 200:
                return
            interval = (await answer.json())["renew_seconds"]
        while True:
            await asyncio.sleep(interval)
            async with session.post(
                f"{url}/{self.announcement['id']}/renew",
                json=self._renewal_with_load(),
                timeout=timeout,
            ) as answer:
                if answer.status != 200:
                    return

    def _renewal_with_load(self) -> dict[str, Any]:
        load = self.load() if self.load is not None else None
        return {**self._renewal(), "load": load}

    def _renewal(self) -> dict[str, str]:
        return {"incarnation": self.announcement["incarnation"]}

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.token}"}
