"""Tests of the compression of messages between control members."""

import asyncio
import random
import unittest
import zlib
from dataclasses import replace

import cbor2
from parameterized import parameterized

from goldcrestyard.consensus.compression import (
    MAX_MESSAGES_BYTES,
    MIN_COMPRESSED_BYTES,
    CompressionError,
    compress,
    decompress,
)
from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.link import MemberBatch, MemberIdentity, MemberLink
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.client import PeerAddress

TEXT = b"the lining of the pipe shows a crack " * 100
NOISE = random.Random(1).randbytes(MIN_COMPRESSED_BYTES * 4)


class CompressionTests(unittest.TestCase):
    """Guards against lost messages, and blocks that fill the memory."""

    def test_messages_come_back(self) -> None:
        messages = (TEXT, b"", NOISE)
        block = compress(messages)
        assert block is not None
        self.assertEqual(decompress(block), messages)

    @parameterized.expand([("small", (b"x" * 100,)), ("noise", (NOISE,)), ("none", ())])
    def test_what_does_not_pay_is_sent_as_it_is(
        self, _: str, messages: tuple[bytes, ...]
    ) -> None:
        self.assertIsNone(compress(messages))

    @parameterized.expand(
        [
            ("no_block", b"x"),
            ("truncated", zlib.compress(cbor2.dumps([TEXT]))[:-4]),
            ("no_messages", zlib.compress(cbor2.dumps({"a": 1}))),
            ("other_types", zlib.compress(cbor2.dumps([1, "x"]))),
            ("bomb", zlib.compress(bytes(2 * MAX_MESSAGES_BYTES))),
        ]
    )
    def test_malformed(self, _: str, block: bytes) -> None:
        with self.assertRaises(CompressionError):
            decompress(block)


class BatchTests(unittest.IsolatedAsyncioTestCase):
    """Which members get compressed batches."""

    @parameterized.expand([("this_release", True), ("earlier_release", False)])
    async def test_batch(self, _: str, accepts: bool) -> None:
        sent: list[object] = []
        identity = MemberIdentity(MemberId("b#1"), "c", "b:1", (), accepts)

        class Connection:
            closed = False

            async def request(self, message: object, timeout: float) -> object:
                sent.append(message)
                return None

        link = MemberLink(
            InstanceId("b"),
            PeerAddress("b", 1),
            None,  # type: ignore[arg-type]
            lambda: replace(identity, member=MemberId("a#1")),
            lambda *_: None,
            lambda *_: None,
        )
        link.identity = identity
        link.send(MemberId("b#1"), TEXT)
        waiting = link._take_batch()
        assert waiting is not None
        await asyncio.wait_for(
            link._send_batch(Connection(), waiting),  # type: ignore[arg-type]
            5.0,
        )
        (batch,) = sent
        assert isinstance(batch, MemberBatch)
        self.assertEqual(bool(batch.compressed), accepts)
        self.assertEqual(batch.unpack(), (TEXT,))
