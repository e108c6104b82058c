"""The tutorial for the first hour, ``docs/first-hour.md``.

Guards against commands on the page that no longer work with the code or with
the examples.
"""

import asyncio
import os
import re
import shutil
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from demo.deployment import free_port

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_SECONDS = 240.0
WRAPPERS = {
    "goldcrest": "-m goldcrestyard.cli",
    "goldcrestd": "-m goldcrestyard.daemon",
    "python": "",
}


class FirstHourTests(unittest.IsolatedAsyncioTestCase):
    """Runs the commands of the page on free ports."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        shutil.copytree(ROOT / "examples", self.folder / "examples")
        binaries = self.folder / "bin"
        binaries.mkdir()
        for name, arguments in WRAPPERS.items():
            path = binaries / name
            path.write_text(f'#!/bin/sh\nexec "{sys.executable}" {arguments} "$@"\n')
            path.chmod(0o755)
        self.environment = {
            **os.environ,
            "PATH": f"{binaries}:{os.environ['PATH']}",
            "PYTHONPATH": str(ROOT),
        }

    def script(self) -> str:
        """Return the commands, with the ports replaced by free ones.

        The ports in the copied examples are replaced alike.
        """
        text = (ROOT / "docs" / "first-hour.md").read_text()
        blocks = re.findall(r"^```sh\n(.*?)^```$", text, re.MULTILINE | re.DOTALL)
        script = "set -eux -o pipefail\n" + "".join(blocks)
        ports_by_text: dict[str, str] = {}

        def replaced(match: re.Match[str]) -> str:
            port = ports_by_text.get(match[0])
            while port is None or list(ports_by_text.values()).count(port) > 1:
                port = ports_by_text[match[0]] = str(free_port())
            return port

        for path in (self.folder / "examples" / "tejo").glob("*.toml"):
            path.write_text(re.sub(r"\b18\d\d\d\b", replaced, path.read_text()))
        return re.sub(r"\b18\d\d\d\b", replaced, script)

    async def test_every_command_succeeds(self) -> None:
        output_path = self.folder / "output"
        with output_path.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                "bash",
                "-c",
                self.script(),
                cwd=self.folder,
                env=self.environment,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                code = await process.wait()
        except TimeoutError:
            code = -1
        finally:
            # A script that stops early leaves its background processes.
            try:
                os.killpg(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        text = output_path.read_text()
        self.assertEqual(code, 0, text[-4000:])
        self.assertIn("in force on every entry", text)
