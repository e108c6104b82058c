"""HTTP client that sends one attempt to a target of a plain service."""

from dataclasses import dataclass

import aiohttp
from yarl import URL

from goldcrestyard.core.attempts import (
    AttemptFailure,
    Broken,
    TurnedAway,
    Unreached,
    describe_error,
    proves_not_run,
)
from goldcrestyard.core.headers import CORRELATION_HEADER, REQUEST_ID_HEADER
from goldcrestyard.core.ids import AttemptId, CorrelationId, OrganisationId
from goldcrestyard.core.records import Target
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.kernel.http_client import (
    NoRoomError,
    read_at_most,
    without_retries,
)
from goldcrestyard.plugins.services.requests import (
    FORWARDED_RESPONSE_HEADERS,
    ServiceRequest,
    select_headers,
)
from goldcrestyard.plugins.services.settings import ServiceSettings

ORGANISATION_HEADER = "x-organisation"


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A target's complete answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class NoRoomForAnswer:
    """The target answered, but this process has no room for the answer."""

    status: int


class ServiceClient:
    """Sends attempts to targets of plain services.

    Each attempt uses a new connection.  A late answer to an earlier attempt
    therefore cannot be taken for its own, and a failure to connect proves
    that nothing was sent.
    """

    def __init__(self, session: aiohttp.ClientSession, settings: ServiceSettings):
        self._session = session
        self._settings = settings

    async def send(
        self,
        target: Target,
        request: ServiceRequest,
        organisation: OrganisationId | None,
        attempt: AttemptId,
        correlation_id: CorrelationId,
        seconds_left: float,
        lease: ByteLease,
    ) -> ServiceAnswer | NoRoomForAnswer | AttemptFailure:
        """Send a request; return the complete answer or the failure.

        ``lease`` holds the bytes of the answer that have arrived.
        """
        headers = [
            *request.headers,
            (REQUEST_ID_HEADER, attempt),
            (CORRELATION_HEADER, correlation_id),
        ]
        if organisation is not None:
            headers.append((ORGANISATION_HEADER, organisation))
        timeout = aiohttp.ClientTimeout(
            total=seconds_left, connect=self._settings.connect_seconds
        )
        url = URL(f"http://{target.address}{request.path_and_query}", encoded=True)
        try:
            async with self._session.request(
                request.method,
                url,
                data=request.body or None,
                headers=headers,
                skip_auto_headers=("accept-encoding", "user-agent", "content-type"),
                timeout=timeout,
                allow_redirects=False,
                middlewares=(without_retries,),
            ) as response:
                return await self._read(response, attempt, lease)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unreached(describe_error(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Broken(f"connection failed: {describe_error(error)}")

    async def _read(
        self, response: aiohttp.ClientResponse, attempt: AttemptId, lease: ByteLease
    ) -> ServiceAnswer | NoRoomForAnswer | AttemptFailure:
        # Plain services need not return the request id, but a different id
        # shows that the answer belongs to another request.
        if response.headers.get(REQUEST_ID_HEADER, attempt) != attempt:
            return Broken("answer belongs to another request")
        if proves_not_run(response.status, response.headers):
            return TurnedAway(
                response.status,
                f"target answered {response.status} and did not run the request",
            )
        try:
            body = await read_at_most(response, self._settings.max_answer_bytes, lease)
        except NoRoomError:
            return NoRoomForAnswer(response.status)
        return ServiceAnswer(
            response.status,
            select_headers(response.headers.items(), FORWARDED_RESPONSE_HEADERS),
            body,
        )
