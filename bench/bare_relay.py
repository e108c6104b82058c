"""A minimal HTTP relay, the baseline of an entry's processor time."""

import sys

import aiohttp
from aiohttp import web


class BareRelay:
    """Forwards requests to one address with plain aiohttp."""

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._session: aiohttp.ClientSession | None = None

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Forward a request, and its response as it arrives."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        body = await request.read()
        async with self._session.post(
            f"http://{self._upstream}{request.path}",
            data=body,
            headers={"content-type": "application/json"},
        ) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers={"content-type": answer.headers["content-type"]},
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response


def main() -> None:
    """Forward requests on a port to the address of the second argument."""
    port, upstream = int(sys.argv[1]), sys.argv[2]
    app = web.Application()
    app.router.add_post("/{path:.*}", BareRelay(upstream).relay)
    web.run_app(app, host="127.0.0.1", port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
