"""Runs the tests: one process for each test module, several at a time.

``python -m tests`` runs all modules and ``python -m tests NAME ...`` those
whose dotted name contains one of the names.  The last line of the output is
the number of tests and the result.  A test listed in KNOWN-RED.txt runs like
any other; its failure is printed but does not fail the run.
"""

import argparse
import asyncio
import os
import re
import sys
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE_TIMEOUT_SECONDS = 600.0
"""Time limit for one module, so that a hang ends as a failure."""

MAX_PROCESSES = max(1, min(5, (os.cpu_count() or 2) // 2))

RUN_ALONE = (
    "tests.platform.test_unread_answers",
    "tests.platform.test_untrusted_bodies",
    "tests.platform.test_untrusted_clients",
)
"""Modules beside which no other runs, since their crowds of connections and
the load of other modules would disturb each other."""

_COUNT_LINE = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_FAILURE_LINE = re.compile(r"^(?:FAIL|ERROR): \S+ \(([\w.]+)\)", re.MULTILINE)


@dataclass(frozen=True)
class ModuleResult:
    """Number of tests, ids of failed tests, and output of one module."""

    name: str
    tests: int
    failed: frozenset[str]
    passed: bool
    seconds: float
    output: str


def modules() -> list[str]:
    """Return the names of all test modules, those with processes first."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: (".processes." not in name, name))


def known_red() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return frozenset()
    return frozenset(re.findall(r"^test: (\S+)", path.read_text(), re.MULTILINE))


async def run_module(name: str, slots: asyncio.Semaphore) -> ModuleResult:
    """Run one module in a process of its own, as soon as a slot is free."""
    async with slots:
        started = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "unittest",
            name,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(MODULE_TIMEOUT_SECONDS):
                data, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            data = f"{name}: not finished within {MODULE_TIMEOUT_SECONDS} s".encode()
        output = data.decode(errors="replace")
    ran = _COUNT_LINE.search(output)
    result = ModuleResult(
        name,
        int(ran[1]) if ran else 0,
        frozenset(_FAILURE_LINE.findall(output)),
        process.returncode == 0,
        time.monotonic() - started,
        output,
    )
    print(f"{'ok  ' if result.passed else 'FAIL'} {name} {result.seconds:.1f} s")
    return result


async def run(names: list[str]) -> int:
    """Run modules and print the failures and the count.

    Returns the exit code: 1 for an unexpected failure or if no test ran.
    """
    started = time.monotonic()
    slots = asyncio.Semaphore(MAX_PROCESSES)
    beside = [name for name in names if name not in RUN_ALONE]
    results = await asyncio.gather(*(run_module(name, slots) for name in beside))
    for name in names:
        if name in RUN_ALONE:
            results.append(await run_module(name, slots))
    known_failures = known_red()
    failed_modules = [result for result in results if not result.passed]
    for result in failed_modules:
        print(f"\n{'=' * 70}\n{result.output}")
    failed = frozenset().union(*(result.failed for result in failed_modules))
    for test in sorted(failed & known_failures):
        print(f"known red: {test}")
    # A module that failed without naming a failed test has crashed or hung.
    crashed_modules = [result.name for result in failed_modules if not result.failed]
    unexpected = sorted(failed - known_failures) + crashed_modules
    count = sum(result.tests for result in results)
    print("-" * 70)
    for test in unexpected:
        print(f"failed: {test}")
    verdict = f"FAILED ({len(unexpected)})" if unexpected else "OK"
    seconds = time.monotonic() - started
    print(f"Ran {count} tests in {seconds:.1f}s: {verdict}")
    return 1 if unexpected or count == 0 else 0


def main() -> int:
    """Parse the command line and run the tests."""
    parser = argparse.ArgumentParser(prog="python -m tests", description=__doc__)
    parser.add_argument("names", nargs="*", help="parts of module names")
    wanted = parser.parse_args().names
    names = [
        name for name in modules() if not wanted or any(part in name for part in wanted)
    ]
    return asyncio.run(run(names))


if __name__ == "__main__":
    sys.exit(main())
