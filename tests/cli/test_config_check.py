"""Tests of ``goldcrest config check`` with files and a small control member.

They guard against a wrong exit code, on which scripts rely, against output
that names keys, and against a comparison that is left out silently.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from aiohttp import web
from parameterized import parameterized

from goldcrestyard.cli.exit_codes import ExitCode
from tests.cli.test_goldcrest import run
from tests.platform.test_documents import DOCUMENT, edit

NEW = edit(lambda d: d.update(version=8))
KEYED = edit(
    lambda d: [d.update(version=8), d["tenants"][0].update(api_keys=["k1", "k3"])]
)
UNUSED = edit(lambda d: d["services"].append({"name": "unused"}))
UNDECODABLE = edit(
    lambda d: [
        d["routes"][0].update(attempts="x", priority=[]),
        d["routes"][1].update(type="magic"),
        d["tenants"][0].update(api_keys=["k1", 2]),
        d["services"].append(3),
        d["limits"].update(max_body_bytes=-1),
    ]
)
FAULTY = edit(lambda d: d["routes"][0].update(timeout_ms=0, path_prefix="q"))

FILES = [
    ("valid", DOCUMENT, None, ExitCode.DONE, ["errors: 0", "not compared"]),
    ("changed", NEW, DOCUMENT, ExitCode.DONE, ["compared with version 7"]),
    ("keys", KEYED, DOCUMENT, ExitCode.DONE, ["(1 added, 1 removed)"]),
    ("same", DOCUMENT, DOCUMENT, ExitCode.REFUSED, ["config.E011"]),
    ("warning", UNUSED, None, ExitCode.WARNINGS, ["config.W001 service unused"]),
    ("errors", FAULTY, None, ExitCode.REFUSED, ["config.E004", "config.E005"]),
    (
        "undecodable",
        UNDECODABLE,
        DOCUMENT,
        ExitCode.REFUSED,
        [
            "`$.routes[0].attempts`",
            "`$.routes[0].priority`",
            "`$.routes[1]`",
            "`$.tenants[0].api_keys[1]`",
            "`$.services[2]`",
            "`$.limits.max_body_bytes`",
        ],
    ),
]


class ConfigCheckTests(unittest.IsolatedAsyncioTestCase):
    """Exit codes and output of the command."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, document: dict[str, Any]) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    @parameterized.expand(FILES)
    def test_files(
        self,
        _: str,
        document: dict[str, Any],
        in_force: dict[str, Any] | None,
        expected: ExitCode,
        texts: list[str],
    ) -> None:
        given = ["config", "check", self.write("new", document)]
        if in_force is not None:
            given += ["--in-force", self.write("old", in_force)]
        code, output, errors = run(*given)
        self.assertEqual((code, errors), (expected, ""))
        for text in texts:
            self.assertIn(text, output)
        json_code, json_output, _ = run(*given, "--json")
        data = json.loads(json_output)
        self.assertEqual(json_code, expected)
        self.assertEqual(len(data["findings"]), sum(data["counts"].values()))
        for key in ("k1", "k2", "k3"):
            self.assertNotIn(key, output + json_output)

    @parameterized.expand(
        [
            ("no_file", ["{folder}/none"], "cannot be read"),
            ("no_file_in_force", ["{new}", "--in-force", "{folder}/none"], "read"),
            ("bad_in_force", ["{new}", "--in-force", "{bad}"], "cannot be decoded"),
            ("two_sources", ["{new}", "--in-force", "x", "-a", "a:1"], "not both"),
            ("bad_address", ["{new}", "-a", "a"], "host:port"),
        ]
    )
    def test_usage_errors(self, _: str, arguments: list[str], text: str) -> None:
        paths = {
            "folder": self.folder,
            "new": self.write("new", NEW),
            "bad": self.write("bad", {}),
        }
        code, output, errors = run(
            "config", "check", *(argument.format(**paths) for argument in arguments)
        )
        self.assertEqual((code, output), (ExitCode.USAGE, ""))
        self.assertIn(text, errors)

    def test_regions_of_the_deployment(self) -> None:
        path = self.write("new", DOCUMENT)
        code, output, _ = run("config", "check", path, "--region", "north")
        self.assertEqual(code, ExitCode.REFUSED)
        self.assertEqual(output.count("config.E008"), 2)

    @parameterized.expand(
        [
            ("leader", 200, DOCUMENT, ExitCode.DONE, "compared with version 7"),
            ("no_leader", 503, {}, ExitCode.UNKNOWN, "no leader, or no"),
            ("other_service", 404, {}, ExitCode.UNKNOWN, "status 404"),
            ("other_document", 200, {}, ExitCode.UNKNOWN, "cannot be decoded"),
        ]
    )
    async def test_control_member(
        self,
        _: str,
        status: int,
        document: dict[str, Any],
        expected: ExitCode,
        text: str,
    ) -> None:
        """The member that is asked redirects to the leader."""

        async def handle(request: web.BaseRequest) -> web.Response:
            self.assertEqual((request.method, request.path), ("GET", "/v1/config"))
            if request.url.port == ports[0]:
                location = f"http://127.0.0.1:{ports[1]}/v1/config"
                return web.Response(status=307, headers={"Location": location})
            return web.json_response(document, status=status)

        ports: list[int] = []
        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        for _ in range(2):
            await web.TCPSite(runner, "127.0.0.1", 0).start()
        ports += [address[1] for address in runner.addresses]
        given = ["config", "check", self.write("new", NEW), "-a"]
        code, output, errors = await asyncio.to_thread(
            run, *given, f"127.0.0.1:{ports[0]}"
        )
        self.assertEqual(code, expected)
        self.assertIn(text, output + errors)

    def test_tool_starts_without_the_platform(self) -> None:
        code = (
            "import sys; from goldcrestyard.cli.application import create_application;"
            "create_application();"
            "sys.exit(any(m.startswith('goldcrestyard.platform') for m in sys.modules))"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)
