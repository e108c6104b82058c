"""Runs the demo: starts all processes, runs each step and stops everything.

The exit code is 1 if the check of any step fails.
"""

import asyncio
import sys
import time

from demo.local_set import DemoDeployment
from demo.steps import STEPS


async def run() -> int:
    """Run all steps and return the exit code."""
    demo = DemoDeployment.create()
    failed = 0
    try:
        print("Starting three instances in two regions and the stand-ins ...")
        started = time.monotonic()
        await demo.start()
        print(f"  ready after {time.monotonic() - started:.1f} s")
        for number, step in enumerate(STEPS, start=1):
            print(f"{number}. {step.title}")
            try:
                print(f"   ok: {await step.run(demo)}")
            except Exception as error:
                failed += 1
                print(f"   FAILED: {type(error).__name__}: {error}")
    finally:
        await demo.stop()
    print("All steps passed." if not failed else f"{failed} steps failed.")
    return 1 if failed else 0


def main() -> int:
    """Run the demo; Ctrl-C stops all that it started."""
    try:
        return asyncio.run(run())
    except KeyboardInterrupt:
        print("Stopped.", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
