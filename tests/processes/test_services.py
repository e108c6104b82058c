"""Calls of plain services through real processes.

The tests guard against a key that reaches a target, a call that runs for an
organisation without access, an answer that is passed on incomplete, a
non-idempotent call that runs twice, and a refusal with a wrong verdict.
"""

import asyncio
import json
import signal
import uuid
from dataclasses import dataclass
from typing import Any

import aiohttp
from parameterized import parameterized

from demo.deployment import Deployment, wait_for
from tests.fakes.deployments import DeploymentTestCase
from tests.fakes.shared_deployments import SharedDeploymentTestCase

SERVICE = "scoring-desk"
ROUTES = [
    {"prefix": "/public", "open": True, "idempotent": True},
    {"prefix": "/quote", "idempotent": True},
    {"prefix": "/quote/book", "idempotent": False},
]


@dataclass(frozen=True)
class Reply:
    """An answer of an entry, with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal."""
        return json.loads(self.body)["error"]


async def ask(
    deployment: Deployment,
    path: str,
    *,
    entry: int = 0,
    method: str = "POST",
    key: str = "",
    body: bytes = b"joint 7",
    headers: dict[str, str] | None = None,
    service: str = SERVICE,
) -> Reply:
    """Call a service through the entry with this index."""
    url = f"http://{deployment.instances[entry].public}/services/{service}{path}"
    sent = dict(headers or {})
    if key:
        sent["authorization"] = f"Bearer {key}"
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, data=body, headers=sent) as answer,
    ):
        read = await answer.read()
        lowered = {name.lower(): value for name, value in answer.headers.items()}
        return Reply(answer.status, lowered, read)


async def state_of(address: str) -> dict[str, Any]:
    """Return the calls and runs that a stand-in has recorded."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/fake/state") as answer,
    ):
        return await answer.json()


async def wait_known(deployment: Deployment, key: str, path: str = "/quote") -> None:
    """Wait until every entry knows the key and the service."""

    async def known(_: object) -> bool:
        replies = [
            await ask(deployment, path, entry=entry, key=key)
            for entry in range(len(deployment.instances))
        ]
        return all(reply.status == 200 for reply in replies)

    await wait_for(known, "the key and the service to be known")


@dataclass(frozen=True)
class AccessCase:
    """A caller, a path, and the expected answer.

    ``owner`` is the organisation whose key is sent; empty for no key.
    """

    name: str
    path: str
    owner: str
    status: int
    code: str = ""
    service: str = SERVICE


ACCESS_CASES = [
    AccessCase("own_service", "/quote", "tejo", 200),
    AccessCase("other_organisation", "/quote", "sado", 403, "forbidden"),
    AccessCase("no_key", "/quote", "", 401, "invalid_key"),
    AccessCase("open_without_key", "/public/hours", "", 200),
    AccessCase("no_route_needs_a_key", "/elsewhere", "", 401, "invalid_key"),
    AccessCase("prefix_ends_at_a_slash", "/publications", "", 401, "invalid_key"),
    AccessCase("dot_segments", "/public/%2e%2e/quote", "", 400, "bad_request"),
    AccessCase("encoded_slash", "/public%2f..%2fquote", "", 400, "bad_request"),
    AccessCase("unknown_service", "/x", "tejo", 404, "not_found", "no-such-desk"),
    AccessCase("unknown_service_no_key", "/x", "", 401, "invalid_key", "no-such-desk"),
]


@dataclass(frozen=True)
class FaultCase:
    """A fault of the target that gets a call first, and the outcome.

    ``runs`` counts the runs on both targets.
    """

    name: str
    path: str
    fault: str
    status: int
    verdict: str
    runs: int


FAULT_CASES = [
    FaultCase("closed_once", "/quote/book", "close_before", 502, "may_have_run", 0),
    FaultCase("closed_repeat", "/quote", "close_before", 200, "ran", 1),
    FaultCase("lost_once", "/quote/book", "close_after_run", 502, "may_have_run", 1),
    FaultCase("lost_repeat", "/quote", "close_after_run", 200, "ran", 2),
    FaultCase("cut_once", "/quote/book", "truncate", 502, "may_have_run", 1),
    FaultCase("cut_repeat", "/quote", "truncate", 200, "ran", 2),
    FaultCase("closed_after_once", "/quote/book", "close_after_answer", 200, "ran", 1),
    FaultCase("other_once", "/quote/book", "other_answer", 502, "may_have_run", 1),
    FaultCase("other_repeat", "/quote", "other_answer", 200, "ran", 2),
    FaultCase("not_run_once", "/quote/book", "not_run", 200, "ran", 1),
    FaultCase("not_run_repeat", "/quote", "not_run", 200, "ran", 1),
    FaultCase("busy_once", "/quote/book", "unavailable", 503, "ran", 1),
]

METHODS = ("GET", "PUT", "DELETE", "PATCH", "OPTIONS")


class ServiceTableTests(SharedDeploymentTestCase):
    """Routes, access, headers and faults, with two targets."""

    @classmethod
    async def prepare(cls) -> None:
        await cls.deployment.put_service(SERVICE, ROUTES, ["tejo"])
        cls.keys = {
            "tejo": await cls.deployment.add_organisation("tejo"),
            "sado": await cls.deployment.add_organisation("sado"),
            "": "",
        }
        cls.targets = [
            await cls.deployment.start_service(
                f"desk-{number}", SERVICE, cls.deployment.instances[0]
            )
            for number in range(2)
        ]
        await cls.deployment.put_service("shared-desk", ROUTES)
        cls.shared_target = await cls.deployment.start_service(
            "shared", "shared-desk", cls.deployment.instances[0]
        )
        await wait_known(cls.deployment, cls.keys["tejo"])

    async def runs(self, field: str, call: str) -> int:
        states = [await state_of(target) for target in self.targets]
        return sum(state[field].get(call, 0) for state in states)

    @parameterized.expand([(case.name, case) for case in ACCESS_CASES])
    async def test_access(self, _: str, case: AccessCase) -> None:
        call = uuid.uuid4().hex
        # The path is sent unchanged; aiohttp would resolve dot segments.
        reply = await raw_ask(
            self.deployment.instances[1].public,
            f"/services/{case.service}{case.path}?call={call}",
            self.keys[case.owner],
        )
        self.assertEqual(reply.status, case.status)
        if case.code:
            self.assertEqual(reply.error["code"], case.code)
            self.assertEqual(reply.error["verdict"], "not_run")
        runs = await self.runs("runs_by_call", call)
        self.assertEqual(runs, 1 if case.status == 200 else 0)

    @parameterized.expand([(case.name, case) for case in FAULT_CASES])
    async def test_fault(self, _: str, case: FaultCase) -> None:
        call = uuid.uuid4().hex
        reply = await ask(
            self.deployment,
            f"{case.path}?call={call}&first_fault={case.fault}",
            key=self.keys["tejo"],
        )
        self.assertEqual(
            (reply.status, reply.headers["x-verdict"]), (case.status, case.verdict)
        )
        self.assertEqual(await self.runs("runs_by_call", call), case.runs)
        if case.status == 200:
            self.assertEqual(reply.body, b"answer to joint 7")

    @parameterized.expand([(method,) for method in METHODS])
    async def test_no_method_is_sent_twice_on_its_own(self, method: str) -> None:
        # aiohttp by default repeats GET, PUT and DELETE by itself when a
        # connection closes without an answer.
        call = uuid.uuid4().hex
        reply = await ask(
            self.deployment,
            f"/quote/book?call={call}&fault=close_after_run",
            key=self.keys["tejo"],
            method=method,
        )
        self.assertEqual(reply.status, 502)
        self.assertEqual(await self.runs("requests_by_call", call), 1)

    async def test_key_never_reaches_a_target(self) -> None:
        call, key = uuid.uuid4().hex, self.keys["tejo"]
        await ask(
            self.deployment,
            f"/quote?call={call}&token={key}&keep=1",
            key=key,
            headers={"cookie": f"key={key}", "x-api-key": key, "accept": "text/*"},
        )
        [seen] = [
            seen
            for target in self.targets
            for seen in (await state_of(target))["seen"]
            if call in seen["path"]
        ]
        self.assertNotIn(key, json.dumps(seen))
        headers = {name.lower(): value for name, value in seen["headers"].items()}
        self.assertEqual(headers["x-organisation"], "tejo")
        self.assertEqual(headers["accept"], "text/*")
        self.assertNotIn("authorization", headers)
        self.assertTrue(headers["x-request-id"])
        self.assertIn("keep=1", seen["path"])

    @parameterized.expand(["body", "path"])
    async def test_key_elsewhere_is_refused(self, place: str) -> None:
        key = self.keys["tejo"]
        path, body = ("/quote", key) if place == "body" else (f"/quote/{key}", "x")
        reply = await ask(self.deployment, path, key=key, body=body.encode())
        self.assertEqual(reply.status, 400)

    async def test_answer_is_passed_on_whole(self) -> None:
        reply = await ask(
            self.deployment,
            "/quote?status=418&answer_bytes=200000",
            key=self.keys["tejo"],
        )
        self.assertEqual(reply.status, 418)
        self.assertEqual(reply.body, b"answer to joint 7" + b"." * 200000)
        self.assertEqual(reply.headers["etag"], '"1"')
        self.assertTrue(reply.headers["content-type"].startswith("text/plain"))
        self.assertNotIn("x-internal", reply.headers)

    async def test_resend_through_another_entry_gets_the_outcome(self) -> None:
        call = uuid.uuid4().hex
        replies = [
            await ask(
                self.deployment,
                f"/quote/book?call={call}",
                entry=entry,
                key=self.keys["tejo"],
                headers={"idempotency-key": call},
            )
            for entry in (0, 2, 0)
        ]
        self.assertEqual({reply.body for reply in replies}, {b"answer to joint 7"})
        self.assertEqual({reply.headers["etag"] for reply in replies}, {'"1"'})
        self.assertEqual(await self.runs("runs_by_call", call), 1)

    async def test_concurrent_resends_run_once(self) -> None:
        call = uuid.uuid4().hex
        replies = await asyncio.gather(
            *(
                ask(
                    self.deployment,
                    f"/quote/book?call={call}&seconds=0.5",
                    entry=number % 3,
                    key=self.keys["tejo"],
                    headers={"x-request-id": call},
                )
                for number in range(9)
            )
        )
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertEqual({reply.body for reply in replies}, {b"answer to joint 7"})
        self.assertEqual(await self.runs("runs_by_call", call), 1)

    async def test_same_id_with_another_body_is_refused(self) -> None:
        call, key = uuid.uuid4().hex, self.keys["tejo"]
        headers = {"idempotency-key": call}
        path = f"/quote/book?call={call}"
        await ask(self.deployment, path, key=key, headers=headers)
        reply = await ask(
            self.deployment, path, entry=1, key=key, headers=headers, body=b"other"
        )
        self.assertEqual(reply.status, 409)
        self.assertEqual(reply.error["verdict"], "not_run")
        self.assertEqual(await self.runs("runs_by_call", call), 1)

    async def test_request_ids_are_scoped_to_the_organisation(self) -> None:
        call = uuid.uuid4().hex
        for owner in ("tejo", "sado"):
            reply = await ask(
                self.deployment,
                f"/quote/book?call={call}",
                key=self.keys[owner],
                headers={"idempotency-key": call},
                body=owner.encode(),
                service="shared-desk",
            )
            self.assertEqual(reply.body, b"answer to " + owner.encode())
        state = await state_of(self.shared_target)
        self.assertEqual(state["runs_by_call"][call], 2)

    async def test_entry_generates_a_request_id_and_returns_it(self) -> None:
        call, key = uuid.uuid4().hex, self.keys["tejo"]
        path = f"/quote/book?call={call}"
        first = await ask(self.deployment, path, key=key)
        headers = {"idempotency-key": first.headers["x-request-id"]}
        await ask(self.deployment, path, entry=1, key=key, headers=headers)
        self.assertEqual(await self.runs("runs_by_call", call), 1)

    async def test_claim_is_released_when_provably_not_run(self) -> None:
        # Both targets refuse each attempt without running it, so the caller
        # may resend under the same id.
        call, key = uuid.uuid4().hex, self.keys["tejo"]
        headers = {"idempotency-key": call}
        path = f"/quote/book?call={call}"
        await self.set_faults_of_all(["not_run"] * 100)
        refused = await ask(self.deployment, path, key=key, headers=headers)
        await self.set_faults_of_all([])
        self.assertEqual(refused.error["verdict"], "not_run")
        self.assertEqual(await self.runs("runs_by_call", call), 0)
        served = await ask(self.deployment, path, entry=1, key=key, headers=headers)
        self.assertEqual(served.status, 200)
        self.assertEqual(await self.runs("runs_by_call", call), 1)

    async def set_faults_of_all(self, faults: list[str]) -> None:
        """Set the faults of the next calls at each target."""
        async with aiohttp.ClientSession() as session:
            for target in self.targets:
                url = f"http://{target}/fake/faults"
                async with session.post(url, json=faults):
                    pass

    async def test_large_outcome_is_known_without_its_body(self) -> None:
        call, key = uuid.uuid4().hex, self.keys["tejo"]
        headers = {"idempotency-key": call}
        path = f"/quote/book?call={call}&answer_bytes=100000"
        first = await ask(self.deployment, path, key=key, headers=headers)
        self.assertEqual(len(first.body), 100000 + len(b"answer to joint 7"))
        again = await ask(self.deployment, path, key=key, headers=headers)
        self.assertEqual(again.error["verdict"], "ran")
        self.assertEqual(await self.runs("runs_by_call", call), 1)


class ServiceProcessTests(DeploymentTestCase):
    """Calls that may run at most once while an entry or a caller fails."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.deployment.put_service(SERVICE, ROUTES, ["tejo"])
        self.key = await self.deployment.add_organisation("tejo")
        self.target = await self.deployment.start_service(
            "desk", SERVICE, self.deployment.instances[0]
        )
        await wait_known(self.deployment, self.key)

    async def started(self, call: str) -> None:
        async def running(_: object) -> bool:
            return (await state_of(self.target))["runs_by_call"].get(call, 0) == 1

        await wait_for(running, "the call to run")

    async def release(self) -> None:
        url = f"http://{self.target}/fake/release"
        async with aiohttp.ClientSession() as session, session.post(url):
            pass

    async def test_resend_after_the_entry_died_does_not_run_again(self) -> None:
        call = uuid.uuid4().hex
        path, headers = f"/quote/book?call={call}&hold=1", {"idempotency-key": call}
        entry = 2
        first = asyncio.create_task(
            ask(self.deployment, path, entry=entry, key=self.key, headers=headers)
        )
        await self.started(call)
        process = self.deployment.instances[entry].process
        assert process is not None
        process.send_signal(signal.SIGKILL)
        with self.assertRaises(aiohttp.ClientError):
            await first
        await self.release()
        reply = await ask(self.deployment, path, entry=1, key=self.key, headers=headers)
        self.assertEqual(reply.error["verdict"], "may_have_run")
        state = await state_of(self.target)
        self.assertEqual(state["requests_by_call"][call], 1)

    async def test_resend_after_the_caller_left_gets_the_outcome(self) -> None:
        call = uuid.uuid4().hex
        path, headers = f"/quote/book?call={call}&hold=1", {"idempotency-key": call}
        first = asyncio.create_task(
            ask(self.deployment, path, entry=2, key=self.key, headers=headers)
        )
        await self.started(call)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        resend = asyncio.create_task(
            ask(self.deployment, path, entry=1, key=self.key, headers=headers)
        )
        await self.release()
        self.assertEqual((await resend).body, b"answer to joint 7")
        state = await state_of(self.target)
        self.assertEqual(state["requests_by_call"][call], 1)


async def raw_ask(address: str, path: str, key: str) -> Reply:
    """Send a GET request over a plain socket, with the path unchanged."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    authorization = f"authorization: Bearer {key}\r\n" if key else ""
    writer.write(
        f"GET {path} HTTP/1.1\r\nhost: {address}\r\n{authorization}"
        "connection: close\r\n\r\n".encode()
    )
    data = await reader.read()
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    status, *lines = head.decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in lines)
    headers = {name.lower(): value for name, value in pairs}
    return Reply(int(status.split()[1]), headers, body)
