"""Tests of malformed requests against a real listener.

Each case must get a well-formed error response with the right verdict, or a
closed connection, and the instance must continue to serve requests.
"""

import asyncio
import gzip
import json
import unittest
from dataclasses import dataclass

import aiohttp
from parameterized import parameterized

from demo.deployment import wait_for
from tests.fakes.shared_deployments import SharedDeploymentTestCase

MODEL = "inspect-lm"
CHAT = "/v1/chat/completions"
MAX_BODY_BYTES = 64 * 1024
MESSAGE = {"role": "user", "content": "Describe joint 7."}
GOOD_BODY = json.dumps({"model": MODEL, "messages": [MESSAGE]}).encode()
READ_SECONDS = 20.0


@dataclass(frozen=True)
class Case:
    """A request as raw bytes, and the expected error.

    ``{key}`` in the head stands for a valid key, ``{withdrawn}`` for a
    withdrawn one.  ``length`` is sent as content-length, with two special
    values: -1 omits the header and -2 leaves the head incomplete.  Status 0
    expects the connection to be closed without a response.
    """

    name: str
    body: bytes = GOOD_BODY
    head: str = "authorization: Bearer {key}"
    line: str = f"POST {CHAT} HTTP/1.1"
    status: int = 400
    code: str = "bad_request"
    length: int | None = None
    half_close: bool = False


def chat(**fields: object) -> bytes:
    """Return the body of a request with some fields replaced."""
    return json.dumps({"model": MODEL, "messages": [MESSAGE], **fields}).encode()


UNKNOWN_KEY = "gcy_0123456789ab_" + "x" * 43
TOO_LONG = MAX_BODY_BYTES + 1

CASES = [
    Case("missing_key", head="x-none: 1", status=401, code="invalid_key"),
    Case(
        "unknown_key",
        head=f"authorization: Bearer {UNKNOWN_KEY}",
        status=401,
        code="invalid_key",
    ),
    Case(
        "not_a_key",
        head="authorization: Bearer sesame",
        status=401,
        code="invalid_key",
    ),
    Case(
        "withdrawn_key",
        head="authorization: Bearer {withdrawn}",
        status=401,
        code="key_withdrawn",
    ),
    Case(
        "unknown_model",
        chat(model="no-such-lm"),
        status=404,
        code="model_not_found",
    ),
    Case("empty_body", b""),
    Case("malformed_json", b'{"model": '),
    Case("not_utf8", b'{"model": "\xff\xfe"}'),
    Case("json_of_another_shape", b"[1, 2]"),
    Case("deeply_nested_json", b'{"a": ' + b"[" * 20000 + b"]" * 20000 + b"}"),
    Case("wrong_type_of_model", chat(model=7)),
    Case("wrong_type_of_messages", chat(messages="hello")),
    Case("wrong_type_of_stream", chat(stream="yes")),
    Case("wrong_type_of_max_tokens", chat(max_tokens="many")),
    Case("negative_max_tokens", chat(max_tokens=-1)),
    Case("no_messages", chat(messages=[])),
    Case("no_choices", chat(n=0)),
    Case("key_in_the_body", b'{"model": "inspect-lm", "messages": [{"k": "{key}"}]}'),
    Case(
        "key_in_the_body_with_escapes",
        b'{"model": "inspect-lm", "messages": [{"k": "\\u0067{key_rest}"}]}',
    ),
    Case("prompt_missing", chat(), line="POST /v1/completions HTTP/1.1"),
    Case(
        "too_long_by_its_length",
        b"",
        length=10**12,
        status=413,
        code="body_too_large",
    ),
    Case(
        "too_long_without_a_length",
        f"{TOO_LONG:x}\r\n".encode() + b"x" * TOO_LONG + b"\r\n0\r\n\r\n",
        head="authorization: Bearer {key}\r\ntransfer-encoding: chunked",
        length=-1,
        status=413,
        code="body_too_large",
    ),
    Case(
        "malformed_chunk",
        b"zz\r\nhello\r\n",
        head="authorization: Bearer {key}\r\ntransfer-encoding: chunked",
        length=-1,
    ),
    Case("body_cut_off", GOOD_BODY[:10], length=500, half_close=True, status=0),
    Case("slow_body", GOOD_BODY[:10], length=500),
    Case("slow_head", b"", head="x-half: ", length=-2, status=408),
    Case("silent_connection", b"", line="", head="", length=-2, status=408),
    Case("many_headers", head="\r\n".join(f"x-{n}: 1" for n in range(2000))),
    Case("long_header", head="x-long: " + "x" * 100_000),
    Case("long_line", line=f"GET /{'x' * 100_000} HTTP/1.1"),
    Case("not_http", line="\x16\x03\x01 hello"),
    Case("bad_length", head="content-length: many", length=-1),
    Case(
        "two_lengths",
        head="authorization: Bearer {key}\r\ncontent-length: 3",
    ),
    Case("wrong_method", line=f"GET {CHAT} HTTP/1.1", status=405),
    Case("unknown_route", line="POST /v2/x HTTP/1.1", status=404, code="not_found"),
    Case(
        "unknown_expectation",
        head="authorization: Bearer {key}\r\nexpect: tea",
    ),
    Case(
        "compressed",
        gzip.compress(GOOD_BODY),
        head="authorization: Bearer {key}\r\ncontent-encoding: gzip",
    ),
    Case(
        "bad_compression",
        head="authorization: Bearer {key}\r\ncontent-encoding: gzip",
    ),
]


class BadRequestTests(SharedDeploymentTestCase):
    """All cases against one instance, which must keep serving."""

    overrides_by_section = {
        "listeners": {
            "max_body_bytes": MAX_BODY_BYTES,
            "header_seconds": 1.0,
            "body_seconds": 1.0,
        }
    }

    @classmethod
    async def prepare(cls) -> None:
        cls.entry = cls.deployment.instances[1]
        cls.engine = await cls.deployment.start_engine("engine-1", MODEL, cls.entry)
        cls.key = await cls.deployment.add_organisation("tejo")
        cls.withdrawn = await cls.deployment.grant_key("tejo")
        await cls.deployment.withdraw_key(cls.withdrawn)

    async def asyncSetUp(self) -> None:
        await wait_for(self._serves, "the entry to serve")
        self.runs_before = await self._runs()

    async def _serves(self, session: aiohttp.ClientSession) -> bool:
        headers = {"authorization": f"Bearer {self.key}"}
        url = f"http://{self.entry.public}{CHAT}"
        async with session.post(url, data=GOOD_BODY, headers=headers) as answer:
            return answer.status == 200

    async def _runs(self) -> int:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.engine}/fake/state") as answer,
        ):
            return sum((await answer.json())["runs_by_request"].values())

    async def exchange(self, case: Case) -> bytes:
        """Send the bytes of a case and return the response."""
        host, _, port = self.entry.public.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = case.body.replace(b"{key}", self.key.encode())
        body = body.replace(b"{key_rest}", self.key[1:].encode())
        length = len(body) if case.length is None else case.length
        head = case.head.format(key=self.key, withdrawn=self.withdrawn)
        lines = [case.line, "host: entry", head]
        if length >= 0:
            lines.append(f"content-length: {length}")
        text = "\r\n".join(lines) + "\r\n\r\n"
        if length == -2:
            text = text.rstrip() if case.line else ""
        try:
            writer.write(text.encode("latin-1") + body)
            await writer.drain()
            if case.half_close:
                writer.write_eof()
            return await self._read(reader)
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        data = b""
        async with asyncio.timeout(READ_SECONDS):
            try:
                while chunk := await reader.read(65536):
                    data += chunk
                    head, _, body = data.partition(b"\r\n\r\n")
                    if body.endswith(b"}") and b"content-length" in head.lower():
                        break
            except ConnectionResetError:
                pass
        return data

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_case(self, _: str, case: Case) -> None:
        data = await self.exchange(case)
        head, _, body = data.partition(b"\r\n\r\n")
        if case.status == 0:
            self.assertEqual(data, b"")
        else:
            self.assertEqual(int(head.split()[1]), case.status, data[:300])
            error = json.loads(body)["error"]
            self.assertEqual(error["code"], case.code)
            self.assertEqual(error["verdict"], "not_run")
            self.assertIn(b"x-verdict: not_run", head.lower())
            self.assertEqual(error["type"], "invalid_request_error")
            self.assertTrue(error["message"])
        self.assertEqual(await self._runs(), self.runs_before)
        await wait_for(self._serves, "the entry to continue serving")

    async def test_over_long_body_is_refused_before_it_is_read(self) -> None:
        host, _, port = self.entry.public.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST {CHAT} HTTP/1.1\r\nhost: entry\r\n"
            f"authorization: Bearer {self.key}\r\n"
            f"content-length: {10**12}\r\n\r\n".encode()
        )
        # The response must arrive although no byte of the body is sent.
        async with asyncio.timeout(READ_SECONDS):
            line = await reader.readline()
        writer.close()
        self.assertIn(b"413", line)

    async def test_slow_callers_hold_no_connection(self) -> None:
        # Single bytes at intervals must not extend the time-out of the head.
        host, _, port = self.entry.public.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /healthz HTTP/1.1\r\nx-slow: ")

        async def drip() -> None:
            while True:
                writer.write(b"x")
                await asyncio.sleep(0.1)

        dripping = asyncio.create_task(drip())
        try:
            data = await self._read(reader)
        finally:
            dripping.cancel()
            writer.close()
        self.assertIn(b" 408 ", data)


if __name__ == "__main__":
    unittest.main()
