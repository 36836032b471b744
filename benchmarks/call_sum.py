"""Total of the calls in progress of 1 to 200 processes that exchange no messages, over many seeds.

    python benchmarks/call_sum.py [SEEDS]
"""
from __future__ import annotations

import sys
from statistics import median

from hollystage.standins.call_sum import UncoordinatedFleet

SIZES, SHARES = (1, 5, 20, 30, 200), (0.1, 0.3, 0.8, 1.2, 2.33)


def main(seeds: int = 3) -> None:
    """Prints a table of the largest 5-second means, with a steady ledger and with one that slows down."""
    print("| processes | share | limit | tolerated | largest mean of 5 s: median, maximum | slow ledger | exceeded |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for processes in SIZES:
        for share in SHARES:
            steady = [UncoordinatedFleet(processes, share, seed).run(9) for seed in range(seeds)]
            slow = [UncoordinatedFleet(processes, share, seed, slow_from=4).run(10) for seed in range(seeds)]
            means, slow_means = ([fleet.max_windowed_mean() for fleet in steady],
                                 [fleet.max_windowed_mean() for fleet in slow])
            tolerated = steady[0].tolerated_total
            exceeded = sum(mean > tolerated for mean in means + slow_means)
            print(f"| {processes} | {share} | {steady[0].total_limit:.1f} | {tolerated:.1f} "
                  f"| {median(means):.1f}, {max(means):.1f} | {median(slow_means):.1f}, {max(slow_means):.1f} "
                  f"| {exceeded} of {2 * seeds} |", flush=True)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
