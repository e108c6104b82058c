"""A TCP proxy that can black-hole its connections.

Simulates a faulty switch or a stale address translation: connections that
are already open stay open but carry no more bytes, while new ones work.
"""

import asyncio


class BlackholeProxy:
    """Forwards connections to an address until they are black-holed."""

    def __init__(self) -> None:
        self._upstream = ("", 0)
        self._server: asyncio.Server | None = None
        self._silenced: set[int] = set()
        self._open: dict[int, asyncio.Task[None]] = {}
        self._accepted_count = 0
        self._silences_new = False
        self.address = ""
        self.bytes_to_client: dict[int, int] = {}
        """Bytes forwarded from upstream to client, by connection number."""

    @property
    def accepted(self) -> int:
        """The number of connections accepted since the start."""
        return self._accepted_count

    @property
    def open(self) -> int:
        """The number of connections that are open now."""
        return len(self._open)

    async def start(self, port: int = 0) -> None:
        """Accept connections on loopback; port 0 takes a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and cancel the connections' tasks."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._open.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def forward_to(self, upstream: str) -> None:
        """Set the upstream address (``host:port``) of new connections."""
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))

    def silence_all(self) -> None:
        """Drop all further bytes of open and new connections."""
        self.silence_open()
        self._silences_new = True

    def silence_open(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._silenced.update(self._open)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted_count += 1
        number = self._accepted_count
        self._open[number] = asyncio.current_task()  # type: ignore[assignment]
        self.bytes_to_client[number] = 0
        if self._silences_new:
            self._silenced.add(number)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._upstream)
            to_upstream = asyncio.create_task(
                self._forward(number, reader, up_writer, False)
            )
            to_client = asyncio.create_task(
                self._forward(number, up_reader, writer, True)
            )
            try:
                # A silenced connection ends only when the client closes it.
                await to_upstream
                if number not in self._silenced:
                    await to_client
            finally:
                for task in (to_upstream, to_client):
                    task.cancel()
                await asyncio.gather(to_upstream, to_client, return_exceptions=True)
                up_writer.close()
        except OSError:
            pass
        except asyncio.CancelledError:
            # Python 3.11 logs the cancellation of a ``start_server`` task as
            # an error.
            pass
        finally:
            writer.close()
            del self._open[number]

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_to_client: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number in self._silenced:
                    continue
                if is_to_client:
                    self.bytes_to_client[number] += len(data)
                writer.write(data)
                await writer.drain()
            if number not in self._silenced:
                writer.write_eof()
        except OSError:
            pass
