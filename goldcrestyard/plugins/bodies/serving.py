"""A control member's side of the body store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import structlog

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.membership.body_messages import (
    BodyFound,
    BodyStored,
    GetBody,
    PutBody,
)
from goldcrestyard.storage.bodies import BodyFiles, digest_of, is_digest
from goldcrestyard.storage.exceptions import DiskError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

DISK_CONCURRENCY = 4
"""Bodies read or written at a time; bounds the memory they take."""

SWEEP_SECONDS = 60.0
SWEEP_FOLDERS = 16
"""Every file is looked at once in about 16 minutes."""

REPAIR_LIMIT = 200
"""Missing bodies fetched after one sweep."""

REPAIR_KEEP_SECONDS = 2 * 3600.0

References = Callable[[], Awaitable[set[BodyDigest] | None]]
"""Returns the bodies that must stay whatever their age, or None if they
cannot be determined at the moment."""


class BodyServer:
    """Serves the body files to the entries, deletes and repairs them."""

    def __init__(self, files: BodyFiles, client: BodyClient, clock: Clock) -> None:
        self._files = files
        self._client = client
        self._clock = clock
        self._disk = asyncio.Semaphore(DISK_CONCURRENCY)
        self._references: list[References] = []

    def register(self, handlers: Handlers) -> None:
        """Serve the messages of the body store."""
        handlers.add(PutBody, self._on_put)
        handlers.add(GetBody, self._on_get)

    def keep(self, references: References) -> None:
        """Keep the bodies that a function names from being deleted."""
        self._references.append(references)

    async def run(self) -> None:
        """Delete bodies whose time is over, and fetch the missing ones.

        A body is acknowledged when a quorum has it.  The members that were
        away at that time fetch it here, so that it outlives the loss of
        members one after the other.
        """
        while True:
            await asyncio.sleep(SWEEP_SECONDS * random.uniform(0.8, 1.2))
            referenced = await self._referenced()
            if referenced is None:
                logger.info("referenced bodies are not known; none deleted")
                continue
            try:
                await self._sweep(referenced)
                await self._repair(referenced)
            except (OSError, DiskError) as error:
                logger.warning("body files were not swept", error=str(error))

    async def _referenced(self) -> set[BodyDigest] | None:
        referenced: set[BodyDigest] = set()
        for references in self._references:
            named = await references()
            if named is None:
                return None
            referenced |= named
        return referenced

    async def _sweep(self, referenced: set[BodyDigest]) -> None:
        async with self._disk:
            deleted = await asyncio.to_thread(
                self._files.sweep, self._clock.wall(), referenced, SWEEP_FOLDERS
            )
        if deleted:
            logger.info("old bodies deleted", count=len(deleted))

    async def _repair(self, referenced: set[BodyDigest]) -> None:
        async with self._disk:
            missing = await asyncio.to_thread(
                self._files.missing, referenced, REPAIR_LIMIT
            )
        for digest in missing:
            body = await self._client.get(digest)
            if body is not None:
                await self._store(body, REPAIR_KEEP_SECONDS)
                logger.info("missing body fetched", digest=digest)

    async def _store(self, body: bytes, keep_seconds: float) -> BodyDigest:
        keep_until = self._clock.wall() + keep_seconds
        async with self._disk:
            return await asyncio.to_thread(self._files.put, body, keep_until)

    async def _on_put(self, message: PutBody, _: PeerConnection) -> object:
        if digest_of(message.body) != message.digest:
            return Failure(
                RefusalReason.BAD_REQUEST,
                "body does not match its digest",
                Verdict.NOT_RUN,
            )
        try:
            digest = await self._store(message.body, message.keep_seconds)
        except DiskError as error:
            logger.error("body was not stored", error=str(error))
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME, str(error), Verdict.MAY_HAVE_RUN
            )
        return BodyStored(digest)

    async def _on_get(self, message: GetBody, _: PeerConnection) -> object:
        if not is_digest(message.digest):
            return Failure(RefusalReason.BAD_REQUEST, "not a digest", Verdict.NOT_RUN)
        try:
            async with self._disk:
                body = await asyncio.to_thread(self._files.get, message.digest)
        except OSError as error:
            logger.error("body was not read", error=str(error))
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME, str(error), Verdict.MAY_HAVE_RUN
            )
        return BodyFound(body)
