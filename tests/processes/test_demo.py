"""The demo's launcher, ``python -m demo.serve``, as programs use it.

Guards against output that programs cannot parse, and against processes that
go on running after the launcher has been stopped.
"""

import asyncio
import json
import os
import signal
import sys
import unittest
from pathlib import Path

import openai

TIMEOUT_SECONDS = 60.0
ROOT = Path(__file__).parent.parent.parent


class ServeTests(unittest.IsolatedAsyncioTestCase):
    """The launcher from its start to SIGTERM."""

    async def test_serves_until_it_is_asked_to_stop(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "demo.serve",
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.addCleanup(_kill_group, process.pid)
        assert process.stdout is not None
        async with asyncio.timeout(TIMEOUT_SECONDS):
            described = json.loads(await process.stdout.readline())
        for base_url in described["base_urls"]:
            async with openai.AsyncOpenAI(
                base_url=base_url, api_key=described["key"], max_retries=0
            ) as client:
                answer = await client.chat.completions.create(
                    model=described["model"],
                    messages=[{"role": "user", "content": "Describe joint 7."}],
                )
                self.assertEqual(answer.choices[0].finish_reason, "stop")
        process.terminate()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            self.assertEqual(await process.stdout.read(), b"")
            self.assertEqual(await process.wait(), 0)
        with self.assertRaises(ProcessLookupError):
            os.killpg(process.pid, 0)


def _kill_group(group: int) -> None:
    try:
        os.killpg(group, signal.SIGKILL)
    except ProcessLookupError:
        pass
