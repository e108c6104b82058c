"""Deployments of real processes on loopback, for the demo, tests and bench.

``Deployment`` writes the settings of its instances, starts daemons and
stand-ins, and calls the operators' interface to declare what they need.
"""

import asyncio
import hashlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from goldcrestyard.core import keys

READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05

OPERATOR_NAME = "ana"

HOST = f"127.{random.randrange(1, 255)}.{random.randrange(255)}.1"
"""Loopback address of the instances that this process starts.  It is drawn at
random, and outgoing connections use 127.0.0.1, so that neither they nor other
test processes take a port of these instances."""


_allocated_ports: set[int] = set()
"""Ports that ``free_port`` has returned, perhaps not bound yet."""


@dataclass
class Instance:
    """One daemon of the deployment; ``control`` marks control members."""

    id: str
    data_centre: str
    region: str
    control: bool
    public: str = ""
    admin: str = ""
    peer: str = ""
    peer_addresses: dict[str, str] = field(default_factory=dict)
    """Addresses of control members that differ for this instance, by their id.

    Tests put proxies between members in this way.
    """
    control_settings: dict[str, float] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None


@dataclass
class Deployment:
    """Instances and stand-ins, with their files in a temporary folder."""

    instances: list[Instance]
    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="goldcrestyard-"))
    )
    operator_key: str = field(default_factory=lambda: secrets.token_urlsafe(32))
    target_token: str = field(default_factory=lambda: secrets.token_urlsafe(32))
    processes_by_name: dict[str, asyncio.subprocess.Process] = field(
        default_factory=dict
    )
    declared_by_table: dict[str, dict[str, dict[str, Any]]] = field(
        default_factory=dict
    )
    overrides_by_section: dict[str, dict[str, Any]] = field(default_factory=dict)
    """Settings on every instance in addition to those of ``settings_of``."""

    def __post_init__(self) -> None:
        for instance in self.instances:
            instance.public = f"{HOST}:{free_port(HOST)}"
            instance.admin = f"{HOST}:{free_port(HOST)}"
            instance.peer = f"{HOST}:{free_port(HOST)}"

    @property
    def entries(self) -> list[str]:
        """Public addresses of all instances."""
        return [instance.public for instance in self.instances]

    async def start(self) -> None:
        """Start all instances and wait until each is ready."""
        (self.folder / "secret").write_text(secrets.token_hex(32))
        for instance in self.instances:
            await self.start_instance(instance)
        for instance in self.instances:
            await self.wait_ready(instance)

    async def start_instance(self, instance: Instance) -> None:
        """Write the settings of an instance and start it."""
        path = self.folder / f"{instance.id}.toml"
        path.write_text(self._with_overrides(self.settings_of(instance)))
        instance.process = await self.start_process(
            instance.id, "goldcrestyard.daemon", str(path)
        )

    async def start_process(
        self, name: str, module: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        """Start a Python module as a process that logs into the folder."""
        log = os.open(
            self.folder / f"{name}.log", os.O_WRONLY | os.O_APPEND | os.O_CREAT
        )
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log,
                stderr=log,
                cwd=Path(__file__).parent.parent,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        finally:
            os.close(log)
        self.processes_by_name[name] = process
        return process

    def settings_of(self, instance: Instance) -> str:
        """Return the text of the settings file of an instance."""
        members = "\n".join(
            f'{member.id} = "{instance.peer_addresses.get(member.id, member.peer)}"'
            for member in self.instances
            if member.control
        )
        control = ""
        if instance.control:
            control = f'[control]\ndata_folder = "{self.folder / instance.id}"\n'
            for key, value in instance.control_settings.items():
                control += f"{key} = {value}\n"
        return f"""\
[instance]
id = "{instance.id}"
data_centre = "{instance.data_centre}"
region = "{instance.region}"

[cluster]
name = "demo"
secret_file = "{self.folder / "secret"}"
peer_address = "{instance.peer}"

[cluster.control_members]
{members}

[listeners]
public = "{instance.public}"
admin = "{instance.admin}"

[targets]
token_sha256 = "{sha256(self.target_token)}"

[operators.key_sha256_by_name]
{OPERATOR_NAME} = "{sha256(self.operator_key)}"

{control}"""

    def _with_overrides(self, text: str) -> str:
        for section, values in self.overrides_by_section.items():
            lines = "".join(
                f"{key} = {to_toml(value)}\n" for key, value in values.items()
            )
            head = f"[{section}]\n"
            if head in text:
                text = text.replace(head, head + lines)
            else:
                text += f"\n{head}{lines}"
        return text

    async def wait_ready(self, instance: Instance) -> None:
        """Wait until an instance lists itself among the entries."""

        async def ready(session: aiohttp.ClientSession) -> bool:
            if instance.process is not None and instance.process.returncode is not None:
                log = (self.folder / f"{instance.id}.log").read_text()
                raise RuntimeError(f"{instance.id} ended at start:\n{log[-2000:]}")
            async with session.get(f"http://{instance.public}/addresses") as answer:
                entries = (await answer.json())["addresses"]
            return any(entry["instance"] == instance.id for entry in entries)

        try:
            await wait_for(ready, f"{instance.id} to be ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.logs()}") from None

    def logs(self) -> str:
        """Return the end of each instance's log, for a time-out's message."""
        return "\n".join(
            f"{instance.id}: {(self.folder / f'{instance.id}.log').read_text()[-1500:]}"
            for instance in self.instances
        )

    async def start_engine(
        self, name: str, model: str, instance: Instance, **options: Any
    ) -> str:
        """Start a stand-in engine near an instance; return its address."""
        return await self._start_target(
            name, "demo.fakes.engine", instance, {"model": model, **options}
        )

    async def start_service(
        self, name: str, service: str, instance: Instance, **options: Any
    ) -> str:
        """Start a stand-in service near an instance; return its address."""
        named = {"service": service, "folder": self.folder}
        return await self._start_target(
            name, "demo.fakes.service", instance, {**named, **options}
        )

    async def _start_target(
        self, name: str, module: str, instance: Instance, options: dict[str, Any]
    ) -> str:
        port = free_port()
        arguments = {
            "id": name,
            "port": port,
            "entries": ",".join(self.entries),
            "token": self.target_token,
            "data-centre": instance.data_centre,
            "region": instance.region,
            **{key.replace("_", "-"): value for key, value in options.items()},
        }
        await self.start_process(
            name, module, *(f"--{key}={value}" for key, value in arguments.items())
        )
        await self.wait_target(name)
        return f"127.0.0.1:{port}"

    async def put_service(
        self, name: str, routes: list[dict[str, Any]], organisations: Any = ()
    ) -> None:
        """Create a plain service or replace its routes and organisations."""
        fields = {"routes": routes, "organisations": list(organisations)}
        await self.declare("services", name, fields)

    async def wait_target(self, name: str, *, present: bool = True) -> None:
        """Wait until every instance knows, or no longer knows, a target."""

        async def settled(session: aiohttp.ClientSession) -> bool:
            for instance in self.instances:
                if instance.process is None or instance.process.returncode is not None:
                    continue
                url = f"http://{instance.admin}/operator/v1/targets"
                async with session.get(url, headers=self._headers()) as answer:
                    targets = (await answer.json())["targets"]
                if any(t["target"]["id"] == name for t in targets) != present:
                    return False
            return True

        await wait_for(settled, f"target {name}, present={present}")

    async def operate(self, method: str, path: str, body: Any = None) -> Any:
        """Call the operators' interface of the first instance.

        A request whose outcome is unknown, for instance after the loss of a
        leader, is sent again until ``READY_TIMEOUT_SECONDS`` have passed.
        """
        url = f"http://{self.instances[0].admin}/operator/v1{path}"
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_SECONDS
        async with aiohttp.ClientSession(headers=self._headers()) as session:
            while True:
                async with session.request(method, url, json=body) as answer:
                    data = await answer.json()
                    if answer.status == 200:
                        return data
                late = asyncio.get_running_loop().time() > deadline
                if late or data["error"]["code"] != "unknown_outcome":
                    raise RuntimeError(f"{method} {path}: {json.dumps(data)}")
                await asyncio.sleep(0.2)

    async def declare(self, table: str, name: str, fields: dict[str, Any]) -> None:
        """Put a record into the declaration, then plan and confirm it."""
        self.declared_by_table.setdefault(table, {})[name] = fields
        records = self.declared_by_table[table].items()
        declaration = "".join(
            f"[{table}.{json.dumps(known)}]\n"
            + "".join(f"{key} = {to_toml(value)}\n" for key, value in given.items())
            for known, given in records
        )
        body = {"declaration": declaration}
        plan = (await self.operate("POST", "/plans", body))["plan"]
        # Tests wait for the state that they need.  Waiting until the change
        # is in force everywhere takes longer just after an election.
        path = f"/plans/{plan['number']}/confirm?wait=no"
        await self.operate("POST", path, {"digest": plan["digest"]})

    async def add_organisation(self, name: str) -> str:
        """Create an organisation and return a key for it."""
        await self.declare("organisations", name, {})
        return await self.grant_key(name)

    async def grant_key(self, organisation: str) -> str:
        """Return a new key of an organisation."""
        text, parts = keys.generate()
        body = {
            "id": parts.id,
            "organisation": organisation,
            "secret_hash": parts.secret_hash,
        }
        await self.operate("POST", "/keys?wait=no", body)
        return text

    async def withdraw_key(self, key: str) -> None:
        """Withdraw a key without waiting until that is in force."""
        await self.operate("DELETE", f"/keys/{key.split('_')[1]}?wait=no")

    async def stop(self) -> None:
        """Stop everything that was started, targets before instances.

        Instances are killed, because a planned stop gives callers time to
        fetch a new address list, and there are no callers any more.
        """
        instance_names = {instance.id for instance in self.instances}
        targets, instances = [], []
        for name, process in self.processes_by_name.items():
            (instances if name in instance_names else targets).append(process)
        await stop_processes(targets)
        for process in instances:
            if process.returncode is None:
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.operator_key}"}


async def stop_processes(processes: list[asyncio.subprocess.Process]) -> None:
    """Send SIGTERM to processes and kill those that do not stop in time."""
    running = [process for process in processes if process.returncode is None]
    for process in running:
        # A process that a test has suspended cannot handle SIGTERM; resume it.
        process.send_signal(signal.SIGCONT)
        process.terminate()
    for process in running:
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


async def wait_for(
    condition: Any, description: str, seconds: float = READY_TIMEOUT_SECONDS
) -> None:
    """Poll an asynchronous condition until it holds.

    Raises ``TimeoutError`` with the description after ``seconds``.  Errors of
    connections and time-outs within the condition count as not holding.
    """
    try:
        async with asyncio.timeout(seconds), aiohttp.ClientSession() as session:
            while True:
                try:
                    if await condition(session):
                        return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
    except TimeoutError:
        raise TimeoutError(f"waited {seconds} s for {description}") from None


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free on loopback.

    It is below the range of ephemeral ports, so that no outgoing connection
    takes it before the process for which it is meant has started.
    """
    while True:
        port = random.randrange(10_000, 32_000)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


def to_toml(value: Any) -> str:
    """Return a value as inline TOML."""
    match value:
        case dict():
            fields = ", ".join(
                f"{key} = {to_toml(item)}" for key, item in value.items()
            )
            return f"{{{fields}}}"
        case list():
            return f"[{', '.join(to_toml(item) for item in value)}]"
        case _:
            return json.dumps(value)


def sha256(text: str) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
