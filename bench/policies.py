"""Simulations of the policies, reported as ratios to a baseline.

``python -m bench.policies [NAME]`` runs one measure, or all of them.  A ratio
compares two variants with the same seed.
"""

import argparse
import importlib
import logging
import statistics
import time
from dataclasses import dataclass

import structlog


@dataclass(frozen=True)
class Measure:
    """A module with ``VARIANTS`` and ``measure(variant, seed)``, by name."""

    module: str
    baselines: dict[str, str]
    """Baselines by variant; ratios are printed only for these variants."""


MEASURES = {
    "fairness": Measure(
        "bench.policies_fairness",
        {
            "1 entry, fair": "1 entry, arrival order",
            "3 entries, fair, no digests": "3 entries, arrival order",
            "3 entries, fair, digests": "3 entries, arrival order",
            "3 entries, uneven, no digests": "3 entries, uneven, arrival order",
            "3 entries, uneven, digests": "3 entries, uneven, arrival order",
        },
    ),
    "stragglers": Measure(
        "bench.policies_stragglers",
        {
            "least in flight, begun anew": "round robin, begun anew",
            "product without hedges": "round robin, begun anew",
            "product": "round robin, begun anew",
        },
    ),
    "goodput": Measure(
        "bench.policies_goodput",
        {
            f"{load:g}x, product": f"{load:g}x, no early refusal, no budget"
            for load in (0.5, 1.0, 2.0, 4.0)
        }
        | {"burst, product": "burst, no early refusal, no budget"},
    ),
    "prefixes": Measure(
        "bench.policies_prefixes",
        {"product": "least in flight", "product, prefixes hidden": "least in flight"},
    ),
    "priorities": Measure(
        "bench.policies_priorities", {"product": "arrival order, least in flight"}
    ),
    "reclaim": Measure(
        "bench.policies_reclaim", {"product": "rental ignored, least in flight"}
    ),
}


def _spread(values: list[float]) -> str:
    median = statistics.median(values)
    return f"{median:.3g} ({min(values):.3g}..{max(values):.3g})"


def run(name: str, seeds: list[int]) -> None:
    """Run all variants of a measure with each seed and print its tables."""
    selected = MEASURES[name]
    module = importlib.import_module(selected.module)
    started = time.monotonic()
    figures = {
        variant: [module.measure(variant, seed) for seed in seeds]
        for variant in module.VARIANTS
    }
    print(f"## {name}: median (least..most) of seeds {seeds}\n")
    columns = list(next(iter(figures.values()))[0])
    print("| variant | " + " | ".join(columns) + " |")
    print("| --- |" + " --- |" * len(columns))
    for variant, runs in figures.items():
        cells = [_spread([each[column] for each in runs]) for column in columns]
        print(f"| {variant} | " + " | ".join(cells) + " |")
    print("\n| ratio to baseline | " + " | ".join(columns) + " |")
    print("| --- |" + " --- |" * len(columns))
    for variant, baseline in selected.baselines.items():
        cells = []
        for column in columns:
            pairs = zip(figures[variant], figures[baseline], strict=True)
            ratios = [a[column] / b[column] for a, b in pairs if b[column]]
            cells.append(_spread(ratios) if ratios else "-")
        print(f"| {variant} / {baseline} | " + " | ".join(cells) + " |")
    print(f"\n{time.monotonic() - started:.1f} s of real time\n", flush=True)


def main() -> None:
    """Run the measures named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name", nargs="?", choices=sorted(MEASURES))
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    names = [arguments.name] if arguments.name else list(MEASURES)
    for name in names:
        run(name, list(range(1, arguments.seeds + 1)))


if __name__ == "__main__":
    main()
