"""aiohttp middleware that turns off the client's automatic retries."""

import aiohttp

from goldcrestyard.core.attempts import describe_error


class ConnectionBrokenError(aiohttp.ClientError):
    """The connection failed after it was made; the request may have run."""


async def without_retries(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once, as a middleware of an aiohttp session.

    After these errors aiohttp would send GET, PUT and DELETE again, even if
    the route is declared as not idempotent.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(describe_error(error)) from error
