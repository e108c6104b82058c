"""Fuzzes the decoders for a time: ``python -m tests.fuzz --minutes 10``."""

import argparse
import logging
import secrets
import sys
import time
import traceback

import structlog
from hypothesis import HealthCheck, given, seed, settings

from tests.fuzz.decoders import DECODERS, Decoder

ROUND_EXAMPLES = 300


def fuzz(decoder: Decoder, number: int) -> bool:
    """Run one round with a seed; print and return whether it failed."""

    @seed(number)
    @settings(
        max_examples=ROUND_EXAMPLES,
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

    try:
        run()
    except Exception:
        print(f"FINDING in {decoder.name}, seed {number}")
        traceback.print_exc(file=sys.stdout)
        return True
    return False


def main() -> int:
    """Fuzz all decoders in turn; return 1 if there was a finding."""
    parser = argparse.ArgumentParser(prog="python -m tests.fuzz")
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--decoder", default="", help="part of a decoder's name")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    first = secrets.randbits(32) if options.seed is None else options.seed
    deadline = time.monotonic() + 60.0 * options.minutes
    rounds = findings = 0
    while time.monotonic() < deadline:
        for decoder in DECODERS:
            if options.decoder in decoder.name:
                findings += fuzz(decoder, first + rounds)
        rounds += 1
    print(f"{rounds} rounds of {ROUND_EXAMPLES} inputs a decoder, {findings} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
