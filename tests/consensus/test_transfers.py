"""Tests of the order of messages that go over several connections.

They guard against entries that are sent again although they are on their way,
and against heartbeats that wait behind them.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.early_entries import HOLD_SECONDS, EarlyEntries
from goldcrestyard.consensus.events import Receive
from goldcrestyard.consensus.log import Log
from goldcrestyard.consensus.messages import Append, Entry, EntryKind
from goldcrestyard.consensus.outbox import MIN_BATCH_BYTES, Outbox
from goldcrestyard.consensus.progress import GAP_SECONDS, Progress
from goldcrestyard.core.ids import LogIndex, Term

A = MemberId("a")
TERM = Term(1)
LARGE = bytes(MIN_BATCH_BYTES)


def make_entries(first: int, last: int) -> tuple[Entry, ...]:
    return tuple(
        Entry(TERM, LogIndex(index), EntryKind.COMMAND, b"x")
        for index in range(first, last + 1)
    )


class OutboxTests(unittest.TestCase):
    """Which messages go over which connection."""

    @parameterized.expand(
        [
            ("heartbeat_overtakes_a_large_transfer", [(LARGE, (1,)), (b"h", None)], 2),
            ("small_transfer_shares_a_batch", [(b"e", (1,)), (b"h", None)], 1),
            ("transfer_on_its_way_is_not_repeated", [(b"e", (1,)), (b"f", (1,))], 1),
        ]
    )
    def test_batches(
        self, _: str, messages: list[tuple[bytes, tuple[int, ...] | None]], count: int
    ) -> None:
        outbox = Outbox()
        outbox.connections = 3
        for message, key in messages:
            outbox.add(A, message, key)
        taken = [outbox.take() for _ in range(3)]
        self.assertEqual(len([batch for batch in taken if batch is not None]), count)
        self.assertFalse(outbox.has_batch)

    @parameterized.expand([("earlier_release", False, 1), ("this_release", True, 3)])
    def test_one_connection_stays_free(self, _: str, parallel: bool, at: int) -> None:
        """Guards against transfers that stop all connections."""
        outbox = Outbox()
        outbox.connections = 4
        outbox.parallel = parallel
        for number in range(8):
            outbox.add(A, LARGE, (number,))
        taken = [outbox.take() for _ in range(8)]
        self.assertEqual(len([batch for batch in taken if batch is not None]), at)
        outbox.add(A, b"heartbeat")
        self.assertTrue(outbox.has_batch)

    def test_transfer_is_sent_again(self) -> None:
        """Guards against entries that are lost with their connection."""
        outbox = Outbox()
        outbox.connections = 3
        outbox.add(A, LARGE, (1,))
        batch = outbox.take()
        assert batch is not None
        outbox.record_late(batch, 1)
        self.assertIs(outbox.take(), batch)
        outbox.record_failed(batch, 1)
        self.assertFalse(outbox.has_batch)
        outbox.record_failed(batch, 2)
        self.assertIs(outbox.take(), batch)
        outbox.record_acknowledged(batch, 3, 0.1)
        self.assertFalse(outbox.has_batch)


class EarlyEntriesTests(unittest.TestCase):
    """Entries that arrive before those they follow."""

    @parameterized.expand(
        [
            ("missing_ones_arrived", 5, 0.0, True),
            ("still_missing", 4, 0.5 * HOLD_SECONDS, False),
            ("waited_long", 4, HOLD_SECONDS, True),
        ]
    )
    def test_turn(self, _: str, last: int, seconds: float, is_taken: bool) -> None:
        early = EarlyEntries()
        append = Append(TERM, LogIndex(5), TERM, make_entries(6, 7), LogIndex(0), 0.0)
        event = Receive(A, append)
        self.assertTrue(early.hold(0.0, event, LogIndex(3), TERM))
        taken = early.take(seconds, LogIndex(last))
        self.assertEqual(taken is event, is_taken)


class OvertakingTests(unittest.TestCase):
    """A heartbeat that arrives before the entries sent earlier."""

    @parameterized.expand(
        [
            ("heartbeat_overtakes", 1.1, 1.2, True),
            ("entries_rejected", 1.0, 1.0, False),
            ("gap", 1.1, 1.1 + GAP_SECONDS, False),
        ]
    )
    def test_rejection(
        self, _: str, first_at: float, second_at: float, is_outdated: bool
    ) -> None:
        """Guards against entries sent again at each heartbeat."""
        progress = Progress(LogIndex(1))
        progress.record_match(LogIndex(0))
        progress.record_sent(make_entries(1, 3), 1.0)
        progress.is_outdated_rejection(first_at)
        self.assertEqual(progress.is_outdated_rejection(second_at), is_outdated)

    def test_accepted_heartbeat_does_not_repeat_the_probe(self) -> None:
        log = Log(None, make_entries(1, 3))
        progress = Progress(LogIndex(1))
        progress.record_sent(progress.next_batch(log), 1.0)
        progress.record_match(LogIndex(0))
        self.assertEqual(progress.next_batch(log), ())
