"""A stand-in for a trainer.

It asks for the samples of one step after another, acknowledges each batch
and, with ``--publish``, publishes new weights.  It prints one JSON object a
line.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

RETRY_DELAY_SECONDS = 0.5


@dataclass(frozen=True)
class Answer:
    """Status and JSON body of an answer, with its unparsed bytes."""

    status: int
    body: Any
    raw: bytes = b""


@dataclass
class TrainerClient:
    """Client of the trainers' interface that uses one entry at a time.

    ``turn`` selects the entry among ``entries``.
    """

    entries: list[str]
    key: str
    turn: int = 0
    session: aiohttp.ClientSession | None = field(default=None, repr=False)

    async def __aenter__(self) -> "TrainerClient":
        self.session = aiohttp.ClientSession(
            headers={"authorization": f"Bearer {self.key}"}
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def ask(self, step: int, question: dict[str, Any], entry: str = "") -> Answer:
        """Ask once for the samples of a step."""
        return await self._post(f"/trainer/v1/steps/{step}/samples", question, entry)

    async def acknowledge(self, batch: str, entry: str = "") -> Answer:
        """Acknowledge a batch once."""
        return await self._post(f"/trainer/v1/batches/{batch}/ack", {}, entry)

    async def publish(
        self, model: str, version: int, location: str = "", digest: str = ""
    ) -> Answer:
        """Publish a weight version once."""
        body = {
            "model": model,
            "version": version,
            "location": location or f"http://127.0.0.1:1/{model}/{version}",
            "digest": digest or f"{version:064x}",
        }
        return await self._post("/trainer/v1/weights", body, "")

    async def obtain(self, step: int, question: dict[str, Any]) -> Answer:
        """Ask until the samples are complete or refused, changing entries."""
        while True:
            try:
                answer = await self.ask(step, question)
            except (aiohttp.ClientError, TimeoutError):
                self.turn += 1
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if answer.status in (202, 502, 503, 504):
                if answer.status != 202:
                    self.turn += 1
                    await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            return answer

    async def _post(self, path: str, body: dict[str, Any], entry: str) -> Answer:
        assert self.session is not None
        entry = entry or self.entries[self.turn % len(self.entries)]
        timeout = aiohttp.ClientTimeout(total=900, sock_connect=3)
        async with self.session.post(
            f"http://{entry}{path}", json=body, timeout=timeout
        ) as answer:
            raw = await answer.read()
            return Answer(answer.status, json.loads(raw), raw)


async def train(options: argparse.Namespace) -> None:
    """Run the steps and print a report of each."""
    question = {
        "model": options.model,
        "prompts": [
            {
                "group": f"group-{number}",
                "messages": [{"role": "user", "content": f"Inspect joint {number}."}],
            }
            for number in range(options.groups)
        ],
        "samples_per_prompt": options.samples_per_prompt,
        "max_tokens": options.max_tokens,
        "wait_seconds": 30,
    }
    async with TrainerClient(options.entries.split(","), options.key) as client:
        for step in range(options.first_step, options.first_step + options.steps):
            started = time.monotonic()
            attempt = 0
            while True:
                answer = await client.obtain(step, {**question, "attempt": attempt})
                if answer.status != 410:
                    break
                attempt += 1
            report: dict[str, Any] = {
                "step": step,
                "attempt": attempt,
                "status": answer.status,
                "seconds": round(time.monotonic() - started, 3),
            }
            if answer.status != 200:
                print(json.dumps({**report, "error": answer.body}), flush=True)
                return
            batch = answer.body["batch"]
            acknowledged = await client.acknowledge(batch)
            report |= {
                "batch": batch,
                "samples": len(answer.body["samples"]),
                "versions": answer.body["versions"],
                "acknowledged": acknowledged.status == 200,
            }
            print(json.dumps(report), flush=True)
            if options.publish:
                version = max(answer.body["versions"]) + 1
                published = await client.publish(options.model, version)
                line = {"published": version, "status": published.status}
                print(json.dumps(line), flush=True)


def main() -> None:
    """Parse the command line and run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for a trainer.")
    parser.add_argument("--entries", required=True, help="comma-separated host:port")
    parser.add_argument("--key", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--first-step", type=int, default=1)
    parser.add_argument("--steps", type=int, default=3)
    parser.add_argument("--groups", type=int, default=8)
    parser.add_argument("--samples-per-prompt", type=int, default=4)
    parser.add_argument("--max-tokens", type=int, default=12)
    parser.add_argument("--publish", action="store_true")
    asyncio.run(train(parser.parse_args()))


if __name__ == "__main__":
    main()
