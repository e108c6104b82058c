"""Tests of reading the logs of the platform's processes.

A line that crosses a page of its file becomes visible in two steps, so a
reader can find the first part of it alone.
"""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from tests.fakes.platform_site import Process, Site


class LogLinesTests(unittest.TestCase):
    """Guards against parsing a line that is still being written."""

    def test_unfinished_last_line_is_left_out(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            site = cast(Site, SimpleNamespace(folder=Path(folder)))
            process = Process(site, "c1", "control", "127.0.0.1", "a")
            process.folder.mkdir()
            (process.folder / "log").write_text('{"event": "started"}\n{"event": "st')
            self.assertEqual(process.log_lines(), [{"event": "started"}])
