"""Fuzzing of all decoders with fixed seeds; ``python -m tests.fuzz`` plays on.

Guards against one malformed message, file or setting that ends a process.
"""

import unittest

from hypothesis import HealthCheck, given, settings
from parameterized import parameterized

from tests.fakes.quiet_logs import quiet_logs
from tests.fuzz.decoders import DECODERS, Decoder

EXAMPLES = 150


class DecoderTests(unittest.TestCase):
    """Changed input ends in a value or in an error of the decoder's kind."""

    @parameterized.expand([(decoder.name, decoder) for decoder in DECODERS])
    def test_changed_input(self, _: str, decoder: Decoder) -> None:
        quiet_logs(self)

        @settings(
            max_examples=EXAMPLES,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        @given(decoder.inputs)
        def run(data: bytes) -> None:
            try:
                decoder.run(data)
            except decoder.may_raise:
                pass

        run()
