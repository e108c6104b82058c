"""The end of an earlier boot, delayed until the next one has registered."""

import asyncio
import time

from review.small_site import BROKEN, HELD, TROUBLE, Record, SmallSite, main

ITEMS = 16
CUT_SECONDS = 5.0
RETRANSMITTED_SECONDS = 6.2
"""A cut of 5 s ends before TCP sends a packet again that was sent at its
start: it does so after 0.2, 0.6, 1.4, 3.0 and 6.2 s."""
EXIT_SECONDS = 3.0
RESTART_SECONDS = 1.0
SUBMIT_SECONDS = 0.6
GIVEN_UP_SECONDS = 30.0


class CutLink:
    """A link to one address; what is sent while it is cut arrives later."""

    def __init__(self, host: str, port: int) -> None:
        """Create a link that is cut."""
        self._to = (host, port)
        self._server: asyncio.Server | None = None
        self.release = asyncio.Event()
        self.answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def open(self) -> tuple[str, int]:
        """Listen; return host and port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = await reader.readuntil(b"\r\n\r\n")
        await self.release.wait()
        _, to_leader = pair = await asyncio.open_connection(*self._to)
        to_leader.write(data)
        self.answer.set_result(await pair[0].readline())
        to_leader.close()
        writer.close()


async def _send_end(
    link: CutLink, target_id: str, record: Record
) -> asyncio.StreamWriter:
    """Send the end of an engine over a link that is cut."""
    host, port = await link.open()
    _, writer = await asyncio.open_connection(host, port)
    head = f"DELETE /v1/instances/{target_id} HTTP/1.1\r\nHost: control\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()
    record.note("DELETE sent over a link that is cut", id=target_id)
    return writer


async def case(record: Record) -> int:
    """Run the case and return its result."""
    site = SmallSite()
    try:
        await site.start(engines=1)
        engine = site.engines[0]
        engine.events, engine.event_seconds = 30, 0.1
        record.note("engine registered", id=engine.id, born=engine._started_at_ms)
        await asyncio.sleep(3.0)
        leader = await site.leader()
        host, _, ctl_port = leader.address("ctl").rpartition(":")
        cut_at = time.monotonic()
        link = CutLink(host, int(ctl_port))
        if TROUBLE:
            writer = await _send_end(link, engine.id, record)
        await asyncio.sleep(EXIT_SECONDS)
        await engine.stop()
        if TROUBLE:
            writer.close()
        record.note("engine ended", id=engine.id)
        await asyncio.sleep(RESTART_SECONDS)
        again = site.target_of(
            "engines", 0, models=dict(engine.models), events=30, event_seconds=0.1
        )
        again.id, again.host, again.zone = engine.id, engine.host, engine.zone
        site.targets.remove(engine)
        site.targets.append(again)
        await again.listen(int(engine.own_address.rpartition(":")[2]))
        await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        again.announce()
        record.note("engine started again", id=again.id, born=again._started_at_ms)
        await asyncio.sleep(SUBMIT_SECONDS)
        job = site.marker()
        await site.submit(job, ITEMS)
        submitted_at = time.monotonic()
        record.note("batch submission accepted", id=job, items=ITEMS)
        await asyncio.sleep(max(0.0, cut_at + RETRANSMITTED_SECONDS - time.monotonic()))
        if TROUBLE:
            link.release.set()
            answer = await asyncio.wait_for(link.answer, 5)
            await link.close()
            record.note("DELETE arrived", id=again.id, answer=answer.decode().strip())
        listed = 0
        while time.monotonic() < submitted_at + GIVEN_UP_SECONDS and listed < ITEMS:
            page = await site.page(job)
            if page is not None:
                listed = len(page["results"])
            await asyncio.sleep(0.5)
        seconds = time.monotonic() - submitted_at
        begun = {run.id for run in again.runs if run.path.startswith("/jobs/")}
        for run in again.runs:
            record.note("run", id=run.id, path=run.path, at=round(run.started_at, 2))
        idle = not sum(again.in_progress.values())
        record.note(
            "step",
            listed=listed,
            begun=len(begun),
            seconds=round(seconds, 1),
            heartbeats=again._sequence,
            latest_heartbeat_acknowledged=again._heartbeat_address is not None,
            engine_idle=idle,
        )
        lost = listed < ITEMS and 0 < len(begun) < ITEMS and idle
        return BROKEN if lost else HELD
    finally:
        await site.close()


if __name__ == "__main__":
    main(case, __file__)
