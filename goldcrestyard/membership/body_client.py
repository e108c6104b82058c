"""Client of the body store, which control members replicate.

A body is a large payload that the replicated log refers to by its digest
only.  Writes go to all control members and succeed once a quorum has synced
the body; reads ask one member after another.
"""

import asyncio
import itertools
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
from goldcrestyard.storage.bodies import compute_digest
from goldcrestyard.wire.client import PeerAddress, PeerDialer, PeerUnavailableError
from goldcrestyard.wire.connection import NoAnswer, NotSent, PeerConnection

logger = structlog.get_logger(__name__)

MAX_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of a body: half of the largest frame that peers accept."""

PUT_TIMEOUT_SECONDS = 30.0
GET_TIMEOUT_SECONDS = 15.0
GET_CONNECT_TIMEOUT_SECONDS = 2.0
"""Time after which a read skips a member that cannot be reached."""

DEFAULT_RETENTION_SECONDS = 48 * 3600.0
"""Time for which a body is kept unless the writer sets another: twice the 24 h
for which outcomes of calls must stay readable."""

MAX_BACKGROUND_TRANSFERS = 8
"""Maximum number of transfers that continue after a quorum has stored the
body.  Each of them holds a body in memory."""

MAX_TRANSFERS_PER_MEMBER = 4
"""Maximum number of simultaneous transfers to or from one member, each of
which holds a body in memory."""

RETRY_INTERVAL_SECONDS = 0.5
IDLE_TIMEOUT_SECONDS = 60.0
"""Time after which an unused connection is closed.  Otherwise each control
member would hold a connection for every entry of the deployment."""


class BodyStoreLink:
    """A connection to one control member, opened on demand."""

    def __init__(
        self, member: InstanceId, address: PeerAddress, dialer: PeerDialer
    ) -> None:
        self.member = member
        self._address = address
        self._dialer = dialer
        self._connection_needed = asyncio.Event()
        self._connected = asyncio.Event()
        self._connection: PeerConnection | None = None
        self._slots = asyncio.Semaphore(MAX_TRANSFERS_PER_MEMBER)
        self._active_requests = 0

    async def run(self) -> None:
        """Connect when a request is waiting; disconnect when idle."""
        while True:
            await self._connection_needed.wait()
            try:
                async with self._dialer.connect(self._address) as connection:
                    self._connection = connection
                    self._connected.set()
                    await self._wait_until_idle(connection)
            except PeerUnavailableError as error:
                logger.debug(
                    "connection to the body store failed; retrying",
                    peer=self.member,
                    error=error,
                )
                await asyncio.sleep(RETRY_INTERVAL_SECONDS * random.uniform(0.5, 1.5))
            finally:
                self._connection = None
                self._connected.clear()

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open."""
        return self._connected.is_set()

    async def request(
        self, message: object, timeout: float, connect_timeout: float
    ) -> object:
        """Send an idempotent request, and repeat it until it is answered.

        Returns the reply, or ``NoAnswer`` if none came within ``timeout``
        seconds or no connection was made within ``connect_timeout`` seconds.
        """
        self._active_requests += 1
        self._connection_needed.set()
        try:
            async with asyncio.timeout(timeout), self._slots:
                while True:
                    async with asyncio.timeout(connect_timeout):
                        await self._connected.wait()
                    connection = self._connection
                    if connection is not None:
                        reply = await connection.request(message, timeout)
                        if not isinstance(reply, NotSent | NoAnswer):
                            return reply
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        except TimeoutError:
            return NoAnswer(f"{self.member} did not answer in time")
        finally:
            self._active_requests -= 1

    async def _wait_until_idle(self, connection: PeerConnection) -> None:
        """Wait until the connection is closed or has been idle too long."""
        loop = asyncio.get_running_loop()
        last_used = loop.time()
        while not connection.closed:
            if self._active_requests:
                last_used = loop.time()
            elif loop.time() - last_used > IDLE_TIMEOUT_SECONDS:
                self._connection_needed.clear()
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)


class BodyClient:
    """Reads bodies from the control members and writes them to a quorum.

    ``in_same_region`` returns whether a member is in the region of this
    process.
    """

    def __init__(
        self,
        dialer: PeerDialer,
        control_addresses_by_id: Mapping[InstanceId, PeerAddress],
        in_same_region: Callable[[InstanceId], bool],
    ) -> None:
        self.links = [
            BodyStoreLink(member, address, dialer)
            for member, address in control_addresses_by_id.items()
        ]
        self._in_same_region = in_same_region
        # Keeps the tasks from garbage collection: the event loop holds only
        # weak references to them.
        self._background_tasks: set[asyncio.Task[object]] = set()

    @property
    def quorum(self) -> int:
        """The number of members that must sync a body for a write."""
        return len(self.links) // 2 + 1

    async def put(
        self, body: bytes, keep_seconds: float = DEFAULT_RETENTION_SECONDS
    ) -> BodyDigest | Refusal:
        """Store a body; on success a quorum has synced it to disk.

        Transfers to the remaining connected members continue in the
        background.  After a failure some members may hold the body.
        """
        if len(body) > MAX_BODY_BYTES:
            return Refusal(
                RefusalReason.BODY_TOO_LARGE, f"body is over {MAX_BODY_BYTES} bytes"
            )
        digest = compute_digest(body)
        message = PutBody(digest, body, keep_seconds)
        links_by_task = {
            asyncio.create_task(
                link.request(message, PUT_TIMEOUT_SECONDS, PUT_TIMEOUT_SECONDS)
            ): link
            for link in self.links
        }
        pending = set(links_by_task)
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
                    pending -= self._continue_in_background(
                        {t for t in pending if links_by_task[t].is_connected}
                    )
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
        """Return a body, or None if no member returned an intact copy.

        Members of this region are queried first, since links between regions
        are slow and billed by volume.
        """
        links = random.sample(self.links, len(self.links))
        links.sort(key=lambda link: not self._in_same_region(link.member))
        for link in links:
            reply = await link.request(
                GetBody(digest), GET_TIMEOUT_SECONDS, GET_CONNECT_TIMEOUT_SECONDS
            )
            match reply:
                case BodyFound(body=bytes() as body) if compute_digest(body) == digest:
                    return body
                case _:
                    logger.debug(
                        "control member did not return the body", peer=link.member
                    )
        return None

    async def close(self) -> None:
        """Cancel the transfers that continue in the background."""
        for task in list(self._background_tasks):
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    def _continue_in_background(
        self, tasks: set[asyncio.Task[object]]
    ) -> set[asyncio.Task[object]]:
        """Let transfers continue in the background, up to the maximum number.

        Returns the tasks that continue; the caller cancels the others.
        """
        free = max(0, MAX_BACKGROUND_TRANSFERS - len(self._background_tasks))
        continued = set(itertools.islice(tasks, free))
        for task in continued:
            self._background_tasks.add(task)
            task.add_done_callback(self._background_tasks.discard)
        return continued
