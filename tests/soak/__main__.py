"""``python -m tests.soak --seed N --count N --seconds S``."""

import argparse
import asyncio
import random
import sys
from pathlib import Path

from tests.soak.run import BrokenPromiseError, run_seed


def main() -> int:
    """Run seeds one after the other; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", type=Path, help="folder for the logs")
    parser.add_argument("--verbose", action="store_true")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        try:
            soak = asyncio.run(
                run_seed(
                    seed,
                    options.seconds,
                    verbose=options.verbose,
                    keep=options.keep,
                )
            )
        except* BrokenPromiseError as failures:
            broken += 1
            print(f"seed {seed}: BROKEN {failures.exceptions}", flush=True)
        else:
            print(
                f"seed {seed}: {soak.jobs} jobs, calls {dict(soak.statuses)}",
                flush=True,
            )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
