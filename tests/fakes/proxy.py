"""A TCP proxy that can cut, silence or delay its connections."""

import asyncio
from enum import Enum


class Fault(Enum):
    """The fault that the proxy applies to its connections."""

    NONE = "none"
    CUT = "cut"
    """Open connections are closed, and new ones as soon as they open."""
    SILENT = "silent"
    """Connections open and stay open, but no bytes are forwarded."""
    ONE_WAY = "one_way"
    """Bytes reach the target, but none of its answers come back."""


class FaultProxy:
    """Forwards connections to a target's address (``host:port``)."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._fault = Fault.NONE
        self._delay_seconds = 0.0
        self._accepted = 0
        self._last_silenced_connection = 0
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
        """Close all connections, and new ones as soon as they open."""
        self._fault = Fault.CUT
        self._close_connections()

    def silence(self) -> None:
        """Lose all bytes without closing connections."""
        self._fault = Fault.SILENT

    def lose_answers(self) -> None:
        """Lose the bytes that the target sends, but not those sent to it."""
        self._fault = Fault.ONE_WAY

    def silence_open(self) -> None:
        """Lose all bytes of the present connections; new ones work."""
        self._last_silenced_connection = self._accepted

    def delay(self, seconds: float) -> None:
        """Forward each read after a delay."""
        self._delay_seconds = seconds

    def heal(self) -> None:
        """End the fault and the delay; a fault's connections are closed."""
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
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._writers.add(target_writer)
        directions = ((reader, target_writer, False), (target_reader, writer, True))
        for source, sink, is_from_target in directions:
            task = asyncio.create_task(
                self._forward(number, source, sink, is_from_target)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_from_target: bool,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if self._delay_seconds:
                    await asyncio.sleep(self._delay_seconds)
                passes = self._fault is Fault.NONE or (
                    self._fault is Fault.ONE_WAY and not is_from_target
                )
                if passes and number > self._last_silenced_connection:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            if self._fault not in (Fault.SILENT, Fault.ONE_WAY):
                writer.close()
