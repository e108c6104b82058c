"""Statistics and tables of repeated runs; readings of CPU and memory."""

import gc
import os
import statistics
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

SEED = 20261204
RUNS = 3


@dataclass(frozen=True, slots=True)
class Spread:
    """The figures of repeated runs at one size."""

    size: int
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the runs."""
        return statistics.median(self.values)

    def __str__(self) -> str:
        low, high = min(self.values), max(self.values)
        return f"{low:.4g} / {self.median:.4g} / {high:.4g}"


def slope(spreads: Sequence[Spread]) -> tuple[float, float]:
    """Return the slope and intercept of the medians by least squares."""
    sizes = [float(spread.size) for spread in spreads]
    fitted = statistics.linear_regression(sizes, [s.median for s in spreads])
    return fitted.slope, fitted.intercept


def report(title: str, unit: str, spreads: Sequence[Spread]) -> None:
    """Print the figures of each size as min / median / max, and the slope."""
    print(f"  {title} [{unit}], min / median / max of {len(spreads[0].values)} runs")
    for spread in spreads:
        print(f"    {spread.size:>6}: {spread}")
    if len(spreads) > 1:
        rise, start = slope(spreads)
        print(f"    slope {rise:.4g} per unit of size, intercept {start:.4g}")


def report_columns(
    sizes: Sequence[int], run: Callable[[int], dict[str, float]], runs: int = RUNS
) -> None:
    """Run at each size and print a table for each figure of the results.

    A key of the results is the figure's title and unit, separated by ``|``.
    """
    by_size = {size: [run(size) for _ in range(runs)] for size in sizes}
    for name in by_size[sizes[0]][0]:
        title, _, unit = name.partition("|")
        report(
            title,
            unit,
            [
                Spread(size, tuple(result[name] for result in results))
                for size, results in by_size.items()
            ],
        )


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that Python has allocated for a new object."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        current, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return current


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds of all threads of a process.

    The scheduler's counters are in nanoseconds; those of ``stat`` are in
    hundredths of a second, too coarse for an idle process.
    """
    counters = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in counters) / 1e9


def resident_bytes(pid: int) -> int:
    """Return the resident bytes of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
