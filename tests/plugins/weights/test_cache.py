"""Tests of the disk cache of fetched weights.

They guard against content that does not match its digest, and against files
that exceed the size limit or outlive their process.
"""

import asyncio
import hashlib
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from pathlib import Path

from goldcrestyard.plugins.weights.cache import (
    LOCK_SUFFIX,
    Cached,
    DigestMismatch,
    DiskFailed,
    TooLarge,
    WeightCache,
    WriteResult,
)

SIZE = 100


def content(number: int) -> bytes:
    """Return the content of a version."""
    return bytes([number]) * SIZE


def digest(number: int) -> str:
    """Return the digest of a version."""
    return hashlib.sha256(content(number)).hexdigest()


async def blocks(data: bytes) -> AsyncIterator[bytes]:
    """Yield data in blocks."""
    for start in range(0, len(data), 30):
        yield data[start : start + 30]


class WeightCacheTests(unittest.IsolatedAsyncioTestCase):
    """A cache with room for two versions."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.cache = WeightCache(self.folder, 2 * SIZE)
        self.addCleanup(self.cache.close)

    async def write(self, number: int) -> WriteResult:
        """Store a version."""
        return await self.cache.write(blocks(content(number)), digest(number))

    def files(self) -> set[str]:
        """Return the names of all files below the folder."""
        return {
            path.name
            for path in Path(self.folder).rglob("*")
            if path.is_file() and path.suffix != LOCK_SUFFIX
        }

    async def test_matching_content_is_kept(self) -> None:
        result = await self.write(1)
        assert isinstance(result, Cached)
        self.assertEqual(result.path.read_bytes(), content(1))
        self.assertEqual(self.cache.find(digest(1)), result.path)

    async def test_other_content_is_not_kept(self) -> None:
        result = await self.cache.write(blocks(content(2)), digest(1))
        self.assertIsInstance(result, DigestMismatch)
        self.assertIsNone(self.cache.find(digest(1)))
        self.assertEqual(self.files(), set())

    async def test_least_recently_used_version_makes_room(self) -> None:
        for number in (1, 2):
            await self.write(number)
        self.cache.find(digest(1))
        await self.write(3)
        self.assertEqual(self.files(), {digest(1), digest(3)})
        self.assertIsNone(self.cache.find(digest(2)))

    async def test_version_that_is_being_sent_stays(self) -> None:
        for number in (1, 2):
            await self.write(number)
        with self.cache.pinned(digest(1)), self.cache.pinned(digest(2)):
            self.assertIsInstance(await self.write(3), TooLarge)
        self.assertEqual(self.files(), {digest(1), digest(2)})
        self.assertIsInstance(await self.write(3), Cached)

    async def test_version_larger_than_the_cache_is_refused(self) -> None:
        large = bytes(3 * SIZE)
        result = await self.cache.write(
            blocks(large), hashlib.sha256(large).hexdigest()
        )
        self.assertIsInstance(result, TooLarge)
        self.assertEqual(self.files(), set())

    async def test_source_that_breaks_off_leaves_nothing(self) -> None:
        async def broken() -> AsyncIterator[bytes]:
            yield content(1)[:30]
            raise ConnectionError("reset")

        result = await self.cache.write(broken(), digest(1))
        self.assertIsInstance(result, DiskFailed)
        self.assertEqual(self.files(), set())

    async def test_folder_is_removed_at_the_end(self) -> None:
        await self.write(1)
        self.cache.close()
        self.assertEqual(os.listdir(self.folder), [])

    async def test_folder_of_a_killed_process_is_removed(self) -> None:
        await self.write(1)
        kept = self.files()
        code = (
            "import os, sys\n"
            "from goldcrestyard.plugins.weights.cache import WeightCache\n"
            "cache = WeightCache(sys.argv[1], 100)\n"
            "os.kill(os.getpid(), 9)\n"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, self.folder
        )
        self.assertEqual(await process.wait(), -signal.SIGKILL)
        self.assertEqual(len(os.listdir(self.folder)), 4)
        other = WeightCache(self.folder, SIZE)
        self.addCleanup(other.close)
        # The folder of the killed process was removed, and that of the live
        # process was kept.
        self.assertEqual(len(os.listdir(self.folder)), 4)
        self.assertEqual(self.files(), kept)
        self.assertIsInstance(await self.write(2), Cached)
