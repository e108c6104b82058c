"""Callers that apply steady load and follow the entries' address list."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp


@dataclass
class FollowingCaller:
    """Sends one request after another to the first address of the list.

    It keeps connections open between requests and never retries, so that
    each interrupted request counts as a failure.
    """

    entries: list[str]
    key: str
    model: str
    data_centre: str
    stream: bool
    max_tokens: int
    served_by: dict[str, int] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    told_to_leave: set[str] = field(default_factory=set)
    """Addresses whose answers carried ``Connection: close``."""
    stopping: bool = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        loop = asyncio.get_running_loop()
        headers = {"authorization": f"Bearer {self.key}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            address, valid_until = "", 0.0
            while not self.stopping:
                if loop.time() >= valid_until:
                    address, ttl_seconds = await self._first_address(session)
                    valid_until = loop.time() + ttl_seconds
                try:
                    await self._request(session, address)
                except (aiohttp.ClientError, TimeoutError, AssertionError) as error:
                    self.failures.append(f"{address}: {error!r}")
                self.served_by[address] = self.served_by.get(address, 0) + 1

    async def _first_address(self, session: aiohttp.ClientSession) -> tuple[str, float]:
        for entry in self.entries:
            url = f"http://{entry}/addresses"
            parameters = {"data_centre": self.data_centre}
            try:
                async with session.get(url, params=parameters) as answer:
                    data = await answer.json()
            except aiohttp.ClientError:
                continue
            return data["addresses"][0]["base_url"], data["ttl_seconds"]
        raise AssertionError("no entry answers")

    async def _request(self, session: aiohttp.ClientSession, address: str) -> None:
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": "Describe joint 7."}],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        }
        async with session.post(f"{address}/chat/completions", json=body) as answer:
            text = await answer.text()
            if answer.headers.get("connection", "").lower() == "close":
                self.told_to_leave.add(address)
        assert answer.status == 200, text
        if self.stream:
            assert text.endswith("data: [DONE]\n\n"), text[-200:]
            assert text.count("data: ") == self.max_tokens + 1, text
        else:
            content = json.loads(text)["choices"][0]["message"]["content"]
            assert len(content.split()) == self.max_tokens, content
