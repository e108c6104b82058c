"""An entry's client of the body store on the control members."""

import asyncio
import random
from collections.abc import Callable, Mapping

import structlog

from goldcrestyard.core.ids import BodyDigest, InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.body_messages import (
    BodyFound,
    BodyStored,
    GetBody,
    PutBody,
)
from goldcrestyard.storage.bodies import digest_of
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.connection import NotSent, PeerConnection

logger = structlog.get_logger(__name__)

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Half of the largest frame between two processes."""

PUT_SECONDS = 30.0
GET_SECONDS = 15.0
CONCURRENT_TRANSFERS = 4
"""Bodies in transfer to or from one member at a time; bounds the memory."""

RETRY_SECONDS = 0.5
IDLE_SECONDS = 60.0
"""A connection unused for this long is closed.  A control member would
otherwise hold one for every entry of the deployment."""


class MemberLink:
    """The connection to one control member, opened when it is needed."""

    def __init__(
        self, member: InstanceId, address: PeerAddress, dialer: PeerDialer
    ) -> None:
        self.member = member
        self._address = address
        self._dialer = dialer
        self._wanted = asyncio.Event()
        self._connected = asyncio.Event()
        self._connection: PeerConnection | None = None
        self._slots = asyncio.Semaphore(CONCURRENT_TRANSFERS)
        self._in_use = 0

    async def run(self) -> None:
        """Connect when a request waits, and close the idle connection."""
        while True:
            await self._wanted.wait()
            try:
                async with self._dialer.connect(self._address) as connection:
                    self._connection = connection
                    self._connected.set()
                    await self._stay(connection)
            except PeerUnavailableError as error:
                logger.debug("body store unavailable", peer=self.member, error=error)
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))
            finally:
                self._connection = None
                self._connected.clear()

    async def request(self, message: object, timeout: float) -> object:
        """Send a request; return the reply, ``NotSent`` or ``NoAnswer``."""
        self._in_use += 1
        self._wanted.set()
        try:
            async with asyncio.timeout(timeout), self._slots:
                await self._connected.wait()
                connection = self._connection
                if connection is None:
                    return NotSent("connection has just been lost")
                return await connection.request(message, timeout)
        except TimeoutError:
            return NotSent(f"{self.member} was not reached within {timeout} s")
        finally:
            self._in_use -= 1

    async def _stay(self, connection: PeerConnection) -> None:
        """Return when the connection has closed or is not needed."""
        loop = asyncio.get_running_loop()
        last_used = loop.time()
        while not connection.closed:
            if self._in_use:
                last_used = loop.time()
            elif loop.time() - last_used > IDLE_SECONDS:
                self._wanted.clear()
                return
            await asyncio.sleep(RETRY_SECONDS)


class BodyClient:
    """Stores bodies on a quorum of the control members and reads them."""

    def __init__(
        self,
        dialer: PeerDialer,
        control_addresses_by_id: Mapping[InstanceId, PeerAddress],
        is_near: Callable[[InstanceId], bool],
    ) -> None:
        self.links = [
            MemberLink(member, address, dialer)
            for member, address in control_addresses_by_id.items()
        ]
        self._is_near = is_near
        # The loop does not hold tasks that nothing waits for.
        self._finishing: set[asyncio.Task[object]] = set()

    @property
    def quorum(self) -> int:
        """The number of members that must have synced a body."""
        return len(self.links) // 2 + 1

    async def put(self, body: bytes) -> BodyDigest | Refusal:
        """Store a body; on success a quorum has synced it to disk.

        The remaining members get the body too, as long as they answer
        within the deadline, but nothing waits for them.
        """
        if len(body) > MAX_BODY_BYTES:
            return Refusal(
                RefusalReason.BODY_TOO_LARGE, f"body is over {MAX_BODY_BYTES} bytes"
            )
        digest = digest_of(body)
        message = PutBody(digest, body)
        pending = {
            asyncio.create_task(link.request(message, PUT_SECONDS))
            for link in self.links
        }
        stored = 0
        failures: list[str] = []
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    match task.result():
                        case BodyStored():
                            stored += 1
                        case other:
                            failures.append(str(other))
                if stored >= self.quorum:
                    self._let_finish(pending)
                    pending = set()
                    return digest
        finally:
            for task in pending:
                task.cancel()
        return Refusal(
            RefusalReason.UNKNOWN_OUTCOME,
            f"{stored} of {len(self.links)} control members stored the body; "
            f"{self.quorum} must: {'; '.join(failures)}",
            Verdict.MAY_HAVE_RUN,
        )

    async def get(self, digest: BodyDigest) -> bytes | None:
        """Return a body, or None if no member gave it.

        Members of this region come first, since the link between regions is
        slow and billed by volume.
        """
        links = random.sample(self.links, len(self.links))
        links.sort(key=lambda link: not self._is_near(link.member))
        for link in links:
            reply = await link.request(GetBody(digest), GET_SECONDS)
            match reply:
                case BodyFound(body=bytes() as body) if digest_of(body) == digest:
                    return body
                case _:
                    logger.debug("member lacks a body", peer=link.member)
        return None

    async def close(self) -> None:
        """Cancel the transfers that nothing waits for."""
        for task in list(self._finishing):
            task.cancel()
        await asyncio.gather(*self._finishing, return_exceptions=True)

    def _let_finish(self, tasks: set[asyncio.Task[object]]) -> None:
        for task in tasks:
            self._finishing.add(task)
            task.add_done_callback(self._finishing.discard)
