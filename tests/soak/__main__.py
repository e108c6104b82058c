"""Runs the soak: ``python -m tests.soak --seed N --count N --seconds S``."""

import argparse
import asyncio
import random
import sys
from pathlib import Path

from tests.soak.run import GuaranteeViolationError, run_seed


def main() -> int:
    """Run seeds one after the other; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", type=Path, help="folder to keep the logs in")
    parser.add_argument(
        "--limits", action="store_true", help="services name request limits"
    )
    parser.add_argument(
        "--leaving", action="store_true", help="targets leave and others follow"
    )
    parser.add_argument(
        "--versions",
        action="store_true",
        help="engines of several software versions serve side by side",
    )
    parser.add_argument(
        "--losses",
        action="store_true",
        help="control members are lost as often as the fault budget allows",
    )
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.seed, options.seed + options.count):
        try:
            soak = asyncio.run(
                run_seed(
                    seed,
                    options.seconds,
                    verbose=options.verbose,
                    keep=options.keep,
                    limits=options.limits,
                    leaving=options.leaving,
                    versions=options.versions,
                    losses=options.losses,
                )
            )
        except* GuaranteeViolationError as failures:
            failed_seeds += 1
            print(f"seed {seed}: BROKEN {failures.exceptions}", flush=True)
        else:
            print(
                f"seed {seed}: {soak.jobs} jobs, calls {dict(soak.statuses)}, "
                f"{soak.notices} notices of leaving",
                flush=True,
            )
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
