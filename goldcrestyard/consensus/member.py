"""Raft protocol logic of one cluster member, without any I/O.

``Member.step`` takes the current time and an event and returns the effects to
perform: state to persist, messages to send, entries to apply.
The driver must make every ``SaveEffect`` of a step durable before it
performs the other effects, and stops the member if persisting fails.
"""

import random
from collections.abc import Sequence

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    has_quorum,
    quorum_value,
)
from goldcrestyard.consensus.events import (
    AddLearner,
    Appended,
    Apply,
    ConfigurationEvent,
    Effect,
    Event,
    LoadSnapshot,
    Promote,
    Propose,
    Receive,
    Refused,
    Remove,
    Replace,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
    TruncateLog,
)
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    InstallSnapshot,
    MemberMessage,
    PreVote,
    PreVoteReply,
    Snapshot,
    SnapshotReply,
    Vote,
    VoteReply,
)
from goldcrestyard.consensus.persistent_state import PersistentState
from goldcrestyard.consensus.progress import (
    MAX_ENTRIES_BYTES,
    NEVER,
    PartialSnapshot,
    Progress,
    SnapshotTransfer,
)
from goldcrestyard.consensus.roles import Role, RoleMachine
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import LogIndex, Term

MAX_PROMOTION_LAG_ENTRIES = 64
"""Maximum number of entries that a learner may lack to be promoted."""

MAX_KEPT_INTERVALS = 8
"""Maximum number of intervals between snapshots whose entries are kept for a
member that is receiving one."""

MAX_LOG_BYTES = 32 * 1024 * 1024
"""Size of the payloads of the entries that are kept from before a snapshot
while a member receives one; half of it otherwise."""


class Member:
    """Raft state of one member; only ``step`` changes it."""

    def __init__(
        self,
        member_id: MemberId,
        saved: PersistentState,
        timing: Timing,
        random_source: random.Random,
        now: float,
        *,
        chunk_bytes: int = MAX_ENTRIES_BYTES,
        max_log_bytes: int = MAX_LOG_BYTES,
    ) -> None:
        self.id = member_id
        self.term = saved.term
        self.voted_for = saved.voted_for
        self.log = Log(saved.snapshot, saved.entries)
        self.commit_index = self.log.base_index
        self.leader: MemberId | None = None
        self.leadership_started_at = NEVER
        self.progress_by_id: dict[MemberId, Progress] = {}
        self._timing = timing
        self._rng = random_source
        self._chunk_bytes = chunk_bytes
        self._max_log_bytes = max_log_bytes
        self._roles = RoleMachine()
        # A heartbeat that this member acknowledged just before a restart may
        # still back the leader's lease.
        self._withhold_votes_until = now + timing.vote_withholding
        self._leader_heard_at = NEVER
        # Members that granted the current pre-vote or vote, this one included.
        self._votes_received: set[MemberId] = set()
        self._no_op_index = LogIndex(0)
        self._partial_snapshot: PartialSnapshot | None = None
        self._effects: list[Effect] = []
        self._next_heartbeat_at = now
        self._election_deadline = now
        self._update_role_from_configuration()
        if not self._is_only_voter:
            spread = timing.election_timeout_max - timing.election_timeout_min
            # The extra half heartbeat lets members that started at the same
            # time pass their own vote-withholding period first; otherwise
            # they would refuse the first candidate.
            earliest = self._withhold_votes_until + timing.heartbeat / 2
            self._election_deadline = earliest + random_source.uniform(0.0, spread)

    # State read by the driver.

    @property
    def role(self) -> Role:
        """The current role."""
        return self._roles.state

    @property
    def configuration(self) -> Configuration:
        """The latest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def committed_configuration(self) -> Configuration:
        """The latest configuration that is known to be committed."""
        return self.log.configuration_at(self.commit_index)

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this member leads and has committed an entry of its term.

        Before that, a leader cannot determine which entries of earlier terms
        are committed.
        """
        return self.role is Role.LEADER and self.commit_index >= self._no_op_index

    @property
    def lease_expires_at(self) -> float:
        """Time on this member's clock until which no other member can lead.

        The time lies in the past unless this member is a leader that has
        committed an entry of its term.
        """
        if not self.has_committed_in_term:
            return NEVER
        return self._quorum_acknowledged_sent_at() + self._timing.lease * (
            1 - self._timing.drift
        )

    @property
    def step_down_at(self) -> float:
        """Time at which this leader steps down if no quorum has responded."""
        if self.role is not Role.LEADER:
            return NEVER
        last_contact_at = max(
            self._quorum_acknowledged_sent_at(), self.leadership_started_at
        )
        return last_contact_at + self._timing.election_timeout_min

    @property
    def next_tick_at(self) -> float:
        """Time at which the next ``Tick`` is due.

        Infinity for a learner without a leader.
        """
        match self.role:
            case Role.LEADER:
                return min(self._next_heartbeat_at, self.step_down_at)
            case Role.LEARNER if self.leader is None:
                return float("inf")
            case _:
                return self._election_deadline

    def step(self, now: float, event: Event) -> list[Effect]:
        """Process an event and return its effects, in order."""
        self._effects = []
        if self.role is Role.LEADER and now >= self.step_down_at:
            # Checked on every event, so that a leader whose process was
            # paused steps down before it appends a proposal.
            self._become_follower(now, self.term, None)
        match event:
            case Tick():
                self._tick(now)
            case Receive(sender=sender, message=message):
                self._handle_message(now, sender, message)
            case Propose(payloads_by_number=payloads):
                self._propose(now, payloads)
            case AddLearner() | Promote() | Replace() | Remove():
                self._change_configuration(now, event)
            case SnapshotTaken(index=index, data=data):
                self._compact_log(now, index, data)
        return self._effects

    # Timers.

    def _tick(self, now: float) -> None:
        match self.role:
            case Role.LEADER:
                if now >= self._next_heartbeat_at:
                    self._next_heartbeat_at = now + self._timing.heartbeat
                    self._send_heartbeats(now)
            case Role.FOLLOWER | Role.PRE_CANDIDATE | Role.CANDIDATE:
                if now >= self._election_deadline:
                    self._start_pre_vote(now)
            case Role.LEARNER:
                if now >= self._election_deadline:
                    # A learner that was removed while it was cut off hears
                    # of that from nobody.
                    self.leader = None

    def _restart_election_timer(self, now: float) -> None:
        self._election_deadline = now + self._rng.uniform(
            self._timing.election_timeout_min, self._timing.election_timeout_max
        )

    # Elections.

    def _start_pre_vote(self, now: float) -> None:
        self._roles.fire("ask_pre_votes")
        self.leader = None
        self._votes_received = {self.id}
        # A refused pre-vote leaves the terms of the cluster unchanged, so it
        # is retried after less than a full election timeout.
        spread = self._timing.election_timeout_max - self._timing.election_timeout_min
        self._election_deadline = now + self._rng.uniform(0.5, 1.0) * (
            2 * self._timing.heartbeat + spread
        )
        self._send_to_voters(
            PreVote(Term(self.term + 1), self.log.last_index, self.log.last_term)
        )
        self._start_election_if_quorum(now)

    def _start_election_if_quorum(self, now: float) -> None:
        if not self._has_vote_quorum():
            return
        self._roles.fire("ask_votes")
        self.term = Term(self.term + 1)
        self.voted_for = self.id
        self._effects.append(SaveVote(self.term, self.voted_for))
        self._votes_received = {self.id}
        self._send_to_voters(Vote(self.term, self.log.last_index, self.log.last_term))
        self._become_leader_if_quorum(now)

    def _has_vote_quorum(self) -> bool:
        return has_quorum(self.log.voter_groups, self._votes_received)

    def _become_leader_if_quorum(self, now: float) -> None:
        if not self._has_vote_quorum():
            return
        self._roles.fire("win")
        self.leader = self.id
        self.leadership_started_at = now
        next_index = LogIndex(self.log.last_index + 1)
        self.progress_by_id = {
            member.id: Progress(next_index)
            for member in self.configuration.members
            if member.id != self.id
        }
        self._no_op_index = next_index
        self._next_heartbeat_at = now + self._timing.heartbeat
        self._append(now, [Entry(self.term, next_index, EntryKind.NO_OP)])

    def _handle_pre_vote(self, now: float, sender: MemberId, request: PreVote) -> None:
        granted = (
            not self._withholds_votes(now)
            and request.term > self.term
            and self._is_log_up_to_date(request.last_term, request.last_index)
        )
        self._send(sender, PreVoteReply(self.term, request.term, granted))

    def _handle_vote(self, now: float, sender: MemberId, request: Vote) -> None:
        if self._withholds_votes(now):
            # Adopting the term of a candidate that cannot win would depose
            # a working leader, so this member keeps its own.
            self._send(sender, VoteReply(self.term, False))
            return
        if request.term > self.term:
            self._become_follower(now, request.term, None)
        granted = (
            request.term == self.term
            and self.voted_for in (None, sender)
            and self._is_log_up_to_date(request.last_term, request.last_index)
        )
        if granted:
            if self.voted_for is None:
                self.voted_for = sender
                self._effects.append(SaveVote(self.term, sender))
            self._restart_election_timer(now)
        self._send(sender, VoteReply(self.term, granted))

    def _withholds_votes(self, now: float) -> bool:
        """Return whether this voter must refuse every candidate.

        The leader's lease relies on this refusal.  A voter supports no
        candidate within an election timeout of the last message from the
        leader, nor shortly after its start, since it may have acknowledged a
        heartbeat just before a restart.
        """
        if self.role is Role.LEADER:
            return True
        timeout_at = self._leader_heard_at + self._timing.election_timeout_min
        return now < max(timeout_at, self._withhold_votes_until)

    def _is_log_up_to_date(self, last_term: Term, last_index: LogIndex) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own

    def _become_follower(self, now: float, term: Term, leader: MemberId | None) -> None:
        """Step down or stay a follower, and adopt the term if it is later."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self._effects.append(SaveVote(term, None))
        self.leader = leader
        if self.role not in (Role.FOLLOWER, Role.LEARNER):
            self._roles.fire("follow")
            self.progress_by_id = {}
            self._restart_election_timer(now)
        self._update_role_from_configuration()

    def _record_leader_contact(self, now: float, term: Term, leader: MemberId) -> None:
        self._become_follower(now, term, leader)
        self._leader_heard_at = now
        self._restart_election_timer(now)

    # Messages.

    def _handle_message(
        self, now: float, sender: MemberId, message: MemberMessage
    ) -> None:
        match message:
            case PreVote():
                self._handle_pre_vote(now, sender, message)
            case Vote():
                self._handle_vote(now, sender, message)
            case Append():
                if message.term < self.term:
                    self._reject_stale_leader(sender, message.sent_at)
                else:
                    self._record_leader_contact(now, message.term, sender)
                    self._handle_append(sender, message)
            case InstallSnapshot():
                if message.term < self.term:
                    self._reject_stale_leader(sender, message.sent_at)
                else:
                    self._record_leader_contact(now, message.term, sender)
                    self._handle_install_snapshot(sender, message)
            case _:
                if message.term > self.term:
                    self._become_follower(now, message.term, None)
                self._handle_reply(now, sender, message)

    def _reject_stale_leader(self, sender: MemberId, sent_at: float) -> None:
        """Reply to the leader of an earlier term with the current term."""
        reply = AppendReply(self.term, False, LogIndex(0), Term(0), sent_at)
        self._send(sender, reply)

    def _handle_reply(
        self,
        now: float,
        sender: MemberId,
        message: PreVoteReply | VoteReply | AppendReply | SnapshotReply,
    ) -> None:
        match message:
            case PreVoteReply(asked_term=asked, granted=True):
                if self.role is Role.PRE_CANDIDATE and asked == self.term + 1:
                    self._votes_received.add(sender)
                    self._start_election_if_quorum(now)
            case VoteReply(term=term, granted=True):
                if self.role is Role.CANDIDATE and term == self.term:
                    self._votes_received.add(sender)
                    self._become_leader_if_quorum(now)
            case AppendReply() | SnapshotReply():
                progress = self.progress_by_id.get(sender)
                if (
                    self.role is not Role.LEADER
                    or message.term != self.term
                    or progress is None
                ):
                    return
                progress.last_contact_at = now
                progress.last_acknowledged_sent_at = max(
                    progress.last_acknowledged_sent_at, message.sent_at
                )
                if isinstance(message, AppendReply):
                    self._handle_append_reply(now, sender, progress, message)
                else:
                    self._handle_snapshot_reply(now, sender, progress, message)
            case _:
                pass

    # Replication, leader side.

    def _propose(self, now: float, payloads: Sequence[tuple[int, bytes]]) -> None:
        if not self.has_committed_in_term:
            detail = (
                "the leader has not yet committed an entry of its term"
                if self.role is Role.LEADER
                else "this member does not lead"
            )
            self._effects.extend(Refused(number, detail) for number, _ in payloads)
            return
        entries: list[Entry] = []
        for number, payload in payloads:
            index = LogIndex(self.log.last_index + len(entries) + 1)
            entries.append(Entry(self.term, index, EntryKind.COMMAND, payload))
            self._effects.append(Appended(number, index, self.term))
        self._append(now, entries)

    def _append(self, now: float, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._effects.append(SaveEntries(tuple(entries)))
        for member_id, progress in self.progress_by_id.items():
            self._send_entries(now, member_id, progress)
        self._advance_commit(now)

    def _send_heartbeats(self, now: float) -> None:
        for member_id, progress in self.progress_by_id.items():
            if progress.transfer is not None:
                self._send_snapshot(now, member_id, progress, heartbeat=True)
            else:
                self._send_entries(now, member_id, progress, heartbeat=True)

    def _send_entries(
        self,
        now: float,
        member_id: MemberId,
        progress: Progress,
        *,
        heartbeat: bool = False,
    ) -> None:
        """Send the entries that a member lacks.

        Once it has accepted a message, replication is pipelined: sent entries
        count as received until the member rejects them.

        A heartbeat has no entries while others are in flight: during a copy
        they wait on the link for longer than an election timeout, and the
        lease starts at the sending.  Its reply lets further ones follow.
        """
        if progress.transfer is not None:
            return
        previous = LogIndex(progress.next_index - 1)
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(now, member_id, progress, heartbeat=True)
            return
        entries: tuple[Entry, ...] = ()
        if not (heartbeat and progress.has_entries_in_flight):
            entries = progress.next_batch(self.log)
        if not entries and not heartbeat:
            return
        progress.record_sent(entries, now)
        self._send(
            member_id,
            Append(self.term, previous, previous_term, entries, self.commit_index, now),
        )

    def _handle_append_reply(
        self, now: float, sender: MemberId, progress: Progress, reply: AppendReply
    ) -> None:
        if reply.accepted:
            progress.record_match(reply.match_index)
            self._advance_commit(now)
        elif not progress.is_outdated_rejection(reply.sent_at):
            found = self.log.last_index_of_term(reply.conflict_term)
            progress.retry_from(reply.match_index if found is None else found + 1)
        if self.role is Role.LEADER:
            self._send_entries(now, sender, progress)

    def _send_snapshot(
        self,
        now: float,
        member_id: MemberId,
        progress: Progress,
        *,
        heartbeat: bool = False,
    ) -> None:
        """Send the chunks of a snapshot that may be sent now.

        A transfer that has begun goes on when a newer snapshot is taken, as
        long as the log continues the one being sent.  A heartbeat is sent
        beside the chunks, which it may overtake.
        """
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.index < self.log.base_index:
            transfer = SnapshotTransfer(self.log.snapshot, self._chunk_bytes)
            progress.transfer = transfer
        chunks = [
            (offset, transfer.chunk_at(offset)) for offset in transfer.take_offsets()
        ]
        if heartbeat:
            chunks.append((transfer.acknowledged, b""))
        snapshot = transfer.snapshot
        for offset, data in chunks:
            message = InstallSnapshot(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.configuration,
                offset,
                len(snapshot.data),
                data,
                now,
                transfer.digest,
            )
            self._send(member_id, message)

    def _handle_snapshot_reply(
        self, now: float, sender: MemberId, progress: Progress, reply: SnapshotReply
    ) -> None:
        transfer = progress.transfer
        if reply.installed:
            progress.record_match(reply.index)
            if transfer is not None and reply.index >= transfer.snapshot.index:
                progress.transfer = None
                progress.next_index = LogIndex(progress.match_index + 1)
            self._advance_commit(now)
            if self.role is Role.LEADER:
                self._send_entries(now, sender, progress)
        elif transfer is not None and reply.index == transfer.snapshot.index:
            transfer.record_reply(reply)
            self._send_snapshot(now, sender, progress)

    def _advance_commit(self, now: float) -> None:
        matched = {
            voter: self.log.last_index
            if voter == self.id
            else self.progress_by_id[voter].match_index
            for voter in self.log.voters
        }
        reached = LogIndex(int(quorum_value(self.log.voter_groups, matched)))
        # An entry of an earlier term may still be overwritten even if a
        # majority stores it; it commits with the next entry of this term.
        if reached > self.commit_index and self.log.term_at(reached) == self.term:
            self._commit(reached)
            if self.commit_index < self.log.configuration_index:
                return
            if self.configuration.is_joint:
                self._append_configuration(now, self.configuration.without_replaced())
            elif self.configuration.find(self.id) is None:
                self._become_follower(now, self.term, None)

    def _commit(self, index: LogIndex) -> None:
        first = LogIndex(self.commit_index + 1)
        self.commit_index = index
        self._effects.append(Apply(self.log.entries_between(first, index)))

    def _quorum_acknowledged_sent_at(self) -> float:
        """Return the latest sending time that a quorum has acknowledged.

        Every voter of the quorum has answered a message sent at this time or
        later.
        """
        sent_at = {
            voter: float("inf")
            if voter == self.id
            else self.progress_by_id[voter].last_acknowledged_sent_at
            for voter in self.log.voters
        }
        return quorum_value(self.log.voter_groups, sent_at)

    # Replication, follower side.

    def _handle_append(self, sender: MemberId, message: Append) -> None:
        if message.previous_index < self.commit_index:
            self._handle_append_before_commit(sender, message)
            return
        own_term = self.log.term_at(message.previous_index)
        if own_term != message.previous_term:
            self._send(sender, self._make_conflict_reply(message, own_term))
            return
        self._store_entries(message.entries)
        matched = LogIndex(message.previous_index + len(message.entries))
        self._accept_append(sender, message, matched)

    def _handle_append_before_commit(self, sender: MemberId, message: Append) -> None:
        """Store only the entries after this member's commit index.

        Up to that index, the leader's log and this one are the same.
        """
        self._store_entries(
            tuple(entry for entry in message.entries if entry.index > self.commit_index)
        )
        matched = LogIndex(message.previous_index + len(message.entries))
        self._accept_append(sender, message, max(matched, self.commit_index))

    def _accept_append(
        self, sender: MemberId, message: Append, matched: LogIndex
    ) -> None:
        committed = min(message.commit_index, matched)
        if committed > self.commit_index:
            self._commit(LogIndex(committed))
            self._update_role_from_configuration()
        self._send(
            sender, AppendReply(self.term, True, matched, Term(0), message.sent_at)
        )

    def _make_conflict_reply(
        self, message: Append, own_term: Term | None
    ) -> AppendReply:
        if own_term is None:
            first = LogIndex(self.log.last_index + 1)
        else:
            first = self.log.first_index_of_term_at(message.previous_index)
        first = max(first, LogIndex(self.commit_index + 1))
        return AppendReply(
            self.term, False, first, own_term or Term(0), message.sent_at
        )

    def _store_entries(self, entries: Sequence[Entry]) -> None:
        new = [
            entry for entry in entries if self.log.term_at(entry.index) != entry.term
        ]
        if not new:
            return
        first = new[0].index
        if first <= self.log.last_index:
            assert first > self.commit_index
            self.log.truncate(first)
            self._effects.append(TruncateLog(first))
        self.log.append(new)
        self._effects.append(SaveEntries(tuple(new)))
        self._update_role_from_configuration()

    def _handle_install_snapshot(
        self, sender: MemberId, message: InstallSnapshot
    ) -> None:
        if message.index <= self.commit_index:
            self._send_snapshot_reply(sender, message, message.total, installed=True)
            return
        if self._partial_snapshot and self._partial_snapshot.is_overtaken(message):
            return
        if (
            self._partial_snapshot is None
            or not self._partial_snapshot.matches_transfer(sender, message)
        ):
            self._partial_snapshot = PartialSnapshot(
                sender, message.index, message.digest
            )
        partial = self._partial_snapshot
        received = partial.add(message)
        if received == message.total and not partial.is_intact():
            # It is received again, rather than applied.
            self._partial_snapshot = None
            received = 0
        if received < message.total:
            self._send_snapshot_reply(sender, message, received, installed=False)
            return
        self._install_snapshot(partial.to_snapshot(message))
        self._send_snapshot_reply(sender, message, received, installed=True)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self._partial_snapshot = None
        log_matches = self.log.term_at(snapshot.index) == snapshot.term
        first_kept = LogIndex(snapshot.index + 1)
        if log_matches:
            self.log.compact(snapshot, snapshot.index)
        else:
            self.log.reset(snapshot)
        self._effects.append(SaveSnapshot(snapshot, first_kept, not log_matches))
        self.commit_index = snapshot.index
        self._effects.append(LoadSnapshot(snapshot))
        self._update_role_from_configuration()

    def _send_snapshot_reply(
        self, sender: MemberId, message: InstallSnapshot, received: int, installed: bool
    ) -> None:
        self._send(
            sender,
            SnapshotReply(
                self.term,
                message.index,
                received,
                installed,
                message.sent_at,
                orders_chunks=True,
            ),
        )

    # Snapshots.

    def _compact_log(self, now: float, index: LogIndex, data: bytes) -> None:
        term = self.log.term_at(index)
        if index <= self.log.snapshot.index or term is None:
            return
        assert index <= self.commit_index
        snapshot = Snapshot(index, term, self.log.configuration_at(index), data)
        # The later half of the entries since the previous snapshot is kept,
        # so that a follower slightly behind needs no snapshot.
        base = LogIndex((self.log.snapshot.index + index) // 2)
        in_transfer = self._snapshot_indexes_in_transfer(now)
        base = min([base, *in_transfer])
        oldest = max(
            index - MAX_KEPT_INTERVALS * (index - self.log.snapshot.index),
            self.log.base_within(
                index,
                self._max_log_bytes if in_transfer else self._max_log_bytes // 2,
            ),
        )
        self.log.compact(snapshot, LogIndex(max(base, oldest, self.log.base_index)))
        self._effects.append(SaveSnapshot(snapshot, LogIndex(index + 1), False))

    def _snapshot_indexes_in_transfer(self, now: float) -> list[LogIndex]:
        """Return the indexes of the snapshots that responsive members receive.

        The entries after them are kept: a member that lacked them would need
        another snapshot, and so on if one takes longer than the interval
        between two.
        """
        return [
            progress.transfer.snapshot.index
            for progress in self.progress_by_id.values()
            if progress.transfer is not None
            and now - progress.last_contact_at < self._timing.election_timeout_min
        ]

    # Configuration.

    def _change_configuration(self, now: float, event: ConfigurationEvent) -> None:
        changed = self._make_configuration(now, event)
        if isinstance(changed, str):
            self._effects.append(Refused(event.number, changed))
            return
        index = LogIndex(self.log.last_index + 1)
        self._effects.append(Appended(event.number, index, self.term))
        self._append_configuration(now, changed)

    def _append_configuration(self, now: float, changed: Configuration) -> None:
        index = LogIndex(self.log.last_index + 1)
        entry = Entry(self.term, index, EntryKind.CONFIGURATION, b"", changed)
        kept = {
            member.id: self.progress_by_id.get(member.id, Progress(index))
            for member in changed.members
            if member.id != self.id
        }
        removed = self.progress_by_id.keys() - kept.keys()
        # A removed member is still sent the entry that removes it.
        removed_progress = {
            member_id: self.progress_by_id[member_id] for member_id in removed
        }
        self.progress_by_id = kept | removed_progress
        self._append(now, [entry])
        for member_id in removed:
            self.progress_by_id.pop(member_id, None)

    def _make_configuration(
        self, now: float, event: ConfigurationEvent
    ) -> Configuration | str:
        """Return the new configuration, or the reason for refusing it."""
        current = self.configuration
        if not self.has_committed_in_term:
            return "this member does not lead"
        if self.log.configuration_index > self.commit_index or current.is_joint:
            return "another change of the members is not yet committed"
        match event:
            case AddLearner(member=member):
                if current.find(member.id) is not None:
                    return f"{member.id} is already a member"
                return current.with_learner(member)
            case Promote(member=member_id):
                if not self.has_caught_up(now, member_id):
                    return f"{member_id} has not caught up"
                return current.with_voter(member_id)
            case Replace(voter=voter, learner=learner):
                return self._make_replacement(now, voter, learner)
            case Remove(member=member_id):
                if current.find(member_id) is None:
                    return f"{member_id} is not a member"
                if current.voters == (member_id,):
                    return f"{member_id} is the only voter"
                return current.without_member(member_id)

    def _make_replacement(
        self, now: float, voter: MemberId, learner: MemberId
    ) -> Configuration | str:
        voters = self.configuration.voters
        if voter not in voters or learner in voters:
            return f"{learner} cannot take the vote of {voter}"
        if not self.has_answered(now, learner):
            return f"{learner} has not answered, or has not caught up"
        if self.has_answered(now, voter) and not self.has_caught_up(now, learner):
            return f"{learner} has not caught up"
        return self.configuration.with_replacement(voter, learner)

    def has_answered(self, now: float, member_id: MemberId) -> bool:
        """Return whether a member has just answered, whatever it stores.

        True only on the leader, for itself and for other members.
        """
        if self.role is not Role.LEADER or self.configuration.find(member_id) is None:
            return False
        if member_id == self.id:
            return True
        progress = self.progress_by_id.get(member_id)
        return (
            progress is not None
            and now - progress.last_contact_at < self._timing.confirmation
        )

    def has_caught_up(self, now: float, member_id: MemberId) -> bool:
        """Return whether a member replicates closely enough to be a voter.

        True only on the leader, for itself and for a member that has just
        answered, lacks few entries, and stores the latest configuration.
        """
        if not self.has_answered(now, member_id):
            return False
        if member_id == self.id:
            return True
        matched = self.progress_by_id[member_id].match_index
        return (
            matched >= self.log.configuration_index
            and matched + MAX_PROMOTION_LAG_ENTRIES >= self.log.last_index
        )

    def _update_role_from_configuration(self) -> None:
        """Switch between learner and follower to match the configuration.

        A voter starts elections until its removal is committed.  It may be
        the only member that stores the removal: its log is then the only one
        that can win, and the others need its vote.
        """
        latest_index = self.log.configuration_index
        votes = self.id in self.log.voters or (
            self.commit_index < latest_index
            and self.id in self.log.configuration_at(LogIndex(latest_index - 1)).voters
        )
        if votes and self.role is Role.LEARNER:
            self._roles.fire("become_voter")
        elif not votes and self.role is Role.FOLLOWER:
            self._roles.fire("become_learner")

    @property
    def _is_only_voter(self) -> bool:
        return self.log.voters == (self.id,)

    # Sending.

    def _send(self, receiver: MemberId, message: MemberMessage) -> None:
        self._effects.append(Send(receiver, message))

    def _send_to_voters(self, message: MemberMessage) -> None:
        for voter in self.log.voters:
            if voter != self.id:
                self._send(voter, message)
