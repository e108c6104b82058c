"""The decisions of one member of the replicated log (Raft).

Pure: ``step`` takes the time and an event and returns effects.  The driver
performs all ``SaveEffect``s of a step before anything else, and stops the
member if one of them fails.
"""

import random
from collections.abc import Sequence

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    quorum_value,
)
from goldcrestyard.consensus.events import (
    AddLearner,
    Appended,
    Apply,
    Effect,
    Event,
    LoadSnapshot,
    Promote,
    Propose,
    Receive,
    Refused,
    Remove,
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
from goldcrestyard.consensus.progress import (
    BATCH_BYTES,
    NEVER,
    PartialSnapshot,
    Progress,
)
from goldcrestyard.consensus.roles import Role, RoleMachine
from goldcrestyard.consensus.saved import SavedState
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import LogIndex, Term

CAUGHT_UP_ENTRIES = 64
"""A learner with at most this many entries missing may become a voter."""


class Member:
    """One member's state; only ``step`` changes it."""

    def __init__(
        self,
        member_id: MemberId,
        saved: SavedState,
        timing: Timing,
        random_source: random.Random,
        now: float,
        *,
        chunk_bytes: int = BATCH_BYTES,
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
        self._random = random_source
        self._chunk_bytes = chunk_bytes
        self._roles = RoleMachine()
        # What was acknowledged just before the start may still carry a lease.
        self._quiet_until = now + timing.start_quiet
        self._heard_at = NEVER
        self._granted: set[MemberId] = set()
        self._no_op_index = LogIndex(0)
        self._partial: PartialSnapshot | None = None
        self._effects: list[Effect] = []
        self._next_heartbeat = now
        self._election_at = now
        self._follow_configuration()
        if not self._alone:
            spread = timing.election_max - timing.election_min
            # Members that started at the same time are then past their own
            # quiet time, and do not refuse the first one that asks.
            first = self._quiet_until + timing.heartbeat / 2
            self._election_at = first + random_source.uniform(0.0, spread)

    # What the driver reads.

    @property
    def role(self) -> Role:
        """The present role."""
        return self._roles.state

    @property
    def configuration(self) -> Configuration:
        """The latest configuration, committed or not."""
        return self.log.configuration

    @property
    def ready(self) -> bool:
        """Whether this leader has committed an entry of its own term.

        Until then it may not know which earlier entries are committed.
        """
        return self.role is Role.LEADER and self.commit_index >= self._no_op_index

    @property
    def lease_expires_at(self) -> float:
        """Until when no other member can lead, on this member's clock."""
        if not self.ready:
            return NEVER
        return self._quorum_sent_at() + self._timing.lease * (1 - self._timing.drift)

    @property
    def leads_until(self) -> float:
        """When this leader steps down unless a quorum answers."""
        if self.role is not Role.LEADER:
            return NEVER
        heard = max(self._quorum_sent_at(), self.leadership_started_at)
        return heard + self._timing.election_min

    @property
    def wake_at(self) -> float:
        """When the next ``Tick`` is due."""
        match self.role:
            case Role.LEADER:
                return min(self._next_heartbeat, self.leads_until)
            case Role.LEARNER:
                return float("inf")
            case _:
                return self._election_at

    def step(self, now: float, event: Event) -> list[Effect]:
        """React to an event."""
        self._effects = []
        if self.role is Role.LEADER and now >= self.leads_until:
            # Also after a pause of the process, before anything is proposed.
            self._follow(now, self.term, None)
        match event:
            case Tick():
                self._tick(now)
            case Receive(sender=sender, message=message):
                self._receive(now, sender, message)
            case Propose(payloads_by_number=payloads):
                self._propose(now, payloads)
            case AddLearner() | Promote() | Remove():
                self._change_configuration(now, event)
            case SnapshotTaken(index=index, data=data):
                self._compact(index, data)
        return self._effects

    # Time.

    def _tick(self, now: float) -> None:
        match self.role:
            case Role.LEADER:
                if now >= self._next_heartbeat:
                    self._next_heartbeat = now + self._timing.heartbeat
                    self._send_heartbeats(now)
            case Role.FOLLOWER | Role.PRE_CANDIDATE | Role.CANDIDATE:
                if now >= self._election_at:
                    self._ask_pre_votes(now)
            case Role.LEARNER:
                pass

    def _restart_election_timer(self, now: float) -> None:
        self._election_at = now + self._random.uniform(
            self._timing.election_min, self._timing.election_max
        )

    # Elections.

    def _ask_pre_votes(self, now: float) -> None:
        self._roles.fire("ask_pre_votes")
        self.leader = None
        self._granted = {self.id}
        # Refused pre-votes cost the cluster nothing, so the next attempt
        # comes sooner than the first.
        spread = self._timing.election_max - self._timing.election_min
        self._election_at = now + self._random.uniform(0.5, 1.0) * (
            2 * self._timing.heartbeat + spread
        )
        self._send_to_voters(
            PreVote(Term(self.term + 1), self.log.last_index, self.log.last_term)
        )
        self._ask_votes_with_quorum(now)

    def _ask_votes_with_quorum(self, now: float) -> None:
        if not self._granted_by_quorum():
            return
        self._roles.fire("ask_votes")
        self.term = Term(self.term + 1)
        self.voted_for = self.id
        self._effects.append(SaveVote(self.term, self.voted_for))
        self._granted = {self.id}
        self._send_to_voters(Vote(self.term, self.log.last_index, self.log.last_term))
        self._lead_with_quorum(now)

    def _granted_by_quorum(self) -> bool:
        return len(self._granted.intersection(self.log.voters)) >= self.log.quorum

    def _lead_with_quorum(self, now: float) -> None:
        if not self._granted_by_quorum():
            return
        self._roles.fire("win")
        self.leader = self.id
        self.leadership_started_at = now
        following = LogIndex(self.log.last_index + 1)
        self.progress_by_id = {
            member.id: Progress(following)
            for member in self.configuration.members
            if member.id != self.id
        }
        self._no_op_index = following
        self._next_heartbeat = now + self._timing.heartbeat
        self._append(now, [Entry(self.term, following, EntryKind.NO_OP)])

    def _answer_pre_vote(self, now: float, sender: MemberId, request: PreVote) -> None:
        granted = (
            not self._refuses_candidates(now)
            and request.term > self.term
            and self._is_current(request.last_term, request.last_index)
        )
        self._send(sender, PreVoteReply(self.term, request.term, granted))

    def _answer_vote(self, now: float, sender: MemberId, request: Vote) -> None:
        if self._refuses_candidates(now):
            # The term stays as it is: adopting that of a member which
            # cannot win would depose a leader that works.
            self._send(sender, VoteReply(self.term, False))
            return
        if request.term > self.term:
            self._follow(now, request.term, None)
        granted = (
            request.term == self.term
            and self.voted_for in (None, sender)
            and self._is_current(request.last_term, request.last_index)
        )
        if granted:
            if self.voted_for is None:
                self.voted_for = sender
                self._effects.append(SaveVote(self.term, sender))
            self._restart_election_timer(now)
        self._send(sender, VoteReply(self.term, granted))

    def _refuses_candidates(self, now: float) -> bool:
        """Return whether a leader may still count on this voter.

        The leader's lease rests on this: after a start the voter does not
        know whether it has just answered a heartbeat.
        """
        if self.role is Role.LEADER:
            return True
        heard_until = self._heard_at + self._timing.election_min
        return now < max(heard_until, self._quiet_until)

    def _is_current(self, last_term: Term, last_index: LogIndex) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own

    def _follow(self, now: float, term: Term, leader: MemberId | None) -> None:
        """Become a follower, possibly in a later term."""
        if term > self.term:
            self.term = term
            self.voted_for = None
            self._effects.append(SaveVote(term, None))
        self.leader = leader
        if self.role not in (Role.FOLLOWER, Role.LEARNER):
            self._roles.fire("follow")
            self.progress_by_id = {}
            self._restart_election_timer(now)
        self._follow_configuration()

    def _hear_leader(self, now: float, term: Term, leader: MemberId) -> None:
        self._follow(now, term, leader)
        self._heard_at = now
        self._restart_election_timer(now)

    # Messages.

    def _receive(self, now: float, sender: MemberId, message: MemberMessage) -> None:
        match message:
            case PreVote():
                self._answer_pre_vote(now, sender, message)
            case Vote():
                self._answer_vote(now, sender, message)
            case Append():
                if message.term < self.term:
                    self._refuse_leader(sender, message.sent_at)
                else:
                    self._hear_leader(now, message.term, sender)
                    self._answer_append(sender, message)
            case InstallSnapshot():
                if message.term < self.term:
                    self._refuse_leader(sender, message.sent_at)
                else:
                    self._hear_leader(now, message.term, sender)
                    self._answer_snapshot(sender, message)
            case _:
                if message.term > self.term:
                    self._follow(now, message.term, None)
                self._receive_reply(now, sender, message)

    def _refuse_leader(self, sender: MemberId, sent_at: float) -> None:
        """Tell a deposed leader the present term."""
        reply = AppendReply(self.term, False, LogIndex(0), Term(0), sent_at)
        self._send(sender, reply)

    def _receive_reply(
        self,
        now: float,
        sender: MemberId,
        message: PreVoteReply | VoteReply | AppendReply | SnapshotReply,
    ) -> None:
        match message:
            case PreVoteReply(asked_term=asked, granted=True):
                if self.role is Role.PRE_CANDIDATE and asked == self.term + 1:
                    self._granted.add(sender)
                    self._ask_votes_with_quorum(now)
            case VoteReply(term=term, granted=True):
                if self.role is Role.CANDIDATE and term == self.term:
                    self._granted.add(sender)
                    self._lead_with_quorum(now)
            case AppendReply() | SnapshotReply():
                progress = self.progress_by_id.get(sender)
                if (
                    self.role is not Role.LEADER
                    or message.term != self.term
                    or progress is None
                ):
                    return
                progress.contacted_at = now
                progress.acknowledged_sent_at = max(
                    progress.acknowledged_sent_at, message.sent_at
                )
                if isinstance(message, AppendReply):
                    self._take_append_reply(now, sender, progress, message)
                else:
                    self._take_snapshot_reply(now, sender, progress, message)
            case _:
                pass

    # Replication, leader side.

    def _propose(self, now: float, payloads: Sequence[tuple[int, bytes]]) -> None:
        if not self.ready:
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
            self._effects.append(Appended(number, index))
        self._append(now, entries)

    def _append(self, now: float, entries: list[Entry]) -> None:
        self.log.append(entries)
        self._effects.append(SaveEntries(tuple(entries)))
        for member_id, progress in self.progress_by_id.items():
            self._send_entries(now, member_id, progress)
        self._advance_commit(now)

    def _send_heartbeats(self, now: float) -> None:
        for member_id, progress in self.progress_by_id.items():
            if progress.snapshot_index is not None:
                self._send_chunk(now, member_id, progress)
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
        """Send what a member lacks; it is taken as received until refused."""
        if progress.snapshot_index is not None:
            return
        previous = LogIndex(progress.next_index - 1)
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            progress.snapshot_index = self.log.snapshot.index
            progress.snapshot_offset = 0
            self._send_chunk(now, member_id, progress)
            return
        entries = progress.next_batch(self.log)
        if not entries and not heartbeat:
            return
        progress.next_index = LogIndex(previous + len(entries) + 1)
        self._send(
            member_id,
            Append(self.term, previous, previous_term, entries, self.commit_index, now),
        )

    def _take_append_reply(
        self, now: float, sender: MemberId, progress: Progress, reply: AppendReply
    ) -> None:
        if reply.accepted:
            progress.match(reply.match_index)
            self._advance_commit(now)
        else:
            found = self.log.last_index_of_term(reply.conflict_term)
            progress.retry_from(reply.match_index if found is None else found + 1)
        if self.role is Role.LEADER:
            self._send_entries(now, sender, progress)

    def _send_chunk(self, now: float, member_id: MemberId, progress: Progress) -> None:
        snapshot = self.log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        self._send(
            member_id,
            InstallSnapshot(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.configuration,
                offset,
                len(snapshot.data),
                snapshot.data[offset : offset + self._chunk_bytes],
                now,
            ),
        )

    def _take_snapshot_reply(
        self, now: float, sender: MemberId, progress: Progress, reply: SnapshotReply
    ) -> None:
        if reply.installed:
            progress.match(reply.index)
            if reply.index == progress.snapshot_index:
                progress.snapshot_index = None
                progress.next_index = LogIndex(progress.match_index + 1)
            self._advance_commit(now)
            if self.role is Role.LEADER:
                self._send_entries(now, sender, progress)
        elif reply.index == progress.snapshot_index:
            # A repeated reply must not send a chunk twice, or each
            # duplicate would double the traffic.
            if reply.received > progress.snapshot_offset:
                progress.snapshot_offset = reply.received
                self._send_chunk(now, sender, progress)
            elif reply.received < progress.snapshot_offset:
                # The member has restarted; the next heartbeat resumes.
                progress.snapshot_offset = reply.received

    def _advance_commit(self, now: float) -> None:
        matched = [
            self.log.last_index
            if voter == self.id
            else self.progress_by_id[voter].match_index
            for voter in self.log.voters
        ]
        reached = LogIndex(int(quorum_value(matched, self.log.quorum)))
        # An entry of an earlier term may still be replaced even if a
        # majority holds it; it commits with the next one of this term.
        if reached > self.commit_index and self.log.term_at(reached) == self.term:
            self._commit(reached)
            if self.configuration.find(self.id) is None and (
                self.commit_index >= self.log.configuration_index
            ):
                self._follow(now, self.term, None)

    def _commit(self, index: LogIndex) -> None:
        first = LogIndex(self.commit_index + 1)
        self.commit_index = index
        self._effects.append(Apply(self.log.between(first, index)))

    def _quorum_sent_at(self) -> float:
        """Return when the latest round was sent that a quorum answered."""
        sent_at = [
            float("inf")
            if voter == self.id
            else self.progress_by_id[voter].acknowledged_sent_at
            for voter in self.log.voters
        ]
        return quorum_value(sent_at, self.log.quorum)

    # Replication, follower side.

    def _answer_append(self, sender: MemberId, message: Append) -> None:
        if message.previous_index < self.commit_index:
            self._answer_old_append(sender, message)
            return
        own_term = self.log.term_at(message.previous_index)
        if own_term != message.previous_term:
            self._send(sender, self._conflict(message, own_term))
            return
        self._store(message.entries)
        matched = LogIndex(message.previous_index + len(message.entries))
        self._accept(sender, message, matched)

    def _answer_old_append(self, sender: MemberId, message: Append) -> None:
        """Take from a message what follows the committed entries.

        Committed entries are the same on both sides.
        """
        self._store(
            tuple(entry for entry in message.entries if entry.index > self.commit_index)
        )
        matched = LogIndex(message.previous_index + len(message.entries))
        self._accept(sender, message, max(matched, self.commit_index))

    def _accept(self, sender: MemberId, message: Append, matched: LogIndex) -> None:
        committed = min(message.commit_index, matched)
        if committed > self.commit_index:
            self._commit(LogIndex(committed))
        self._send(
            sender, AppendReply(self.term, True, matched, Term(0), message.sent_at)
        )

    def _conflict(self, message: Append, own_term: Term | None) -> AppendReply:
        if own_term is None:
            first = LogIndex(self.log.last_index + 1)
        else:
            first = self.log.first_index_of_term_at(message.previous_index)
        first = max(first, LogIndex(self.commit_index + 1))
        return AppendReply(
            self.term, False, first, own_term or Term(0), message.sent_at
        )

    def _store(self, entries: Sequence[Entry]) -> None:
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
        self._follow_configuration()

    def _answer_snapshot(self, sender: MemberId, message: InstallSnapshot) -> None:
        if message.index <= self.commit_index:
            self._reply_to_chunk(sender, message, message.total, installed=True)
            return
        if self._partial is None or not self._partial.continues(sender, message):
            self._partial = PartialSnapshot(sender, message.term, message.index)
        received = self._partial.add(message)
        if received < message.total:
            self._reply_to_chunk(sender, message, received, installed=False)
            return
        self._install(self._partial.to_snapshot(message))
        self._reply_to_chunk(sender, message, received, installed=True)

    def _install(self, snapshot: Snapshot) -> None:
        self._partial = None
        continues = self.log.term_at(snapshot.index) == snapshot.term
        first_kept = LogIndex(snapshot.index + 1)
        if continues:
            self.log.compact(snapshot, snapshot.index)
        else:
            self.log.reset(snapshot)
        self._effects.append(SaveSnapshot(snapshot, first_kept, not continues))
        self.commit_index = snapshot.index
        self._effects.append(LoadSnapshot(snapshot))
        self._follow_configuration()

    def _reply_to_chunk(
        self, sender: MemberId, message: InstallSnapshot, received: int, installed: bool
    ) -> None:
        self._send(
            sender,
            SnapshotReply(
                self.term, message.index, received, installed, message.sent_at
            ),
        )

    # Snapshots.

    def _compact(self, index: LogIndex, data: bytes) -> None:
        term = self.log.term_at(index)
        if index <= self.log.snapshot.index or term is None:
            return
        assert index <= self.commit_index
        snapshot = Snapshot(index, term, self.log.configuration_at(index), data)
        # Some entries are kept for followers that are a little behind.
        base = LogIndex((self.log.snapshot.index + index) // 2)
        self.log.compact(snapshot, base)
        self._effects.append(SaveSnapshot(snapshot, LogIndex(index + 1), False))

    # Configuration.

    def _change_configuration(
        self, now: float, event: AddLearner | Promote | Remove
    ) -> None:
        changed = self._changed_configuration(now, event)
        if isinstance(changed, str):
            self._effects.append(Refused(event.number, changed))
            return
        index = LogIndex(self.log.last_index + 1)
        self._effects.append(Appended(event.number, index))
        entry = Entry(self.term, index, EntryKind.CONFIGURATION, b"", changed)
        kept = {
            member.id: self.progress_by_id.get(member.id, Progress(index))
            for member in changed.members
            if member.id != self.id
        }
        removed = self.progress_by_id.keys() - kept.keys()
        # A removed member still gets the entry that removes it.
        farewell = {member_id: self.progress_by_id[member_id] for member_id in removed}
        self.progress_by_id = kept | farewell
        self._append(now, [entry])
        for member_id in removed:
            self.progress_by_id.pop(member_id, None)

    def _changed_configuration(
        self, now: float, event: AddLearner | Promote | Remove
    ) -> Configuration | str:
        """Return the new configuration, or why there is none."""
        current = self.configuration
        if not self.ready:
            return "this member does not lead"
        if self.log.configuration_index > self.commit_index:
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
            case Remove(member=member_id):
                if current.find(member_id) is None:
                    return f"{member_id} is not a member"
                if current.voters == (member_id,):
                    return f"{member_id} is the only voter"
                return current.without(member_id)

    def has_caught_up(self, now: float, member_id: MemberId) -> bool:
        """Return whether a learner may become a voter now."""
        progress = self.progress_by_id.get(member_id)
        return (
            self.role is Role.LEADER
            and progress is not None
            and self.configuration.find(member_id) is not None
            and progress.match_index + CAUGHT_UP_ENTRIES >= self.log.last_index
            and now - progress.contacted_at < self._timing.election_min
        )

    def _follow_configuration(self) -> None:
        """Be a learner exactly while the configuration says so."""
        votes = self.id in self.log.voters
        if votes and self.role is Role.LEARNER:
            self._roles.fire("become_voter")
        elif not votes and self.role is Role.FOLLOWER:
            self._roles.fire("become_learner")

    @property
    def _alone(self) -> bool:
        return self.log.voters == (self.id,)

    # Sending.

    def _send(self, receiver: MemberId, message: MemberMessage) -> None:
        self._effects.append(Send(receiver, message))

    def _send_to_voters(self, message: MemberMessage) -> None:
        for voter in self.log.voters:
            if voter != self.id:
                self._send(voter, message)
