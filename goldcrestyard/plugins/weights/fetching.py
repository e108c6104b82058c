"""Fetching of published weights, from the store once for each region.

One designated entry of a region fetches a version from the weight store; the
other entries fetch it from there.
"""

import asyncio
import hashlib
import hmac
import random
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import structlog

from goldcrestyard.core.ids import InstanceId, Region
from goldcrestyard.core.records import PublishedWeights
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.weights.cache import (
    BLOCK_BYTES,
    Cached,
    DigestMismatch,
    DiskFailed,
    TooLarge,
    WeightCache,
)
from goldcrestyard.plugins.weights.settings import WeightSettings
from goldcrestyard.policy import weight_sources
from goldcrestyard.policy.addresses import EntryLocation, order_entries
from goldcrestyard.policy.weight_sources import FromEntry, FromStore, NoSource

logger = structlog.get_logger(__name__)

PROOF_HEADER = "x-peer-proof"

CONNECT_TIMEOUT_SECONDS = 3.0
STORE_READ_TIMEOUT_SECONDS = 30.0
RETRY_INTERVAL_SECONDS = 1.0
MAX_DIGEST_MISMATCHES = 3
"""A mismatch may be due to corruption in transit; after this many, the
publication itself is treated as wrong."""


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A temporary failure; the fetch is retried after ``wait_seconds``."""

    detail: str
    wait_seconds: float = RETRY_INTERVAL_SECONDS


@dataclass(frozen=True, slots=True)
class Corrupt:
    """The content does not match the published digest."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The other entry does not answer, or has left."""

    detail: str


class WeightFetcher:
    """Fetches weight versions into the cache.

    Concurrent requests for a version share one fetch.
    """

    def __init__(
        self,
        instance: InstanceId,
        region: Region,
        entries: EntriesSlice,
        cache: WeightCache,
        session: aiohttp.ClientSession,
        settings: WeightSettings,
        secret: bytes,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._region = region
        self._entries = entries
        self._cache = cache
        self._session = session
        self._settings = settings
        self._secret = secret
        self._clock = clock
        # Fetches for another entry are separate, since they must not wait for
        # a fetch from an entry: two entries whose views differ could each
        # regard the other as designated and wait forever.
        self._region_fetches_by_digest: dict[str, asyncio.Task[Path | Refusal]] = {}
        self._store_fetches_by_digest: dict[str, asyncio.Task[Path | Refusal]] = {}
        self._store_backoff_until = 0.0

    async def obtain(
        self, weights: PublishedWeights, *, for_entry: bool
    ) -> Path | Refusal:
        """Return the file of a version, fetching it if necessary.

        ``for_entry`` is set if another entry requests the version because it
        regards this one as designated; it is then fetched from the store.
        """
        cached = self._cache.find(weights.digest)
        if cached is not None:
            return cached
        tasks = (
            self._store_fetches_by_digest
            if for_entry
            else self._region_fetches_by_digest
        )
        task = tasks.get(weights.digest)
        if task is None:
            task = asyncio.create_task(
                self._fetch_within_deadline(weights, for_entry=for_entry),
                name=f"fetch weights {weights.model} {weights.version}",
            )
            tasks[weights.digest] = task
            task.add_done_callback(lambda _: tasks.pop(weights.digest, None))
        # The fetch continues if the caller that started it is cancelled.
        return await asyncio.shield(task)

    async def stop(self) -> None:
        """Cancel all fetches in progress."""
        tasks = [
            *self._region_fetches_by_digest.values(),
            *self._store_fetches_by_digest.values(),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_valid_proof(self, proof: str, weights: PublishedWeights) -> bool:
        """Return whether a proof was made by an entry, for this version."""
        return hmac.compare_digest(proof, self._proof(weights))

    def _proof(self, weights: PublishedWeights) -> str:
        text = f"weights\0{weights.model}\0{weights.version}\0{weights.digest}"
        return hmac.new(self._secret, text.encode(), hashlib.sha256).hexdigest()

    def _candidate_entries(self, weights: PublishedWeights) -> list[InstanceId]:
        """Return the region's entries, the designated one first."""
        locations = [
            EntryLocation(entry.id, entry.data_centre, entry.region)
            for entry in self._entries.entries_by_id.values()
            if entry.region == self._region and not entry.draining
        ]
        return order_entries(locations, f"{weights.model}/{weights.version}", "", "")

    async def _fetch_within_deadline(
        self, weights: PublishedWeights, *, for_entry: bool
    ) -> Path | Refusal:
        fetch = self._fetch_from_store if for_entry else self._fetch_from_chosen_source
        try:
            async with asyncio.timeout(self._settings.fetch_seconds):
                return await fetch(weights)
        except TimeoutError:
            return Refusal(
                RefusalReason.DEADLINE,
                f"weights were not fetched in {self._settings.fetch_seconds} s",
            )

    async def _fetch_from_chosen_source(
        self, weights: PublishedWeights
    ) -> Path | Refusal:
        """Fetch from the designated entry, or from the store if this is it."""
        unreachable: set[InstanceId] = set()
        while True:
            source = weight_sources.choose_source(
                self._candidate_entries(weights), self._instance, unreachable
            )
            match source:
                case FromStore():
                    return await self.obtain(weights, for_entry=True)
                case NoSource():
                    return Refusal(
                        RefusalReason.NO_TARGET,
                        "no entry that may fetch these weights can be reached",
                        retry_after_seconds=RETRY_INTERVAL_SECONDS,
                    )
                case FromEntry(entry=entry):
                    result = await self._fetch_from_entry(entry, weights)
            match result:
                case Unreachable(detail=detail):
                    logger.warning(
                        "entry unreachable, trying another source",
                        entry=entry,
                        detail=detail,
                    )
                    unreachable.add(entry)
                case Corrupt(detail=detail):
                    logger.warning(
                        "fetched weights do not match the digest",
                        entry=entry,
                        detail=detail,
                    )
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                case FetchFailed(wait_seconds=wait_seconds):
                    await asyncio.sleep(wait_seconds * random.uniform(1.0, 1.2))
                case _:
                    return result

    async def _fetch_from_entry(
        self, entry: InstanceId, weights: PublishedWeights
    ) -> Path | Refusal | FetchFailed | Corrupt | Unreachable:
        known = self._entries.entries_by_id.get(entry)
        if known is None:
            return Unreachable("entry has left")
        url = f"http://{known.public_address}/weights/{weights.model}/{weights.version}"
        # The other entry may itself be waiting for the store, so there is no
        # read timeout, only the deadline of the whole fetch.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session.get(
                url, headers={PROOF_HEADER: self._proof(weights)}, timeout=timeout
            ) as answer:
                if answer.status == 200:
                    return await self._save(answer, weights)
                detail = f"{entry} answered {answer.status}"
                if answer.status in (404, 503):
                    # The other entry's view lags, or it has no capacity now.
                    return FetchFailed(detail)
                return Refusal(RefusalReason.TARGET_FAILED, detail)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Unreachable(f"{entry}: {error or type(error).__name__}")

    async def _fetch_from_store(self, weights: PublishedWeights) -> Path | Refusal:
        """Fetch from the published location, retrying temporary failures."""
        allowed = self._settings.allowed_locations
        if allowed and not weights.location.startswith(allowed):
            return Refusal(
                RefusalReason.FORBIDDEN,
                f"{weights.location} is not among weights.allowed_locations",
            )
        mismatches = 0
        while True:
            # A ``Retry-After`` of the store applies to all versions.
            pause = self._store_backoff_until - self._clock.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            result = await self._request_from_store(weights)
            match result:
                case Path() | Refusal():
                    return result
                case Corrupt(detail=detail):
                    mismatches += 1
                    wait_seconds = RETRY_INTERVAL_SECONDS
                    if mismatches >= MAX_DIGEST_MISMATCHES:
                        return Refusal(RefusalReason.TARGET_FAILED, detail)
                case FetchFailed(detail=detail, wait_seconds=wait_seconds):
                    pass
            logger.warning(
                "fetch from the weight store failed",
                model=weights.model,
                version=weights.version,
                detail=detail,
            )
            await asyncio.sleep(wait_seconds * random.uniform(1.0, 1.2))

    async def _request_from_store(
        self, weights: PublishedWeights
    ) -> Path | Refusal | FetchFailed | Corrupt:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=STORE_READ_TIMEOUT_SECONDS,
        )
        try:
            async with self._session.get(
                weights.location, timeout=timeout, allow_redirects=False
            ) as answer:
                if answer.status == 200:
                    logger.info(
                        "fetching weights from the store",
                        model=weights.model,
                        version=weights.version,
                    )
                    return await self._save(answer, weights)
                detail = f"the store answered {answer.status}"
                if answer.status in (429, 503):
                    wait_seconds = weight_sources.retry_after_seconds(
                        answer.headers.get("retry-after"),
                        self._clock.wall(),
                        RETRY_INTERVAL_SECONDS,
                    )
                    self._store_backoff_until = max(
                        self._store_backoff_until,
                        self._clock.monotonic() + wait_seconds,
                    )
                    return FetchFailed(detail, wait_seconds)
                if answer.status >= 500:
                    return FetchFailed(detail)
                return Refusal(RefusalReason.TARGET_FAILED, detail)
        except aiohttp.InvalidURL:
            detail = f"{weights.location!r} is not a URL"
            return Refusal(RefusalReason.TARGET_FAILED, detail)
        except (aiohttp.ClientError, TimeoutError) as error:
            return FetchFailed(f"store: {error or type(error).__name__}")

    async def _save(
        self, answer: aiohttp.ClientResponse, weights: PublishedWeights
    ) -> Path | Refusal | Corrupt:
        blocks = answer.content.iter_chunked(BLOCK_BYTES)
        match await self._cache.write(blocks, weights.digest):
            case Cached(path=path):
                return path
            case DigestMismatch(digest=digest):
                return Corrupt(f"content has digest {digest}, not {weights.digest}")
            case TooLarge():
                return Refusal(
                    RefusalReason.BODY_TOO_LARGE,
                    "the weights do not fit into weights.cache_bytes",
                )
            case DiskFailed(detail=detail):
                return Refusal(
                    RefusalReason.TARGET_FAILED, detail, retry_after_seconds=1.0
                )
