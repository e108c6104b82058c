"""Command that runs benchmarks of costs against sizes.

``python -m bench.run [NAME ...]`` prints the named measurements, or all.
"""

import logging
import os
import platform
import sys
import time
from collections.abc import Callable

import structlog

from bench import control, data_path, entries, failover, policies_cost, state
from bench.measure import SEED

MEASUREMENTS: dict[str, Callable[[], None]] = {
    "renewals": entries.run_renewals,
    "changes": entries.run_changes,
    "commits": control.run_commits,
    "idle": control.run_idle,
    "restarts": control.run_restarts,
    "failover": failover.run_failover,
    "memory": state.run_memory,
    "scheduling": policies_cost.run_scheduling,
    "loads": policies_cost.run_loads,
    "homes": policies_cost.run_homes,
    "manifests": policies_cost.run_manifests,
    "rollout": policies_cost.run_rollout,
    "relay": data_path.run_relay,
    "paced": data_path.run_paced,
    "known-targets": data_path.run_known_targets,
}


def main() -> int:
    """Run the measurements named on the command line."""
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        print(f"unknown: {unknown}; known: {list(MEASUREMENTS)}", file=sys.stderr)
        return 2
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for name in names:
        load = os.getloadavg()[0]
        print(
            f"{name}: seed {SEED}, command 'python -m bench.run {name}', Python "
            f"{platform.python_version()}, load before the run {load:.1f}"
        )
        started = time.monotonic()
        MEASUREMENTS[name]()
        print(f"  took {time.monotonic() - started:.0f} s\n", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
