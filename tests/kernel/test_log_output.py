"""Tests of log output that is limited in volume."""

import os
import unittest

import structlog

from goldcrestyard.kernel.log_output import BoundedOutput, LineLimiter


class BoundedOutputTests(unittest.TestCase):
    """Guards against a stalled reader of the logs blocking the process."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def test_lines_arrive_in_order(self) -> None:
        output = BoundedOutput(self.writer)
        for number in range(100):
            output.write(f"{number}\n")
        output.close(10.0)
        os.close(self.writer)
        data = os.read(self.reader, 65536)
        self.assertEqual(data.split(), [str(n).encode() for n in range(100)])

    def test_stalled_reader_drops_lines_without_blocking(self) -> None:
        output = BoundedOutput(self.writer, capacity=10)
        line = "x" * 4096
        # More than the pipe's buffer holds, so that the thread blocks.
        for _ in range(1000):
            output.write(line)
        self.assertGreater(output.dropped, 500)
        # Empties the pipe, so that the writing thread can end.
        os.set_blocking(self.reader, False)
        output.close(0.0)
        while True:
            try:
                if not os.read(self.reader, 65536):
                    break
            except BlockingIOError:
                break


class LineLimiterTests(unittest.TestCase):
    """Guards against logging of one repeated fault using up the processor."""

    def setUp(self) -> None:
        self.now = 0.0
        self.limiter = LineLimiter(10.0, 5.0, lambda: self.now)

    def _passed(self, event: str) -> bool:
        try:
            self.limiter(None, "info", {"event": event})
        except structlog.DropEvent:
            return False
        return True

    def test_burst_is_passed_and_the_rest_dropped(self) -> None:
        self.assertEqual(
            [self._passed("a") for _ in range(7)], [True] * 5 + [False] * 2
        )

    def test_events_are_limited_separately(self) -> None:
        for _ in range(7):
            self._passed("a")
        self.assertTrue(self._passed("b"))

    def test_next_line_reports_the_number_left_out(self) -> None:
        for _ in range(8):
            self._passed("a")
        self.now = 1.0
        fields = self.limiter(None, "info", {"event": "a"})
        self.assertEqual(fields["left_out"], 3)
        self.assertNotIn("left_out", self.limiter(None, "info", {"event": "a"}))
