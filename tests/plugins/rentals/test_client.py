"""Tests of reading the lists of the platform interface.

They guard against one odd entry that keeps all others from their use.
"""

import unittest
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.test_utils import RawTestServer
from parameterized import parameterized

from goldcrestyard.plugins.rentals.client import PlatformClient, Unavailable
from tests.fakes.quiet_logs import quiet_logs

GOOD = b'{"id":"t-1","data_centre":"a","rental":"on_demand"}'

ODD_ENTRIES = [
    ("field_missing", b'{"id":"t-2","data_centre":"a"}'),
    ("another_type", b'{"id":7,"data_centre":"a","rental":"on_demand"}'),
    ("unknown_rental", b'{"id":"t-2","data_centre":"a","rental":"gift"}'),
    ("not_an_object", b"[[]]"),
    ("number_beyond_floats", b"1e999"),
    ("nothing", b"null"),
]


class ListTests(unittest.IsolatedAsyncioTestCase):
    """Lists with odd entries, and odd lists."""

    async def asyncSetUp(self) -> None:
        quiet_logs(self)
        self.body = b""

        async def answer(_: web.BaseRequest) -> web.Response:
            return web.Response(body=self.body)

        server = RawTestServer(answer)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.client = PlatformClient(session, f"{server.host}:{server.port}")

    @parameterized.expand(ODD_ENTRIES)
    async def test_odd_entry(self, _: str, entry: bytes) -> None:
        self.body = b'{"targets":[%s,%s]}' % (entry, GOOD)
        listed: Any = await self.client.targets()
        self.assertEqual([target.id for target in listed], ["t-1"])
        self.body = b'{"notices":[%s,{"data_centre":"b"}]}' % entry.replace(
            b"data", b"x"
        )
        notices: Any = await self.client.notices()
        self.assertEqual([notice.data_centre for notice in notices], ["b"])

    @parameterized.expand(
        [
            ("nested_deeply", b'{"targets":[%s]}' % (b"[" * 9999 + b"]" * 9999)),
            ("not_a_list", b'{"targets":7,"notices":7}'),
            ("cut", b'{"targets":['),
        ]
    )
    async def test_odd_list(self, _: str, body: bytes) -> None:
        self.body = body
        self.assertIsInstance(await self.client.targets(), Unavailable)
        self.assertIsInstance(await self.client.notices(), Unavailable)
