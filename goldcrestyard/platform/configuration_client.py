"""Client that reads the configuration document in force."""

from dataclasses import dataclass
from http import HTTPStatus

import aiohttp

from goldcrestyard.core.attempts import describe_error
from goldcrestyard.kernel.http_client import (
    MAX_ANSWER_BYTES,
    BoundedConnector,
    read_at_most,
)
from goldcrestyard.platform.names import CONFIG_PATH

TIMEOUT_SECONDS = 10.0
MAX_REDIRECTS = 3
"""More than one, since the leader may change between two answers."""


@dataclass(frozen=True, slots=True)
class Unread:
    """The document could not be read."""

    detail: str


async def read_in_force(
    address: str, timeout_seconds: float = TIMEOUT_SECONDS
) -> bytes | Unread:
    """Return the document in force.

    ``address`` is that of any control member, which redirects to the leader.
    """
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=timeout_seconds),
                connector=BoundedConnector(),
            ) as session,
            session.get(
                f"http://{address}{CONFIG_PATH}", max_redirects=MAX_REDIRECTS
            ) as answer,
        ):
            body = await read_at_most(answer, MAX_ANSWER_BYTES)
            status = answer.status
    except (aiohttp.ClientError, TimeoutError) as error:
        return Unread(f"{address}: {describe_error(error)}")
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Unread(f"{address}: no leader, or no configuration yet (status 503)")
    if status != HTTPStatus.OK:
        return Unread(f"{address}: answered with status {status}")
    return body
