"""A control member's side of the body store."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import structlog

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
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
SWEEP_LIMIT = 1000
MIN_AGE_SECONDS = 48 * 3600.0
"""Outcomes of calls must stay readable for 24 h."""

References = Callable[[], Awaitable[set[BodyDigest] | None]]
"""Returns the bodies that must stay whatever their age, or None if they
cannot be determined at the moment."""


class BodyServer:
    """Serves the body files to the entries and deletes old ones."""

    def __init__(self, files: BodyFiles) -> None:
        self._files = files
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
        """Delete old bodies that nothing refers to, a few at a time."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            await self._sweep()

    async def _sweep(self) -> None:
        kept: set[BodyDigest] = set()
        for references in self._references:
            named = await references()
            if named is None:
                return
            kept |= named
        older_than = time.time() - MIN_AGE_SECONDS
        try:
            async with self._disk:
                deleted = await asyncio.to_thread(
                    self._files.sweep, older_than, kept, SWEEP_LIMIT
                )
        except OSError as error:
            logger.warning("old bodies were not deleted", error=str(error))
            return
        if deleted:
            logger.info("old bodies deleted", count=len(deleted))

    async def _on_put(self, message: PutBody, _: PeerConnection) -> object:
        if digest_of(message.body) != message.digest:
            return Failure(
                RefusalReason.BAD_REQUEST,
                "body does not match its digest",
                Verdict.NOT_RUN,
            )
        try:
            async with self._disk:
                digest = await asyncio.to_thread(self._files.put, message.body)
        except DiskError as error:
            logger.error("body was not stored", error=str(error))
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME, str(error), Verdict.MAY_HAVE_RUN
            )
        return BodyStored(digest)

    async def _on_get(self, message: GetBody, _: PeerConnection) -> object:
        if not is_digest(message.digest):
            return Failure(RefusalReason.BAD_REQUEST, "not a digest", Verdict.NOT_RUN)
        async with self._disk:
            return BodyFound(await asyncio.to_thread(self._files.get, message.digest))
