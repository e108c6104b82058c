"""Server side of the body store on a control member.

Bodies are stored in files under their digest.  Periodic sweeps delete expired
bodies that are no longer referenced and fetch referenced bodies that are
missing here from the other members.
"""

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
from goldcrestyard.storage.bodies import BodyStore, compute_digest, is_digest
from goldcrestyard.storage.exceptions import DiskError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure

logger = structlog.get_logger(__name__)

MAX_CONCURRENT_DISK_OPERATIONS = 4
"""Number of bodies read or written at a time, to limit their memory use."""

SWEEP_INTERVAL_SECONDS = 60.0
FOLDERS_PER_SWEEP = 16
"""Of 256 folders, so that every file is examined once in about 16 minutes."""

MAX_REPAIRS_PER_SWEEP = 200
"""Largest number of missing bodies that are fetched after one sweep."""

REPAIRED_BODY_RETENTION_SECONDS = 2 * 3600.0

ReferenceSource = Callable[[], Awaitable[set[BodyDigest] | None]]
"""Returns the bodies that must not be deleted even if expired, or None if they
cannot be determined at present."""


class BodyServer:
    """Serves body files; deletes expired and fetches missing bodies."""

    def __init__(self, files: BodyStore, client: BodyClient, clock: Clock) -> None:
        self._files = files
        self._client = client
        self._clock = clock
        self._disk = asyncio.Semaphore(MAX_CONCURRENT_DISK_OPERATIONS)
        self._reference_sources: list[ReferenceSource] = []

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for messages of the body store."""
        handlers.add(PutBody, self._on_put)
        handlers.add(GetBody, self._on_get)

    def keep(self, source: ReferenceSource) -> None:
        """Protect the bodies that a function returns from deletion."""
        self._reference_sources.append(source)

    async def run(self) -> None:
        """Delete expired bodies and fetch missing ones, until cancelled.

        A body is acknowledged once a quorum has stored it.  Members that were
        unavailable then fetch it here, so that it survives the successive
        loss of the members that have it.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            referenced = await self._referenced()
            if referenced is None:
                logger.info("referenced bodies cannot be determined; sweep skipped")
                continue
            try:
                await self._sweep(referenced)
                await self._repair(referenced)
            except (OSError, DiskError) as error:
                logger.warning(
                    "sweep of body files failed; retrying at the next interval",
                    error=str(error),
                )

    async def _referenced(self) -> set[BodyDigest] | None:
        referenced: set[BodyDigest] = set()
        for source in self._reference_sources:
            digests = await source()
            if digests is None:
                return None
            referenced |= digests
        return referenced

    async def _sweep(self, referenced: set[BodyDigest]) -> None:
        async with self._disk:
            deleted = await asyncio.to_thread(
                self._files.delete_expired,
                self._clock.wall(),
                referenced,
                FOLDERS_PER_SWEEP,
            )
        if deleted:
            logger.info("expired bodies deleted", count=len(deleted))

    async def _repair(self, referenced: set[BodyDigest]) -> None:
        async with self._disk:
            missing = await asyncio.to_thread(
                self._files.find_missing, referenced, MAX_REPAIRS_PER_SWEEP
            )
        for digest in missing:
            body = await self._client.get(digest)
            if body is not None:
                await self._store(body, REPAIRED_BODY_RETENTION_SECONDS)
                logger.info("missing body fetched from another member", digest=digest)

    async def _store(self, body: bytes, keep_seconds: float) -> BodyDigest:
        keep_until = self._clock.wall() + keep_seconds
        async with self._disk:
            return await asyncio.to_thread(self._files.put, body, keep_until)

    async def _on_put(self, message: PutBody, _: PeerConnection) -> object:
        if compute_digest(message.body) != message.digest:
            return Failure(
                RefusalReason.BAD_REQUEST,
                "body does not match its digest",
                Verdict.NOT_RUN,
            )
        try:
            digest = await self._store(message.body, message.keep_seconds)
        except DiskError as error:
            logger.error("body could not be written to disk", error=str(error))
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
            logger.error("body could not be read from disk", error=str(error))
            return Failure(
                RefusalReason.UNKNOWN_OUTCOME, str(error), Verdict.MAY_HAVE_RUN
            )
        return BodyFound(body)
