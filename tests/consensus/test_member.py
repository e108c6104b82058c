"""Unit tests of the Raft logic: single steps of one ``Member``.

They guard against two leaders in a term, a leader without a majority or
without committed entries, majorities that do not overlap, and replies that
a crash can revoke.
"""

import random
import unittest
from dataclasses import dataclass, replace
from hashlib import sha256

from parameterized import parameterized

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
)
from goldcrestyard.consensus.events import (
    AddLearner,
    Appended,
    ConfigurationEvent,
    Effect,
    Event,
    Promote,
    Propose,
    Receive,
    Refused,
    Remove,
    Replace,
    SaveEntries,
    SaveVote,
    Send,
    SnapshotTaken,
    Tick,
)
from goldcrestyard.consensus.member import Member
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
from goldcrestyard.consensus.outbox import MAX_QUEUED_MESSAGES
from goldcrestyard.consensus.persistent_state import (
    PersistentState,
    select_save_effects,
)
from goldcrestyard.consensus.progress import (
    GAP_SECONDS,
    MAX_ENTRIES_BYTES,
    PartialSnapshot,
    SnapshotTransfer,
)
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import InstanceId, LogIndex, Term

A, B, C, D = (MemberId(name) for name in "abcd")
TIMING = Timing()
START = 100.0
VOTES_ALLOWED_AT = START + TIMING.election_timeout_min
"""End of the vote-withholding period after the start."""


def configuration(*voters: MemberId) -> Configuration:
    return Configuration(
        tuple(MemberRecord(v, InstanceId(v), "", True) for v in voters)
    )


def entry(term: int, index: int) -> Entry:
    if index == 1:
        members = configuration(A, B, C)
        return Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", members)
    return Entry(Term(term), LogIndex(index), EntryKind.COMMAND, b"%d" % index)


def log(*terms: int) -> tuple[Entry, ...]:
    """Return entries with these terms, from index 1 on."""
    return tuple(entry(term, index) for index, term in enumerate(terms, start=1))


def make_member(*terms: int, term: int = 0, chunk_bytes: int = 1000) -> Member:
    saved = PersistentState(Term(term or terms[-1]), None, None, log(*terms))
    random_source = random.Random(1)
    return Member(A, saved, TIMING, random_source, START, chunk_bytes=chunk_bytes)


def step(
    subject: Member, now: float, sender: MemberId, message: MemberMessage
) -> list[Effect]:
    return subject.step(now, Receive(sender, message))


def sent(effects: list[Effect]) -> list[MemberMessage]:
    return [effect.message for effect in effects if isinstance(effect, Send)]


def elect_leader(subject: Member) -> float:
    """Let a member win an election by the votes of B; return its time."""
    now = subject.next_tick_at
    subject.step(now, Tick())
    asked = Term(subject.term + 1)
    step(subject, now, B, PreVoteReply(subject.term, asked, True))
    step(subject, now, B, VoteReply(asked, True))
    assert subject.role is Role.LEADER
    return now


def acknowledge_log(
    subject: Member, now: float, sender: MemberId, sent_at: float
) -> None:
    """Let a member acknowledge every entry of the leader's log."""
    reply = AppendReply(subject.term, True, subject.log.last_index, Term(0), sent_at)
    step(subject, now, sender, reply)


def make_ready_leader(*terms: int) -> tuple[Member, float]:
    subject = make_member(*terms)
    now = elect_leader(subject)
    acknowledge_log(subject, now, B, now)
    assert subject.has_committed_in_term
    return subject, now


@dataclass(frozen=True)
class VoteCase:
    """A vote request, its time of arrival, and whether it is granted."""

    name: str
    now: float
    term: int
    last_term: int
    last_index: int
    granted: bool
    leader_heard_at: float | None = None


VOTE_CASES = [
    VoteCase("current_log", VOTES_ALLOWED_AT, 4, 3, 3, True),
    VoteCase("longer_log", VOTES_ALLOWED_AT, 4, 3, 9, True),
    VoteCase("later_last_term", VOTES_ALLOWED_AT, 5, 4, 2, True),
    VoteCase("shorter_log", VOTES_ALLOWED_AT, 4, 3, 2, False),
    VoteCase("earlier_last_term", VOTES_ALLOWED_AT, 4, 2, 9, False),
    VoteCase("earlier_term", VOTES_ALLOWED_AT, 2, 3, 3, False),
    VoteCase("right_after_the_start", VOTES_ALLOWED_AT - 0.01, 4, 3, 3, False),
    VoteCase(
        "right_after_a_leader",
        VOTES_ALLOWED_AT + 1.99,
        4,
        3,
        3,
        False,
        VOTES_ALLOWED_AT,
    ),
    VoteCase(
        "long_after_a_leader", VOTES_ALLOWED_AT + 2.0, 4, 3, 3, True, VOTES_ALLOWED_AT
    ),
]


class VoteTests(unittest.TestCase):
    """Votes and pre-votes.

    Guards against a second leader in a term, and against a leader that lacks
    committed entries.
    """

    def _subject(self, case: VoteCase) -> Member:
        subject = make_member(1, 3, 3)
        if case.leader_heard_at is not None:
            heartbeat = Append(
                Term(3), LogIndex(3), Term(3), (), LogIndex(0), case.leader_heard_at
            )
            step(subject, case.leader_heard_at, C, heartbeat)
        return subject

    @parameterized.expand([(case.name, case) for case in VOTE_CASES])
    def test_vote(self, _: str, case: VoteCase) -> None:
        subject = self._subject(case)
        request = Vote(Term(case.term), LogIndex(case.last_index), Term(case.last_term))
        effects = step(subject, case.now, B, request)
        (reply,) = sent(effects)
        assert isinstance(reply, VoteReply)
        self.assertEqual(reply.granted, case.granted)
        if case.granted:
            # The vote is persisted before the reply is sent.
            self.assertIn(SaveVote(Term(case.term), B), select_save_effects(effects))

    @parameterized.expand([(case.name, case) for case in VOTE_CASES])
    def test_pre_vote_changes_nothing(self, _: str, case: VoteCase) -> None:
        subject = self._subject(case)
        request = PreVote(
            Term(case.term), LogIndex(case.last_index), Term(case.last_term)
        )
        effects = step(subject, case.now, B, request)
        expected = PreVoteReply(Term(3), Term(case.term), case.granted)
        self.assertEqual(effects, [Send(B, expected)])

    def test_one_vote_in_a_term(self) -> None:
        subject = make_member(1, 3, 3)
        request = Vote(Term(4), LogIndex(3), Term(3))
        step(subject, VOTES_ALLOWED_AT, B, request)
        (reply,) = sent(step(subject, VOTES_ALLOWED_AT, C, request))
        self.assertEqual(reply, VoteReply(Term(4), False))

    def test_refused_vote_does_not_raise_the_term(self) -> None:
        subject = make_member(1, 3, 3)
        step(subject, VOTES_ALLOWED_AT - 0.01, B, Vote(Term(9), LogIndex(3), Term(3)))
        self.assertEqual(subject.term, 3)

    def test_leader_refuses_votes(self) -> None:
        subject, now = make_ready_leader(1, 3)
        request = Vote(Term(9), LogIndex(99), Term(8))
        (reply,) = sent(step(subject, now + 1.0, C, request))
        self.assertEqual(reply, VoteReply(subject.term, False))
        self.assertIs(subject.role, Role.LEADER)

    def test_first_election_waits_for_members_that_started_together(self) -> None:
        # A candidate that asks right after its own vote-withholding period is
        # refused by a member that started some milliseconds later, and the
        # retry delays the first election by 0.3 s.
        votes_withheld_until = START + TIMING.vote_withholding
        candidates = [
            Member(
                A,
                PersistentState(Term(1), None, None, log(1)),
                TIMING,
                random_source,
                START,
            )
            for random_source in map(random.Random, range(20))
        ]
        earliest = min(candidate.next_tick_at for candidate in candidates)
        self.assertGreaterEqual(earliest, votes_withheld_until + TIMING.heartbeat / 2)

    def test_candidate_asks_before_it_raises_its_term(self) -> None:
        subject = make_member(1, 3)
        effects = subject.step(subject.next_tick_at, Tick())
        self.assertEqual(select_save_effects(effects), [])
        self.assertIs(subject.role, Role.PRE_CANDIDATE)
        self.assertEqual(subject.term, 3)

    def test_votes_of_others_than_voters_do_not_count(self) -> None:
        subject = make_member(1, 3)
        now = subject.next_tick_at
        subject.step(now, Tick())
        step(subject, now, D, PreVoteReply(Term(3), Term(4), True))
        self.assertIs(subject.role, Role.PRE_CANDIDATE)


class LeaderTests(unittest.TestCase):
    """Replication, commits and the lease.

    Guards against a leader that acts without a majority.
    """

    def test_proposal_before_the_first_commit_is_refused(self) -> None:
        subject = make_member(1, 1)
        now = elect_leader(subject)
        effects = subject.step(now, Propose(((7, b"x"),)))
        self.assertIsInstance(effects[0], Refused)
        self.assertEqual(subject.log.last_index, 3)

    def test_entries_of_earlier_terms_commit_only_with_an_own_one(self) -> None:
        subject = make_member(1, 2, 2)
        now = elect_leader(subject)
        reply = AppendReply(subject.term, True, LogIndex(3), Term(0), now)
        step(subject, now, B, reply)
        self.assertEqual(subject.commit_index, 0)
        acknowledge_log(subject, now, B, now)
        self.assertEqual(subject.commit_index, 4)

    def test_proposal_is_saved_before_it_is_sent(self) -> None:
        subject, now = make_ready_leader(1)
        effects = subject.step(now, Propose(((7, b"x"),)))
        self.assertIn(Appended(7, LogIndex(3), subject.term), effects)
        saved = [isinstance(effect, SaveEntries) for effect in effects].index(True)
        first_sent = [isinstance(effect, Send) for effect in effects].index(True)
        self.assertLess(saved, first_sent)

    def test_lease_counts_from_the_sending(self) -> None:
        subject, now = make_ready_leader(1)
        self.assertAlmostEqual(subject.lease_expires_at, now + 1.5 * 0.95)
        subject.step(now + 0.25, Tick())
        acknowledge_log(subject, now + 1.0, C, now + 0.25)
        self.assertAlmostEqual(subject.lease_expires_at, now + 0.25 + 1.5 * 0.95)

    def test_no_lease_before_the_first_commit(self) -> None:
        subject = make_member(1)
        now = elect_leader(subject)
        self.assertLess(subject.lease_expires_at, now)
        conflict = AppendReply(subject.term, False, LogIndex(1), Term(0), now)
        step(subject, now, B, conflict)
        self.assertLess(subject.lease_expires_at, now)

    def test_leader_without_a_majority_steps_down(self) -> None:
        subject, now = make_ready_leader(1)
        subject.step(now + 1.9, Tick())
        self.assertIs(subject.role, Role.LEADER)
        subject.step(now + 2.0, Tick())
        self.assertIs(subject.role, Role.FOLLOWER)

    def test_leader_that_was_paused_appends_nothing(self) -> None:
        subject, now = make_ready_leader(1)
        effects = subject.step(now + 60.0, Propose(((7, b"x"),)))
        self.assertEqual(effects, [Refused(7, "this member does not lead")])

    def test_conflict_skips_a_term_at_a_time(self) -> None:
        """Guards against one round trip for each conflicting entry."""
        subject = make_member(1, *[2] * 20, *[4] * 20)
        now = elect_leader(subject)
        conflict = AppendReply(Term(5), False, LogIndex(22), Term(3), now)
        (append,) = sent(step(subject, now, B, conflict))
        assert isinstance(append, Append)
        self.assertEqual(append.previous_index, 21)
        self.assertEqual([e.index for e in append.entries], [*range(22, 22 + 21)])

    @parameterized.expand([("sent_earlier", 0.0, 0), ("sent_after_it", 0.2, 1)])
    def test_gap_is_filled_once(self, _: str, delay: float, messages: int) -> None:
        """Guards against the same entries sent for each rejected message."""
        subject, now = make_ready_leader(1)
        for number in range(5):
            subject.step(now + number / 100, Propose(((number, b"x" * 9),)))
        retried_at = now + 0.1
        conflict = AppendReply(subject.term, False, LogIndex(3), Term(0), now)
        self.assertEqual(len(sent(step(subject, retried_at, B, conflict))), 1)
        conflict = replace(conflict, sent_at=now + 0.04 + delay)
        effects = step(subject, retried_at + 0.2, B, conflict)
        self.assertEqual(len(sent(effects)), messages)

    def test_probe_is_answered_before_more_is_sent(self) -> None:
        subject, now = make_ready_leader(1)
        conflict = AppendReply(subject.term, False, LogIndex(3), Term(0), now)
        step(subject, now, B, conflict)
        self.assertEqual(self._sent_to(subject, now, B), [3])
        self.assertEqual(self._sent_to(subject, now, B), [])
        accepted = AppendReply(subject.term, True, LogIndex(3), Term(0), now)
        (append,) = sent(step(subject, now, B, accepted))
        assert isinstance(append, Append)
        self.assertEqual([e.index for e in append.entries], [4])
        self.assertEqual(self._sent_to(subject, now, B), [5])

    def _sent_to(self, subject: Member, now: float, receiver: MemberId) -> list[int]:
        """Propose a command; return the indexes that the receiver is sent."""
        return [
            entry.index
            for effect in subject.step(now, Propose(((1, b"x"),)))
            if isinstance(effect, Send) and effect.receiver == receiver
            for entry in getattr(effect.message, "entries", ())
        ]

    def test_messages_in_flight_fit_into_the_queue_of_a_link(self) -> None:
        """Guards against a gap made by a queue that drops messages."""
        subject, now = make_ready_leader(1)
        appends = [self._sent_to(subject, now, B) for _ in range(100)]
        self.assertLess(sum(map(bool, appends)), MAX_QUEUED_MESSAGES)
        accepted = AppendReply(subject.term, True, LogIndex(3), Term(0), now)
        (append, *_) = sent(step(subject, now, B, accepted))
        assert isinstance(append, Append)
        self.assertGreater(len(append.entries), 50)

    def test_follower_names_the_first_entry_of_the_conflicting_term(self) -> None:
        subject = make_member(1, *[2] * 10, *[3] * 10)
        request = Append(Term(5), LogIndex(20), Term(4), (), LogIndex(0), 1.0)
        (reply,) = sent(step(subject, VOTES_ALLOWED_AT, B, request))
        self.assertEqual(reply, AppendReply(Term(5), False, LogIndex(12), Term(3), 1.0))

    @parameterized.expand(
        [
            ("in_order", [0, 1, 2], False),
            ("overtaking", [2, 1, 0], False),
            ("repeated", [1, 0, 0, 2, 1], False),
            ("one_lost", [0, 2], True),
        ]
    )
    def test_snapshot_goes_in_chunks(
        self, _: str, arrivals: list[int], lost: bool
    ) -> None:
        """Guards against heartbeats delayed by a large snapshot.

        Also against chunks that wait for each other's acknowledgement, and
        against a chunk that is lost for good.
        """
        leader = make_member(1, 1, 1, chunk_bytes=4)
        now = elect_leader(leader)
        acknowledge_log(leader, now, B, now)
        leader.step(now, SnapshotTaken(LogIndex(4), b"0123456789"))
        conflict = AppendReply(leader.term, False, LogIndex(1), Term(0), now)
        (question,) = sent(step(leader, now, C, conflict))
        follower = make_member(1)
        (answer,) = sent(step(follower, now, B, question))
        chunks = sent(step(leader, now, C, answer))
        self.assertEqual([c.data for c in chunks], [b"0123", b"4567", b"89"])  # type: ignore[union-attr]
        replies = [
            reply
            for number in arrivals
            for reply in sent(step(follower, now, B, chunks[number]))
        ]
        for reply in replies:
            again = sent(step(leader, now, C, reply))
            self.assertFalse([c for c in again if isinstance(c, InstallSnapshot)])
        if lost:
            self.assertEqual(follower.log.snapshot.data, b"")
            for sent_at in (now, now + GAP_SECONDS):
                stalled = SnapshotReply(leader.term, LogIndex(4), 4, False, sent_at)
                chunks = sent(step(leader, now, C, stalled))
            self.assertEqual([c.data for c in chunks], [b"4567", b"89"])  # type: ignore[union-attr]
            for chunk in chunks:
                replies = sent(step(follower, now, B, chunk))
            for reply in replies:
                step(leader, now, C, reply)
        self.assertEqual(follower.log.snapshot.data, b"0123456789")
        self.assertEqual(leader.progress_by_id[C].match_index, 4)

    def test_member_of_an_earlier_release_gets_one_chunk_at_a_time(self) -> None:
        """Guards against chunks that such a member drops, as they overtake."""
        transfer = SnapshotTransfer(
            Snapshot(LogIndex(4), Term(1), configuration(A), b"0123456789"), 4
        )
        offsets = []
        for received in (0, 4, 4, 8):
            reply = SnapshotReply(Term(1), LogIndex(4), received, False, START)
            transfer.record_reply(reply)
            offsets.append(transfer.take_offsets())
        self.assertEqual(offsets, [[0], [4], [], [8]])

    def test_snapshot_is_installed_only_if_its_digest_matches(self) -> None:
        """Guards against a state with chunks of two snapshots."""
        subject = make_member(1)
        chunk = InstallSnapshot(
            Term(2), LogIndex(9), Term(1), configuration(A, B), 0, 4, b"0123", START
        )
        for digest, installed in ((b"other", False), (sha256(b"0123").digest(), True)):
            (reply,) = sent(step(subject, START, B, replace(chunk, digest=digest)))
            assert isinstance(reply, SnapshotReply)
            self.assertEqual((reply.installed, reply.received > 0), (installed,) * 2)

    def test_heartbeat_does_not_replace_a_chunk(self) -> None:
        """Guards against sending a chunk again that has arrived early."""
        members = configuration(A, B, C)
        partial = PartialSnapshot(B, LogIndex(9), b"x")
        received = [
            partial.add(
                InstallSnapshot(
                    Term(2), LogIndex(9), Term(1), members, offset, 8, data, START, b"x"
                )
            )
            for offset, data in ((4, b"4567"), (4, b""), (0, b"0123"))
        ]
        self.assertEqual(received, [0, 0, 8])

    def test_snapshot_transfer_goes_on_with_another_sender(self) -> None:
        """Guards against a copy that begins again with each new leader."""
        subject = make_member(1)
        members = configuration(A, B, C)

        def receive(sender: MemberId, offset: int, digest: bytes) -> int:
            chunk = InstallSnapshot(
                Term(2 if sender == B else 3),
                LogIndex(9),
                Term(1),
                members,
                offset,
                8,
                b"0123456789"[offset : offset + 4],
                START,
                digest,
            )
            (reply,) = sent(step(subject, START, sender, chunk))
            assert isinstance(reply, SnapshotReply)
            return reply.received

        whole = sha256(b"01234567").digest()
        self.assertEqual(receive(B, 0, whole), 4)
        self.assertEqual(receive(C, 4, b"other"), 0)
        self.assertEqual(receive(C, 0, whole), 4)
        self.assertEqual(receive(C, 4, whole), 8)
        self.assertEqual(subject.log.snapshot.data, b"01234567")

    def test_heartbeat_has_no_entries_during_a_copy(self) -> None:
        """Guards against heartbeats that wait behind entries on a link.

        A leader that needs the copying member's answers stepped down each
        time that its entries took longer than an election timeout.
        """
        subject = make_member(1)
        now = elect_leader(subject)
        acknowledge_log(subject, now, B, now)
        payload = bytes(MAX_ENTRIES_BYTES)
        for number in range(3):
            subject.step(now, Propose(((number, payload),)))
        stored = AppendReply(subject.term, True, LogIndex(1), Term(0), now)
        step(subject, now, C, stored)
        now = subject.next_tick_at
        counts = [
            len(effect.message.entries)
            for effect in subject.step(now, Tick())
            if isinstance(effect, Send) and effect.receiver == C
            if isinstance(effect.message, Append)
        ]
        self.assertEqual(counts, [0])

    def test_snapshot_transfer_goes_on_in_the_next_term_of_its_sender(self) -> None:
        """Guards against a copy that begins again with each election.

        Over a lossy link the leader steps down often, and is elected again.
        """
        subject = make_member(1)
        members = configuration(A, B, C)

        def receive(term: int, index: int, offset: int, data: bytes) -> int:
            chunk = InstallSnapshot(
                Term(term), LogIndex(index), Term(1), members, offset, 8, data, START
            )
            (reply,) = sent(step(subject, START, B, chunk))
            assert isinstance(reply, SnapshotReply)
            return reply.received

        self.assertEqual(receive(2, 9, 0, b"0123"), 4)
        self.assertEqual(receive(3, 9, 0, b"0123"), 4)
        self.assertEqual(receive(3, 10, 0, b"ab"), 2)
        self.assertEqual(receive(3, 9, 0, b"0123"), 4)
        self.assertEqual(receive(4, 9, 4, b"4567"), 8)
        self.assertEqual(subject.log.snapshot.data, b"01234567")

    @parameterized.expand(
        [
            ("late", 3, 4.0, [], [8]),
            ("sent_after_it", 3, 6.0, [4], [0]),
            ("next_term", 4, 1.0, [4], [0]),
        ]
    )
    def test_chunk_of_an_older_snapshot(
        self, _: str, term: int, sent_at: float, of_older: list[int], then: list[int]
    ) -> None:
        """Guards against a late chunk that discards a newer partial copy.

        Chunks travel on several connections, and may overtake each other.
        """
        subject = make_member(1)

        def receive(term: int, index: int, offset: int, sent_at: float) -> list[int]:
            chunk = InstallSnapshot(
                Term(term),
                LogIndex(index),
                Term(1),
                configuration(A, B, C),
                offset,
                12,
                b"%04d" % index,
                sent_at,
            )
            replies = sent(step(subject, START, B, chunk))
            return [r.received for r in replies if isinstance(r, SnapshotReply)]

        self.assertEqual([4], receive(3, 10, 0, 5.0))
        self.assertEqual(of_older, receive(term, 9, 0, sent_at))
        self.assertEqual(then, receive(term, 10, 4, 7.0))


LEARNER = MemberRecord(D, InstanceId("d"), "", False)


@dataclass(frozen=True)
class RefusedChangeCase:
    """A configuration change that the leader refuses, and the reason.

    ``pending``: another change is in the log but not yet committed.
    """

    name: str
    event: ConfigurationEvent
    detail: str
    pending: bool = False


REFUSED_CHANGE_CASES = [
    RefusedChangeCase(
        "known",
        AddLearner(9, MemberRecord(B, InstanceId("b"), "", False)),
        "already a member",
    ),
    RefusedChangeCase("unknown", Remove(9, D), "not a member"),
    RefusedChangeCase("not_caught_up", Promote(9, D), "has not caught up"),
    RefusedChangeCase("replaced_by_a_stranger", Replace(9, C, D), "has not caught up"),
    RefusedChangeCase("replaced_by_a_voter", Replace(9, B, C), "cannot take the vote"),
    RefusedChangeCase("replaces_no_voter", Replace(9, D, D), "cannot take the vote"),
    RefusedChangeCase("second_change", Remove(9, C), "not yet committed", pending=True),
]


class ConfigurationTests(unittest.TestCase):
    """Configuration changes.

    Guards against two configurations whose majorities do not overlap.
    """

    @parameterized.expand([(case.name, case) for case in REFUSED_CHANGE_CASES])
    def test_refused(self, _: str, case: RefusedChangeCase) -> None:
        subject, now = make_ready_leader(1)
        if case.pending:
            subject.step(now, AddLearner(8, LEARNER))
        (refused,) = subject.step(now, case.event)
        assert isinstance(refused, Refused)
        self.assertIn(case.detail, refused.detail)

    def test_learner_does_not_count(self) -> None:
        subject, now = make_ready_leader(1)
        subject.step(now, AddLearner(8, LEARNER))
        acknowledge_log(subject, now, D, now)
        self.assertEqual(subject.commit_index, 2)
        acknowledge_log(subject, now, B, now)
        self.assertEqual(subject.commit_index, 3)

    def test_member_has_caught_up_once_it_stores_the_configuration(self) -> None:
        """Guards against a retirement that rests on copies without it."""
        subject, now = make_ready_leader(1)
        subject.step(now, AddLearner(8, LEARNER))
        self.assertFalse(subject.has_caught_up(now, B))
        acknowledge_log(subject, now, B, now)
        self.assertTrue(subject.has_caught_up(now, B))
        self.assertFalse(subject.has_caught_up(now + TIMING.confirmation, B))

    def test_learner_becomes_a_voter_once_it_has_caught_up(self) -> None:
        subject, now = make_ready_leader(1)
        subject.step(now, AddLearner(8, LEARNER))
        acknowledge_log(subject, now, B, now)
        acknowledge_log(subject, now, D, now)
        subject.step(now, Promote(9, D))
        self.assertEqual(subject.configuration.voters, (A, B, C, D))

    def test_removed_leader_steps_down_after_the_commit(self) -> None:
        subject, now = make_ready_leader(1)
        subject.step(now, Remove(8, A))
        acknowledge_log(subject, now, B, now)
        self.assertIs(subject.role, Role.LEADER)
        acknowledge_log(subject, now, C, now)
        self.assertIs(subject.role, Role.LEARNER)


@dataclass(frozen=True)
class RemovedVoterCase:
    """Configurations in the log of A, which the last one removes."""

    name: str
    configurations: tuple[Configuration, ...]


JOINT_WITHOUT_A = configuration(A, B, C).with_learner(LEARNER).with_replacement(A, D)

REMOVED_VOTER_CASES = [
    RemovedVoterCase("removed", (configuration(B, C),)),
    RemovedVoterCase("replaced", (JOINT_WITHOUT_A, JOINT_WITHOUT_A.without_replaced())),
]


class RemovedVoterTests(unittest.TestCase):
    """A voter that is the only member that stores its own removal.

    Guards against a cluster without a leader: the others have shorter logs,
    and if a disk is lost as well, they have no majority without its vote.
    """

    def _restart(self, case: RemovedVoterCase) -> Member:
        entries = log(1) + tuple(
            Entry(Term(1), LogIndex(index), EntryKind.CONFIGURATION, b"", members)
            for index, members in enumerate(case.configurations, start=2)
        )
        saved = PersistentState(Term(1), None, None, entries)
        return Member(A, saved, TIMING, random.Random(1), START)

    @parameterized.expand([(case.name, case) for case in REMOVED_VOTER_CASES])
    def test_leads_until_its_removal_is_committed(
        self, _: str, case: RemovedVoterCase
    ) -> None:
        subject = self._restart(case)
        now = subject.next_tick_at
        subject.step(now, Tick())
        voters = subject.configuration.voters
        for voter in voters:
            step(subject, now, voter, PreVoteReply(subject.term, Term(2), True))
        for voter in voters:
            step(subject, now, voter, VoteReply(Term(2), True))
        self.assertIs(subject.role, Role.LEADER)
        for voter in voters:
            acknowledge_log(subject, now, voter, now)
        self.assertIs(subject.role, Role.LEARNER)

    @parameterized.expand([(case.name, case) for case in REMOVED_VOTER_CASES])
    def test_becomes_a_learner_once_its_removal_is_committed(
        self, _: str, case: RemovedVoterCase
    ) -> None:
        subject = self._restart(case)
        self.assertIs(subject.role, Role.FOLLOWER)
        last = subject.log.last_index
        step(subject, START, B, Append(Term(1), last, Term(1), (), last, START))
        self.assertIs(subject.role, Role.LEARNER)


@dataclass(frozen=True)
class JointElectionCase:
    """Votes in an election while D replaces C, and whether they suffice."""

    name: str
    votes: tuple[MemberId, ...]
    wins: bool


JOINT_ELECTION_CASES = [
    JointElectionCase("other_old_and_new_voter", (B,), True),
    JointElectionCase("replaced_voter_only", (C,), False),
    JointElectionCase("new_voter_only", (D,), False),
    JointElectionCase("replaced_and_new_voter", (C, D), True),
]


class ReplacementTests(unittest.TestCase):
    """Replacement of the voter C by the learner D in one change.

    Guards against a moment in which the disk of each single voter is needed,
    and against two leaders, one of the old voters and one of the new ones.
    """

    def _start_replacement(self, replaced: MemberId = C) -> tuple[Member, float]:
        subject, now = make_ready_leader(1)
        subject.step(now, AddLearner(8, LEARNER))
        acknowledge_log(subject, now, B, now)
        acknowledge_log(subject, now, D, now)
        subject.step(now, Replace(9, replaced, D))
        self.assertEqual(subject.configuration.voters, (A, B, C, D))
        return subject, now

    @parameterized.expand(
        [
            ("both_groups", (B,), True),
            ("old_group_only", (C,), False),
            ("new_group_only", (D,), False),
            ("one_of_each_group", (C, D), True),
        ]
    )
    def test_commit(self, _: str, members: tuple[MemberId, ...], ends: bool) -> None:
        subject, now = self._start_replacement()
        for member in members:
            acknowledge_log(subject, now, member, now)
        self.assertEqual(subject.configuration.is_joint, not ends)
        if ends:
            self.assertEqual(subject.configuration.voters, (A, B, D))

    @parameterized.expand([(case.name, case) for case in JOINT_ELECTION_CASES])
    def test_election(self, _: str, case: JointElectionCase) -> None:
        joint = configuration(A, B, C).with_learner(LEARNER).with_replacement(C, D)
        entries = (
            *log(1),
            Entry(Term(1), LogIndex(2), EntryKind.CONFIGURATION, b"", joint),
        )
        saved = PersistentState(Term(1), None, None, entries)
        subject = Member(A, saved, TIMING, random.Random(1), START)
        now = subject.next_tick_at
        subject.step(now, Tick())
        for member in case.votes:
            step(subject, now, member, PreVoteReply(subject.term, Term(2), True))
        for member in case.votes:
            step(subject, now, member, VoteReply(Term(2), True))
        self.assertIs(subject.role is Role.LEADER, case.wins)
        if case.wins:
            for member in case.votes:
                acknowledge_log(subject, now, member, now)
            self.assertEqual(subject.configuration.voters, (A, B, D))

    def test_lease_needs_an_answer_of_both_groups(self) -> None:
        subject, now = self._start_replacement()
        later = now + TIMING.heartbeat
        reply = AppendReply(subject.term, True, LogIndex(1), Term(0), later)
        step(subject, later, C, reply)
        before = subject.lease_expires_at
        step(subject, later, D, reply)
        self.assertGreater(subject.lease_expires_at, before)

    def test_replaced_leader_steps_down_at_the_end(self) -> None:
        subject, now = self._start_replacement(A)
        acknowledge_log(subject, now, B, now)
        self.assertIs(subject.role, Role.LEADER)
        acknowledge_log(subject, now, D, now)
        acknowledge_log(subject, now, B, now)
        self.assertIs(subject.role, Role.LEADER)
        acknowledge_log(subject, now, C, now)
        self.assertIs(subject.role, Role.LEARNER)


class StorageOrderTests(unittest.TestCase):
    """The order of the effects of a step.

    Guards against a reply that depends on state which is not yet durable and
    would be lost in a crash.
    """

    @parameterized.expand(
        [
            ("append", Append(Term(5), LogIndex(1), Term(1), log(1, 5)[1:],
                              LogIndex(0), 1.0)),
            ("later_term", Append(Term(9), LogIndex(1), Term(1), (),
                                  LogIndex(0), 1.0)),
            ("vote", Vote(Term(9), LogIndex(1), Term(1))),
        ]
    )  # fmt: skip
    def test_saved_before_the_answer(self, _: str, message: MemberMessage) -> None:
        event: Event = Receive(B, message)
        effects = make_member(1).step(VOTES_ALLOWED_AT, event)
        kinds = [isinstance(effect, Send) for effect in effects]
        self.assertTrue(select_save_effects(effects))
        self.assertEqual(kinds, sorted(kinds))
