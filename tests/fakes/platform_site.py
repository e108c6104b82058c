"""A site of the hosting platform: its programs as processes on loopback."""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from tests.fakes.platform_targets import SOFTWARE, StandInTarget

ROOT = Path(__file__).parents[2]
WAIT_SECONDS = 60.0
HOST = "h.example"
KEY = "3fexd9dnn2ctnfzs989a"
ORGANISATION = "tejo"
MODEL = "m1"
PORTS = {"ctl": 8407, "dir": 8404, "front": 8405, "ready": 8406}
RAM_MB_BY_ROLE = {"control": 330, "front": 300}
ZONES = {"a": "north", "b": "north", "c": "south"}


VOTE_STEPS = ("Promote(", "Replace(")
"""Beginnings of the logged membership changes that give a member a vote."""


def gives_vote(step: str, host: str) -> bool:
    """Return whether a logged membership change gives a vote to a host."""
    return step.startswith(VOTE_STEPS) and f"learner='{host}:" in step


def configuration(version: int = 1, keys: tuple[str, ...] = (KEY,)) -> dict[str, Any]:
    """Return a configuration with a route of each type that the tests use."""
    plain = {"host": HOST, "timeout_ms": 3000, "slo_ms": 500, "attempts": 3}
    return {
        "version": version,
        "routes": [
            {
                **plain,
                "name": "quotes",
                "path_prefix": "/quotes/",
                "type": "idempotent",
                "service": "plain",
            },
            {
                **plain,
                "name": "once",
                "path_prefix": "/once/",
                "type": "non_idempotent",
                "service": "plain",
            },
            {
                **plain,
                "name": "score",
                "path_prefix": "/score/",
                "type": "idempotent",
                "service": "plain",
                "public": True,
            },
            {
                **plain,
                "name": "jobs",
                "path_prefix": "/jobs/",
                "type": "rollout",
                "service": "engines",
                "due_ms": 7500,
                "item_ttl_s": 60,
            },
        ],
        "services": [
            {"name": "plain", "health_path": "/healthz"},
            {
                "name": "engines",
                "health_path": "/healthz",
                "engine": {"slots": 8, "models": [{"name": MODEL}]},
            },
        ],
        "tenants": [{"name": ORGANISATION, "api_keys": list(keys)}],
    }


class Process:
    """A control member or front with its settings file and data folder."""

    def __init__(self, site: "Site", name: str, role: str, host: str, zone: str):
        self.site = site
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.folder = site.folder / name
        self.running: asyncio.subprocess.Process | None = None

    def address(self, listener: str) -> str:
        return f"{self.host}:{PORTS[listener]}"

    async def start(self, *, first_start: bool = False) -> None:
        """Start the program; its output is appended to the file ``log``."""
        self.folder.mkdir(parents=True, exist_ok=True)
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self._settings(first_start)))
        log = (self.folder / "log").open("ab")
        self.running = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "goldcrestyard.platform",
            self.role,
            cwd=ROOT,
            env={**os.environ, "GOLDCRESTYARD_SETTINGS": str(settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def kill(self, number: int = signal.SIGKILL, *, wipe: bool = False) -> None:
        """Send a signal and wait for the process to exit.

        ``wipe`` deletes its data folder afterwards.
        """
        if self.running is not None and self.running.returncode is None:
            self.running.send_signal(number)
            await self.running.wait()
        if wipe:
            shutil.rmtree(self.folder / "data", ignore_errors=True)

    def signal(self, number: int) -> None:
        assert self.running is not None
        self.running.send_signal(number)

    def peak_mb(self) -> int:
        """Return the largest resident memory since the start, in MB."""
        assert self.running is not None
        status = Path(f"/proc/{self.running.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) // 1024

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the structured lines that the program has written in full."""
        path = self.folder / "log"
        text = path.read_text(errors="replace") if path.exists() else ""
        # A line that crosses a page of the file becomes visible in two steps.
        lines = text.split("\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def _settings(self, first_start: bool) -> dict[str, Any]:
        listeners = ("front", "ready") if self.role == "front" else ("ctl", "dir")
        return {
            "node": self.name,
            "serves": [self.role],
            "ip": self.host,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {name: self.address(name) for name in listeners},
            "port_range": [7660, 7675],
            "limits": self.site.limits_by_role[self.role],
            "seeds": [control.address("ctl") for control in self.site.controls[:3]],
            "bootstrap": first_start,
            "data_dir": str(self.folder / "data") if self.role == "control" else None,
            "heartbeat_ms": 400,
            "fault_budget": {"machines": 1},
            "bounds": {
                "revoke_ms": 5000,
                "lease_ms": 3000,
                "grace_s": 8,
                "window_s": 2,
            },
            "cloud": {"addr": self.site.duties_address, "duties": ["usage"]},
        }


class Site:
    """Control members, fronts, targets, an operator and a trainer."""

    def __init__(self, fronts: int = 2) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="goldcrestyard-"))
        # Ports are fixed, so each site takes a random network of its own.
        net = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.net = net
        self.duties_address = ""
        self.limits_by_role = {
            role: {"ram_mb": ram_mb} for role, ram_mb in RAM_MB_BY_ROLE.items()
        }
        self.reports: list[tuple[str, int, dict[str, int]]] = []
        self.controls = [
            Process(self, f"store-{zone}-1", "control", f"{net}.{number}", zone)
            for number, zone in enumerate(ZONES, 1)
        ]
        self.fronts = [
            Process(self, f"front-{number}", "front", f"{net}.{10 + number}", zone)
            for number, zone in zip(range(fronts), "abcabcabc", strict=False)
        ]
        self.targets: list[StandInTarget] = []
        self.session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None

    async def start(self, engines: int = 2, services: int = 2) -> None:
        """Start all processes and targets and put the first configuration."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        await self._serve_duties()
        for process in [*self.controls, *self.fronts]:
            await process.start(first_start=True)
        for number in range(engines + services):
            target = self.new_target(number, engine=number < engines)
            self.targets.append(target)
            await target.listen()
            target.announce()
        await self.put_configuration(configuration())
        await self.wait(self._all_ready, "ready fronts")
        if services:
            # A front reports itself ready even if it knows no target yet.
            await self.wait(self.all_serve, "fronts that know a target")

    def new_target(
        self,
        number: int,
        *,
        engine: bool,
        events: int = 20,
        software: str = SOFTWARE,
    ) -> StandInTarget:
        """Return a target that neither listens nor sends heartbeats yet."""
        return StandInTarget(
            f"i-{uuid.uuid4().hex[:8]}",
            "engines" if engine else "plain",
            f"{self.net}.{50 + number}",
            "abc"[number % 3],
            [process.address("ctl") for process in self.controls],
            {MODEL: 1} if engine else {},
            events,
            software=software,
        )

    def marker(self) -> str:
        """Return a unique id for a request."""
        return uuid.uuid4().hex[:16]

    async def close(self) -> None:
        for target in self.targets:
            await target.stop()
        for process in [*self.controls, *self.fronts]:
            await process.kill()
        if self.session is not None:
            await self.session.close()
        if self._runner is not None:
            await self._runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def engines(self) -> list[StandInTarget]:
        return [target for target in self.targets if target.models]

    @property
    def services(self) -> list[StandInTarget]:
        return [target for target in self.targets if not target.models]

    async def wait(self, condition: Callable[[], Awaitable[bool]], what: str) -> None:
        """Poll a condition until it holds, for at most ``WAIT_SECONDS``."""
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                while not await condition():  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(f"waited for {what}") from None

    async def call(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request; status 0 means that no answer arrived."""
        assert self.session is not None
        options.setdefault("timeout", aiohttp.ClientTimeout(total=5.0))
        try:
            async with self.session.request(method, url, **options) as response:
                return response.status, await response.read(), dict(response.headers)
        except (aiohttp.ClientError, TimeoutError):
            return 0, b"", {}

    # Actions of the operator.

    async def put_configuration(self, document: dict[str, Any]) -> None:
        async def put() -> bool:
            control = random.choice(self.controls).address("ctl")
            status, _, _ = await self.call(
                "PUT", f"http://{control}/v1/config", json=document
            )
            return status == 200

        await self.wait(put, "the configuration's acknowledgement")

    async def leader(self) -> Process:
        """Return the leader: the control member that does not redirect."""
        found: list[Process] = []

        async def find_leader() -> bool:
            for process in self.controls:
                url = f"http://{process.address('ctl')}/v1/config"
                status, _, _ = await self.call("GET", url, allow_redirects=False)
                if status == 200:
                    found.append(process)
                    return True
            return False

        await self.wait(find_leader, "a leader")
        return found[0]

    # Actions of callers and trainers.

    async def ask(
        self,
        path: str,
        front: Process | None = None,
        key: str | None = KEY,
        request_id: str = "",
        seconds: float = 2.5,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a caller's request with a deadline in seconds to a front."""
        front = front or random.choice(self.fronts)
        headers = self._headers(request_id or self.marker(), key)
        headers["X-Goldcrestyard-Deadline-Ms"] = str(round(seconds * 1000))
        url = f"http://{front.address('front')}{path}"
        timeout = aiohttp.ClientTimeout(total=2 * seconds)
        return await self.call(
            "POST", url, data=b"body", headers=headers, timeout=timeout
        )

    async def submit(
        self, job: str, items: int, *, body: bytes = b"prompt", **fields: Any
    ) -> None:
        """Submit a job, and repeat that until it is accepted."""
        document = {
            "step": 0,
            "model": MODEL,
            "least_required": 1,
            "group_count": 1,
            "requests": [
                {
                    "id": f"{job}-{number}",
                    "path": f"/jobs/{number}",
                    "headers": {"X-Goldcrestyard-Model": MODEL},
                    "body": base64.b64encode(body).decode(),
                    "tokens": 100,
                    "group": "g",
                    "scorer": {
                        "id": f"r-{job}-{number}",
                        "host": HOST,
                        "path": "/score/x",
                        "body": "",
                    },
                }
                for number in range(items)
            ],
            **fields,
        }

        async def post() -> bool:
            front = random.choice(self.fronts)
            status, _, _ = await self.call(
                "POST",
                f"http://{front.address('front')}/jobs/{job}",
                json=document,
                headers=self._headers(job),
            )
            return status == 202

        await self.wait(post, f"the acceptance of {job}")

    async def page(self, job: str, after: int = 0) -> dict[str, Any] | None:
        """Return a page of a job's results; None if no node is certain of it.

        Raises ``AssertionError`` on 404, since the job was accepted.
        """
        front = random.choice(self.fronts)
        url = f"http://{front.address('front')}/v1/lots/{job}?after={after}"
        headers = {**self._headers(job), "X-Goldcrestyard-Wait-Ms": "500"}
        status, body, _ = await self.call("GET", url, headers=headers)
        if status == 404:
            raise AssertionError(f"{job} is said not to exist")
        return json.loads(body) if status == 200 else None

    async def results(self, job: str, count: int) -> list[dict[str, Any]]:
        """Read until ``count`` results are listed; their order must stay."""
        seen: list[dict[str, Any]] = []

        async def read() -> bool:
            listed = await self._listed(job, count)
            assert listed[: len(seen)] == seen[: len(listed)], (
                "the order of the results changed"
            )
            seen.extend(listed[len(seen) :])
            return len(seen) >= count

        await self.wait(read, f"{count} results of {job}")
        return seen

    async def _listed(self, job: str, count: int) -> list[dict[str, Any]]:
        """Return the listed results, up to a page that reaches ``count``.

        Large texts take several pages, since the size of a page is limited.
        """
        listed: list[dict[str, Any]] = []
        while len(listed) < count:
            page = await self.page(job, len(listed))
            if page is None or not page["results"]:
                break
            listed += page["results"]
            assert page["next"] == len(listed), "a page does not end at its next"
        return listed

    def _headers(self, request_id: str, key: str | None = KEY) -> dict[str, str]:
        headers = {"Host": HOST, "X-Goldcrestyard-Attempt-Id": request_id}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        return headers

    # The platform's usage endpoint and readiness checks.

    async def _serve_duties(self) -> None:
        async def usage(request: web.Request) -> web.Response:
            report = await request.json()
            holder = request.headers["X-Goldcrestyard-Duty-Holder"]
            self.reports.append((holder, report["window_id"], report["counts"]))
            return web.Response()

        app = web.Application()
        app.router.add_post("/usage", usage)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, f"{self.net}.40", 0)
        await site.start()
        assert site._server is not None
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[attr-defined]
        self.duties_address = f"{self.net}.40:{port}"

    async def all_serve(self) -> bool:
        answers = [await self.ask("/quotes/0", front) for front in self.fronts]
        return all(status == 200 for status, _, _ in answers)

    async def _all_ready(self) -> bool:
        answers = [
            await self.call("GET", f"http://{front.address('ready')}/v1/readyz")
            for front in self.fronts
        ]
        with contextlib.suppress(AssertionError):
            return all(status == 200 for status, _, _ in answers)
        return False
