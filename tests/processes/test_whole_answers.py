"""Answers of faulty engines through a real entry.

The tests guard against an incomplete answer that looks whole, against the
answer to another request, and against an error with a wrong verdict.
"""

import asyncio
import json
import signal
import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Any

import aiohttp
import openai
from parameterized import parameterized

from demo.deployment import wait_for
from tests.fakes.deployments import DeploymentTestCase
from tests.fakes.shared_deployments import SharedDeploymentTestCase

MODEL = "inspect-lm"
MESSAGES = [{"role": "user", "content": "Describe joint 7."}]
WHOLE_TEXT = "the liner holds at joint seven and the crack ends the liner "


class Ending(Enum):
    """How a request ends for the caller."""

    WHOLE = "whole"
    ERROR = "error"


@dataclass(frozen=True)
class Case:
    """A fault of one attempt, and how the caller's request ends.

    ``runs`` counts the runs on all engines.
    """

    fault: str
    ending: Ending
    runs: int


# In these cases nothing has reached the caller when the fault occurs, so that
# another attempt can give a whole answer.
BEFORE_ANSWER = [
    Case("none", Ending.WHOLE, 1),
    Case("crash_before", Ending.WHOLE, 1),
    Case("crash_after_run", Ending.WHOLE, 2),
    Case("crash_after", Ending.WHOLE, 1),
    Case("wrong_id", Ending.WHOLE, 2),
    Case("refused_not_run", Ending.WHOLE, 1),
    Case("refused", Ending.WHOLE, 2),
    Case("never", Ending.WHOLE, 2),
]
STREAMED = [
    *BEFORE_ANSWER,
    Case("crash_during", Ending.ERROR, 1),
    Case("truncated", Ending.ERROR, 1),
    Case("no_end_mark", Ending.ERROR, 1),
    Case("no_finish_reason", Ending.ERROR, 1),
    Case("one_choice_open", Ending.ERROR, 1),
    Case("other_answer", Ending.ERROR, 1),
    Case("duplicate", Ending.ERROR, 1),
    Case("piece_after_finish", Ending.ERROR, 1),
    Case("malformed", Ending.ERROR, 1),
    Case("stall", Ending.ERROR, 1),
]
PLAIN = [
    *BEFORE_ANSWER,
    Case("crash_during", Ending.WHOLE, 2),
    Case("truncated", Ending.WHOLE, 2),
    Case("no_finish_reason", Ending.WHOLE, 2),
    Case("one_choice_open", Ending.WHOLE, 2),
    Case("other_answer", Ending.WHOLE, 2),
    Case("malformed", Ending.WHOLE, 2),
    Case("stall", Ending.WHOLE, 2),
]
LASTING_FAULTS = sorted({case.fault for case in STREAMED} - {"none", "crash_after"})
STREAM_ONLY_FAULTS = {"no_end_mark", "duplicate", "piece_after_finish"}
"""Faults that occur only in a stream."""


@dataclass(frozen=True)
class Result:
    """An answer as the caller got it.

    ``text`` is the whole answer, or the part before ``error``.
    """

    text: str
    error: dict[str, Any] | None
    marked_end: bool = False
    finished: bool = False

    @property
    def looks_whole(self) -> bool:
        """Whether a client would accept the answer as whole."""
        return self.error is None


class FaultTestCase(SharedDeploymentTestCase):
    """Two engines, and requests that cause a fault in one or both."""

    overrides_by_section = {
        "engines": {"stall_seconds": 1.0, "seconds_per_token": 0.02},
    }

    @classmethod
    async def prepare(cls) -> None:
        cls.engines = [
            await cls.deployment.start_engine(
                f"engine-{number}", MODEL, cls.deployment.instances[0]
            )
            for number in range(2)
        ]
        cls.key = await cls.deployment.add_organisation("tejo")

        async def known(session: aiohttp.ClientSession) -> bool:
            for instance in cls.deployment.instances:
                url = f"http://{instance.public}/v1/models"
                headers = {"authorization": f"Bearer {cls.key}"}
                async with session.get(url, headers=headers) as answer:
                    if answer.status != 200:
                        return False
            return True

        await wait_for(known, "the key to be known")

    async def ask(
        self, entry: int, stream: bool, call: str, fault: str, *, once: bool
    ) -> Result:
        body: dict[str, Any] = {
            "model": MODEL,
            "messages": MESSAGES,
            "max_tokens": 12,
            "stream": stream,
            "user": call,
            "fault": fault,
        }
        if once:
            ticket = self.deployment.folder / f"ticket-{call}"
            ticket.touch()
            body["fault_ticket"] = str(ticket)
        public = self.deployment.instances[entry % 3].public
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{public}/v1/chat/completions",
                json=body,
                headers={"authorization": f"Bearer {self.key}"},
            ) as answer,
        ):
            text = await answer.text()
        if answer.status != 200:
            return Result("", json.loads(text)["error"])
        if not stream:
            choices = json.loads(text)["choices"]
            return Result(choices[0]["message"]["content"], None, True, True)
        return read_stream(text)

    async def runs(self, call: str) -> int:
        async with aiohttp.ClientSession() as session:
            total = 0
            for engine in self.engines:
                async with session.get(f"http://{engine}/fake/state") as answer:
                    total += (await answer.json())["runs_by_call"].get(call, 0)
            return total

    async def check(self, case: Case, entry: int, stream: bool) -> None:
        call = uuid.uuid4().hex
        result = await self.ask(entry, stream, call, case.fault, once=True)
        self.assertEqual(await self.runs(call), case.runs)
        if case.ending is Ending.WHOLE:
            self.assertIsNone(result.error)
            self.assertEqual(result.text, WHOLE_TEXT)
            self.assertTrue(result.marked_end and result.finished)
        else:
            self.assertIsNotNone(result.error)
            self.assertFalse(result.marked_end)
            assert result.error is not None
            self.assertEqual(result.error["verdict"], "may_have_run")


class StreamedFaultTests(FaultTestCase):
    """One attempt of a streamed request meets a fault."""

    @parameterized.expand([(c.fault, n, c) for n, c in enumerate(STREAMED)])
    async def test_fault(self, _: str, entry: int, case: Case) -> None:
        await self.check(case, entry, True)


class PlainFaultTests(FaultTestCase):
    """One attempt of a request for one JSON object meets a fault."""

    @parameterized.expand([(c.fault, n, c) for n, c in enumerate(PLAIN)])
    async def test_fault(self, _: str, entry: int, case: Case) -> None:
        await self.check(case, entry, False)


class LastingFaultTests(FaultTestCase):
    """Every attempt meets the fault; the verdict of the error must be true."""

    @parameterized.expand(
        [
            (f"{fault}_{'streamed' if stream else 'plain'}", fault, stream)
            for fault in LASTING_FAULTS
            for stream in (True, False)
            if stream or fault not in STREAM_ONLY_FAULTS
        ]
    )
    async def test_fault(self, _: str, fault: str, stream: bool) -> None:
        call = uuid.uuid4().hex
        result = await self.ask(0, stream, call, fault, once=False)
        assert result.error is not None
        self.assertFalse(result.marked_end)
        runs = await self.runs(call)
        verdict = result.error["verdict"]
        if verdict == "not_run":
            self.assertEqual(runs, 0)
        expected = "not_run" if fault == "refused_not_run" else "may_have_run"
        self.assertEqual(verdict, expected)
        self.assertTrue(result.error["code"])


class KilledEntryTests(DeploymentTestCase):
    """An entry that is killed in the middle of an answer."""

    async def test_official_client_raises(self) -> None:
        entry = self.deployment.instances[2]
        await self.deployment.start_engine("engine-1", MODEL, entry, token_seconds=0.05)
        key = await self.deployment.add_organisation("tejo")
        client = openai.AsyncOpenAI(
            base_url=f"http://{entry.public}/v1", api_key=key, max_retries=0
        )
        self.addAsyncCleanup(client.close)

        async def known(_: object) -> bool:
            try:
                await client.models.list()
            except openai.AuthenticationError:
                return False
            return True

        await wait_for(known, "the key to be known")
        stream = await client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True, max_tokens=400
        )
        process = entry.process
        assert process is not None
        received = 0
        raised: Exception | None = None
        try:
            async with asyncio.timeout(60):
                async for _ in stream:
                    received += 1
                    if received == 3:
                        process.send_signal(signal.SIGKILL)
        except TimeoutError:
            raise
        except Exception as error:
            raised = error
        self.assertIsNotNone(raised)
        self.assertLess(received, 400)


def read_stream(text: str) -> Result:
    """Parse a stream of events into the result for its caller."""
    pieces: list[str] = []
    error: dict[str, Any] | None = None
    marked_end = finished = False
    for event in text.split("\n\n"):
        data = event.removeprefix("data: ")
        if not data:
            continue
        if data == "[DONE]":
            marked_end = True
            continue
        piece = json.loads(data)
        if "error" in piece:
            error = piece["error"]
            continue
        for choice in piece["choices"]:
            pieces.append(choice["delta"].get("content") or "")
            finished |= bool(choice["finish_reason"])
    return Result("".join(pieces), error, marked_end, finished)
