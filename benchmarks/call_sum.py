"""How many calls 1 to 200 processes have below together, over many seeds: `python benchmarks/call_sum.py [SEEDS]`."""
from __future__ import annotations

import sys
from statistics import median

from hollystage.standins.call_sum import CallSum

SIZES, SHARES = (1, 5, 20, 30, 200), (0.1, 0.3, 0.8, 1.2, 2.33)


def main(seeds: int = 3) -> None:
    print("| processes | share | whole | allowed | worst mean of 5 s: median, most | when it turns slow | over |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for processes in SIZES:
        for share in SHARES:
            calm = [CallSum(processes, share, seed).run(9) for seed in range(seeds)]
            slow = [CallSum(processes, share, seed, slow_from=4).run(10) for seed in range(seeds)]
            means, slows = [fleet.worst_mean() for fleet in calm], [fleet.worst_mean() for fleet in slow]
            allowed = calm[0].allowed
            over = sum(mean > allowed for mean in means + slows)
            print(f"| {processes} | {share} | {calm[0].whole:.1f} | {allowed:.1f} "
                  f"| {median(means):.1f}, {max(means):.1f} | {median(slows):.1f}, {max(slows):.1f} "
                  f"| {over} of {2 * seeds} |", flush=True)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
