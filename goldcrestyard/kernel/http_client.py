"""What all HTTP clients of the product share."""

import aiohttp

from goldcrestyard.core.attempts import describe_error


class ConnectionBrokenError(aiohttp.ClientError):
    """The connection failed while the request was sent or answered."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client library from sending a request a second time.

    It repeats GET, PUT and DELETE after these errors by itself, whatever
    the service says of its route.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(describe_error(error)) from error
