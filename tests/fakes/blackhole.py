"""A TCP proxy whose connections can be made silent for good.

Like a faulty switch or a stale address translation: connections that are
open stay open and carry nothing more, while new ones work.
"""

import asyncio


class BlackholeProxy:
    """Forwards connections to an address until they are silenced."""

    def __init__(self) -> None:
        self._upstream = ("", 0)
        self._server: asyncio.Server | None = None
        self._silenced: set[int] = set()
        self._open: dict[int, asyncio.Task[None]] = {}
        self._count = 0
        self._silences_new = False
        self.address = ""
        self.bytes_back: dict[int, int] = {}
        """Bytes that each connection has carried back, by its number."""

    @property
    def accepted(self) -> int:
        """How many connections there were."""
        return self._count

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self._open)

    async def start(self, port: int = 0) -> None:
        """Accept connections on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._open.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def forward_to(self, upstream: str) -> None:
        """Set the address to which connections go."""
        host, _, port = upstream.rpartition(":")
        self._upstream = (host, int(port))

    def silence_all(self) -> None:
        """Make open and new connections carry nothing more."""
        self.silence_open()
        self._silences_new = True

    def silence_open(self) -> None:
        """Make the connections that are open now carry nothing more."""
        self._silenced.update(self._open)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._count += 1
        number = self._count
        self._open[number] = asyncio.current_task()  # type: ignore[assignment]
        self.bytes_back[number] = 0
        if self._silences_new:
            self._silenced.add(number)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._upstream)
            forth = asyncio.create_task(self._pump(number, reader, up_writer, False))
            back = asyncio.create_task(self._pump(number, up_reader, writer, True))
            try:
                # A silenced connection ends only when the caller closes it.
                await forth
                if number not in self._silenced:
                    await back
            finally:
                for task in (forth, back):
                    task.cancel()
                await asyncio.gather(forth, back, return_exceptions=True)
                up_writer.close()
        except OSError:
            pass
        except asyncio.CancelledError:
            # Python 3.11 logs the cancellation of such a task as a failure.
            pass
        finally:
            writer.close()
            del self._open[number]

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number in self._silenced:
                    continue
                if is_back:
                    self.bytes_back[number] += len(data)
                writer.write(data)
                await writer.drain()
            if number not in self._silenced:
                writer.write_eof()
        except OSError:
            pass
