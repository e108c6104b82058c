"""The leader's side of its sessions with entries.

The leader grants each entry a lease, pushes committed changes to it, and
proposes commands on its behalf.  From the leases the leader derives when a
change is in force, that is, when no entry can act on an older revision any
more.
"""

import asyncio

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import InstanceId, Revision
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.membership.change_feed import ChangeFeed, size_of
from goldcrestyard.membership.digests import LeaderDigests
from goldcrestyard.policy import leases
from goldcrestyard.policy.leases import EntryLease
from goldcrestyard.state.commands import Change
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, PeerConnection, encode_push
from goldcrestyard.wire.messages import (
    ChangesPush,
    Failure,
    Propose,
    ProposeReply,
    Renew,
    RenewReply,
    SnapshotPush,
    Subscribe,
    SubscribeReply,
)

logger = structlog.get_logger(__name__)

IN_FORCE_POLL_SECONDS = 0.05

ELECTION_WAIT_SECONDS = 0.25
"""Maximum time for which a subscription request is held during an election, so
that the entry does not have to repeat it.  It is shorter than the entry's
request time-out."""

MAX_CHANGES_BYTES = 256 * 1024
"""Largest size of several changes that an entry is sent one by one.  Most
replace earlier ones, so that a snapshot is smaller."""

MAX_CONCURRENT_SNAPSHOTS = 8
"""Maximum number of entries that are sent a snapshot at the same time."""

SNAPSHOT_TIMEOUT_SECONDS = 2.0
"""Longest time for which an entry may take to receive a snapshot, since others
wait meanwhile."""


class EntrySessions:
    """Handles the entries' requests while this member leads.

    It grants leases only while it holds the leader's lease itself, so that
    two leaders never grant leases at the same time.
    """

    def __init__(
        self,
        member: ControlMember,
        feed: ChangeFeed,
        codec: Codec,
        clock: Clock,
        entry_lease_seconds: float,
        digests: LeaderDigests,
    ) -> None:
        self._member = member
        self._feed = feed
        self._codec = codec
        self._clock = clock
        self._lease_seconds = entry_lease_seconds
        self._digests = digests
        self._snapshot_slots = asyncio.Semaphore(MAX_CONCURRENT_SNAPSHOTS)
        # The latest frames, which the entries' connections share.
        self._shared_snapshot: tuple[Revision, bytes] | None = None
        self._shared_changes: tuple[tuple[Revision, Revision], bytes] | None = None
        self.leases_by_entry: dict[InstanceId, EntryLease] = {}
        self.renewed_at_by_entry: dict[InstanceId, float] = {}
        """Monotonic time of each entry's latest renewal, granted or not."""

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of the entries' messages."""
        handlers.add(Subscribe, self._on_subscribe)
        handlers.add(Renew, self._on_renew)
        handlers.add(Propose, self._on_propose)

    async def wait_in_force(
        self, revision: Revision, timeout: float
    ) -> list[InstanceId]:
        """Wait until no entry can act on an older revision.

        Returns the entries that may still do so after ``timeout`` seconds;
        an empty list means that the revision is in force everywhere.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            now = self._clock.monotonic()
            behind = leases.entries_behind(revision, self.leases_by_entry, now)
            earlier_expired = leases.earlier_grants_expired(
                now, self._member.leadership_started_at, self._lease_seconds
            )
            # If this member does not hold the leader's lease, another
            # leader may have granted entry leases that it has no record of.
            if earlier_expired and not behind and self._member.holds_lease():
                return []
            if now >= deadline:
                return behind or [InstanceId("entries of another leader")]
            await asyncio.sleep(IN_FORCE_POLL_SECONDS)

    async def _on_subscribe(
        self, message: Subscribe, connection: PeerConnection
    ) -> object:
        await wait_at_most(ELECTION_WAIT_SECONDS, self._wait_for_leader())
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        connection.spawn(self._follow(message.revision, connection))
        return SubscribeReply(self._member.machine.revision)

    async def _wait_for_leader(self) -> None:
        """Wait until this member leads or another member is known to lead."""
        no_other_leader = (None, self._member.instance)
        while not self._member.holds_lease() and self._member.leader in no_other_leader:
            await self._member.wait_leadership_change()

    async def _follow(self, revision: Revision, connection: PeerConnection) -> None:
        """Push each change once, in order, until the connection closes.

        An entry that has missed changes which are no longer retained, or
        more of them than a few, gets a snapshot.
        """
        while not connection.closed:
            changes = self._feed.since(revision)
            if changes == ():
                await self._feed.wait()
                continue
            if changes is None or _is_long(changes):
                sent_revision = await self._push_snapshot(connection)
                if sent_revision is None:
                    return
                revision = sent_revision
                continue
            if not await connection.push_frame(self._changes_frame(changes)):
                return
            revision = changes[-1].revision

    async def _push_snapshot(self, connection: PeerConnection) -> Revision | None:
        """Send the present state; return its revision, or None on failure.

        Pattern: after an election or a restart of all processes, every entry
        subscribes at once.  Only a few are sent a snapshot at the same time,
        and all of them share its frame, since otherwise the copies for
        hundreds of entries would exceed the leader's memory.
        """
        async with self._snapshot_slots:
            if connection.closed:
                return None
            revision, frame = self._snapshot_frame()
            try:
                async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                    sent = await connection.push_frame(frame)
            except TimeoutError:
                logger.warning(
                    "entry does not read its snapshot; closing the connection",
                    peer=connection.peer,
                )
                sent = False
        if sent:
            return revision
        await connection.close()
        return None

    def _snapshot_frame(self) -> tuple[Revision, bytes]:
        revision = self._member.machine.revision
        if self._shared_snapshot is None or self._shared_snapshot[0] != revision:
            snapshots = self._member.machine.to_snapshots(fan_out_only=True)
            push = SnapshotPush(
                revision,
                {
                    name: self._codec.encode(snapshot)
                    for name, snapshot in snapshots.items()
                },
            )
            self._shared_snapshot = (revision, encode_push(self._codec, push))
        return self._shared_snapshot

    def _changes_frame(self, changes: tuple[Change, ...]) -> bytes:
        span = (changes[0].revision, changes[-1].revision)
        if self._shared_changes is None or self._shared_changes[0] != span:
            frame = encode_push(self._codec, ChangesPush(changes))
            self._shared_changes = (span, frame)
        return self._shared_changes[1]

    async def _on_renew(self, message: Renew, connection: PeerConnection) -> object:
        if not self._member.holds_lease():
            return self._member.make_not_leader_reply()
        self.renewed_at_by_entry[connection.peer] = self._clock.monotonic()
        granted = leases.seconds_granted(
            self._feed.lag_seconds(message.revision), self._lease_seconds
        )
        self._record_lease(connection.peer, message.revision, granted)
        summaries = self._digests.exchange(connection.peer, message.digests_by_name)
        return RenewReply(granted, self._member.machine.revision, summaries)

    def _record_lease(
        self, entry: InstanceId, applied: Revision, granted: float
    ) -> None:
        expires_at = leases.granted_until(self._clock.monotonic(), granted)
        previous = self.leases_by_entry.get(entry)
        if previous is not None:
            expires_at = max(expires_at, previous.expires_at)
        self.leases_by_entry[entry] = EntryLease(applied, expires_at)

    async def _on_propose(self, message: Propose, connection: PeerConnection) -> object:
        if not self._member.is_leader:
            return self._member.make_not_leader_reply()
        result = await self._member.propose(
            self._codec.decode(message.command), message.author, message.correlation_id
        )
        match result:
            case Applied(index=index, outcome=outcome):
                return ProposeReply(index, self._codec.encode(outcome))
            case NotProposed(detail=detail, reason=reason):
                return Failure(reason, detail, Verdict.NOT_RUN)
            case InDoubt(detail=detail):
                return Failure(
                    RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN
                )


def _is_long(changes: tuple[Change, ...]) -> bool:
    """Return whether a snapshot should be sent instead of changes.

    A single change is always sent as it is, however large: entries that
    follow must not wait for others that are sent snapshots.
    """
    return len(changes) > 1 and sum(map(size_of, changes)) > MAX_CHANGES_BYTES
