"""A TCP proxy that can cut, silence or delay the connections through it."""

import asyncio
from enum import Enum


class Fault(Enum):
    """What happens to the bytes."""

    NONE = "none"
    CUT = "cut"
    """Connections are closed, and new ones at once after they open."""
    SILENT = "silent"
    """Connections stay open, and new ones open, but nothing arrives."""
    ONE_WAY = "one_way"
    """Requests arrive, but nothing comes back."""


class FaultProxy:
    """Forwards one address to another."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._fault = Fault.NONE
        self._delay_seconds = 0.0
        self._accepted = 0
        self._silent_up_to = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self._close_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Close all connections and let none through."""
        self._fault = Fault.CUT
        self._close_connections()

    def silence(self) -> None:
        """Lose all bytes without closing anything."""
        self._fault = Fault.SILENT

    def lose_answers(self) -> None:
        """Lose what the target sends; what is sent to it arrives."""
        self._fault = Fault.ONE_WAY

    def silence_open(self) -> None:
        """Lose all bytes of the present connections; new ones work."""
        self._silent_up_to = self._accepted

    def delay(self, seconds: float) -> None:
        """Forward everything later."""
        self._delay_seconds = seconds

    def heal(self) -> None:
        """Forward new connections; those that lost bytes are closed."""
        if self._fault is not Fault.NONE:
            self._fault = Fault.NONE
            self._close_connections()
        self._delay_seconds = 0.0

    def _close_connections(self) -> None:
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is Fault.CUT:
            writer.close()
            return
        self._writers.add(writer)
        self._accepted += 1
        number = self._accepted
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._writers.add(far_writer)
        ways = ((reader, far_writer, False), (far_reader, writer, True))
        for source, sink, back in ways:
            task = asyncio.create_task(self._pump(number, source, sink, back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self._delay_seconds:
                    await asyncio.sleep(self._delay_seconds)
                passes = self._fault is Fault.NONE or (
                    self._fault is Fault.ONE_WAY and not back
                )
                if passes and number > self._silent_up_to:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            if self._fault not in (Fault.SILENT, Fault.ONE_WAY):
                writer.close()
