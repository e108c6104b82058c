"""The steps of the demo.

Each step uses the running deployment as a caller, trainer or operator does,
checks the result, and returns a text about it to print.
"""

import asyncio
import json
import sys
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import openai

from demo.deployment import wait_for
from demo.fakes.weight_store import digest_of
from demo.local_set import MODEL, ORGANISATION, SERVICE, WEIGHTS_BYTES, DemoDeployment
from demo.local_set import goldcrest as tool_options

MESSAGES = [{"role": "user", "content": "Describe joint 7 of pipe 12."}]


class CheckFailedError(Exception):
    """The result of a step differs from what is expected."""


@dataclass(frozen=True)
class Step:
    """A step: its title, and the function whose result is printed."""

    title: str
    run: Callable[[DemoDeployment], Awaitable[str]]


def check(condition: bool, message: str) -> None:
    """Raise ``CheckFailedError`` unless a condition holds."""
    if not condition:
        raise CheckFailedError(message)


async def get_addresses(demo: DemoDeployment) -> str:
    """Ask an instance for the addresses to use."""
    entry = demo.deployment.entries[0]
    answer = await get_json(f"http://{entry}/addresses?region=porto")
    entries = [address["instance"] for address in answer["addresses"]]
    check(len(entries) == 3, f"expected 3 entries, got {entries}")
    check(entries[0] == "porto-a-1", f"the nearest entry is not first: {entries}")
    return f"{', '.join(entries)}, to be kept for {answer['ttl_seconds']} s"


async def complete(demo: DemoDeployment) -> str:
    """Get a plain completion with the official client library."""
    async with client_of(demo, 2) as client:
        answer = await client.chat.completions.create(model=MODEL, messages=MESSAGES)
    check(answer.choices[0].finish_reason == "stop", "the answer is not whole")
    return f"{answer.choices[0].message.content!r}"


async def stream(demo: DemoDeployment) -> str:
    """Get a streamed completion with the official client library."""
    async with client_of(demo, 1) as client:
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        pieces = [piece async for piece in stream]
    check(pieces[-1].choices[0].finish_reason == "stop", "the stream is not whole")
    return f"{len(pieces)} pieces"


async def refuse_keys(demo: DemoDeployment) -> str:
    """Check that invalid keys are refused and that engines get no key."""
    codes = []
    for key in (demo.withdrawn_key, "gcy_unknown"):
        async with client_of(demo, 0, key) as client:
            try:
                await client.models.list()
            except openai.AuthenticationError as error:
                codes.append(str(error.code))
    check(codes == ["key_withdrawn", "invalid_key"], f"unexpected codes {codes}")
    for engine in demo.engines:
        seen = json.dumps(await get_json(f"http://{engine}/fake/state"))
        check(demo.key not in seen, "an engine has seen a key")
    return ", ".join(codes) + "; no engine has seen a key"


async def call_service(demo: DemoDeployment) -> str:
    """Call a plain service, and resend a booking through another entry."""
    headers = {"authorization": f"Bearer {demo.key}"}
    call = uuid.uuid4().hex
    entries = demo.deployment.entries
    async with aiohttp.ClientSession() as session:
        url = f"http://{entries[0]}/services/{SERVICE}"
        async with session.get(f"{url}/quote?call=q", headers=headers) as answer:
            check(answer.status == 200, f"quote answered {answer.status}")
        async with session.get(f"{url}/public/hours") as answer:
            check(answer.status == 200, f"open route answered {answer.status}")
        bodies = []
        for entry in entries[:2]:
            url = f"http://{entry}/services/{SERVICE}/book?call={call}"
            keyed = {**headers, "idempotency-key": call}
            async with session.post(url, headers=keyed) as answer:
                check(answer.status == 200, f"booking answered {answer.status}")
                bodies.append(await answer.read())
    check(bodies[0] == bodies[1], "the resend got another answer")
    state = await get_json(f"http://{demo.service}/fake/state")
    runs = state["runs_by_call"][call]
    check(runs == 1, f"the booking ran {runs} times")
    return "a quote, an open route, and a booking sent twice that ran once"


async def train(demo: DemoDeployment) -> str:
    """Get samples, publish weights, and get samples of the new version."""
    versions = []
    async with demo.trainer() as trainer:
        for step in (1, 2):
            await publish(demo, step)
            question = {
                "model": MODEL,
                "prompts": [{"group": "joint-7", "messages": MESSAGES}],
                "samples_per_prompt": 4,
                "max_tokens": 8,
                "wait_seconds": 30,
            }
            answer = await trainer.obtain(step, question)
            check(answer.status == 200, f"step answered {answer.body}")
            samples = answer.body["samples"]
            check(len(samples) == 4, f"expected 4 samples, got {len(samples)}")
            versions.append(
                {span["version"] for sample in samples for span in sample["spans"]}
            )
            done = await trainer.acknowledge(answer.body["batch"])
            check(done.status == 200, f"acknowledgement answered {done.body}")
    check(versions == [{1}, {2}], f"unexpected versions {versions}")
    return "4 samples with version 1, then 4 with version 2"


async def publish(demo: DemoDeployment, version: int) -> None:
    """Publish a weight version and wait until all engines serve it."""
    digest = digest_of(MODEL, str(version), WEIGHTS_BYTES)
    location = f"http://{demo.store}/{MODEL}/{version}"
    async with demo.trainer() as trainer:

        async def published(_: object) -> bool:
            answer = await trainer.publish(MODEL, version, location, digest)
            return answer.status == 200

        await wait_for(published, f"version {version} to be published")

    async def served(_: object) -> bool:
        states = [await get_json(f"http://{e}/weights") for e in demo.engines]
        return all(state["active"] == version for state in states)

    await wait_for(served, f"version {version} on all engines")


async def stop_engine(demo: DemoDeployment) -> str:
    """Stop an engine and check that requests are served by the other."""
    deployment = demo.deployment
    process = deployment.processes_by_name["engine-2"]
    process.terminate()
    await deployment.wait_target("engine-2", present=False)
    await process.wait()
    async with client_of(demo, 2) as client:
        for _ in range(5):
            await client.chat.completions.create(model=MODEL, messages=MESSAGES)
    return "5 requests after engine-2 had left, all served by engine-1"


async def check_orders(demo: DemoDeployment) -> str:
    """Check that the platform got orders and usage was reported."""

    async def both(_: object) -> bool:
        platform = await get_json(f"http://{demo.platform}/fake/state")
        usage = await get_json(f"http://{demo.usage_interface}/fake/state")
        return bool(platform["arrivals"]) and bool(usage["arrivals"])

    await wait_for(both, "an order and a usage report")
    usage = await get_json(f"http://{demo.usage_interface}/fake/state")
    lines = usage["arrivals"][0]["body"]["lines"]
    check(
        any(line["organisation"] == ORGANISATION for line in lines),
        f"no usage of {ORGANISATION} in {lines}",
    )
    senders = {arrival["sender"] for arrival in usage["arrivals"]}
    return f"targets ordered and usage reported, all by {', '.join(senders)}"


async def list_with_tool(demo: DemoDeployment) -> str:
    """List targets, records and the audit trail with the command-line tool."""
    deployment = demo.deployment
    options = tool_options(deployment.folder, deployment)
    shown = []
    for command in ("targets", "organisations", "services"):
        output = json.loads(await run_tool(command, "list", "--json", *options))
        shown.append(f"{len(output[command])} {command}")
    trail = json.loads(await run_tool("audit", "--json", *options))["records"]
    subjects = {record["subject"] for record in trail}
    check(
        any(subject.startswith("key/") for subject in subjects),
        f"no key in the audit trail: {sorted(subjects)}",
    )
    return f"{', '.join(shown)}, {len(trail)} audit records"


async def run_tool(*arguments: str) -> str:
    """Run the command-line tool and return what it prints."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "goldcrestyard.cli",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    check(process.returncode == 0, f"goldcrest failed: {errors.decode()}")
    return output.decode()


def client_of(demo: DemoDeployment, entry: int, key: str = "") -> openai.AsyncOpenAI:
    """Return a client of the official library for one entry."""
    return openai.AsyncOpenAI(
        base_url=f"http://{demo.deployment.entries[entry]}/v1",
        api_key=key or demo.key,
        max_retries=0,
    )


async def get_json(url: str) -> Any:
    """Return the JSON body of a GET request."""
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return await answer.json()


STEPS = (
    Step("Ask an instance which addresses to use", get_addresses),
    Step("Chat completion, plain", complete),
    Step("Chat completion, streamed", stream),
    Step("Unknown and withdrawn keys", refuse_keys),
    Step("Plain service, idempotent and not", call_service),
    Step("Samples for a trainer, before and after new weights", train),
    Step("An engine leaves", stop_engine),
    Step("Orders to the platform, usage reports", check_orders),
    Step("The goldcrest tool", list_with_tool),
)
