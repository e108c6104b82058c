"""Read-only client of the platform interface.

It fetches the rented targets and the reclaim notices.  Orders to the platform
go through the order outbox instead.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
import structlog

from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.core.ids import DataCentre, TargetId
from goldcrestyard.core.states import Rental
from goldcrestyard.kernel.http_client import MAX_REPORT_BYTES, read_at_most

logger = structlog.get_logger(__name__)

T = TypeVar("T")

READ_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target that this deployment rents from the platform."""

    id: TargetId
    data_centre: DataCentre
    rental: Rental


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """The platform will take back the reclaimable targets of a data centre."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not return a list."""

    detail: str


@dataclass(frozen=True, slots=True)
class _TargetList:
    targets: tuple[msgspec.Raw, ...]


@dataclass(frozen=True, slots=True)
class _NoticeList:
    notices: tuple[msgspec.Raw, ...]


class PlatformClient:
    """Fetches the platform's lists over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address

    async def targets(self) -> tuple[ListedTarget, ...] | Unavailable:
        """Return the targets rented now, or why they could not be fetched."""
        body = await self._get("/targets")
        if isinstance(body, Unavailable):
            return body
        listed = decode_json(body, _TargetList)
        if isinstance(listed, Malformed):
            return Unavailable(listed.detail)
        return _readable_entries(listed.targets, ListedTarget)

    async def notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the reclaim notices, or why they could not be fetched."""
        body = await self._get("/notices")
        if isinstance(body, Unavailable):
            return body
        listed = decode_json(body, _NoticeList)
        if isinstance(listed, Malformed):
            return Unavailable(listed.detail)
        return _readable_entries(listed.notices, ReclaimNotice)

    async def _get(self, path: str) -> bytes | Unavailable:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                f"http://{self._address}{path}", timeout=timeout
            ) as response:
                if response.status != 200:
                    return Unavailable(f"{path} answered {response.status}")
                return await read_at_most(response, MAX_REPORT_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Unavailable(str(error) or "timeout")


def _readable_entries(
    entries: Iterable[msgspec.Raw], expected: type[T]
) -> tuple[T, ...]:
    """Return the entries of a list that can be decoded; skip the others.

    One entry of another kind must not keep the others from their use.
    """
    readable: list[T] = []
    for entry in entries:
        decoded = decode_json(bytes(entry), expected)
        if isinstance(decoded, Malformed):
            logger.warning("entry of a platform's list skipped", error=decoded.detail)
        else:
            readable.append(decoded)
    return tuple(readable)
