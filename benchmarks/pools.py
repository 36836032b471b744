"""Benchmarks of pools and adaptive call limits, compared with fixed limits, in virtual time.

    pip install -r benchmarks/requirements.txt
    python benchmarks/pools.py [compare|reserve|cost|fleet] [--seeds 20] [--plot FILE.png]

compare  criticality served within target per second, on average and in the worst ten seconds, in four scenes: fixed
         limits and the default window limit without pools; the adaptive limits with pools. Differences to the best
         fixed limit of each scene are paired by seed, with their 95% interval.
reserve  share of the cheapest method's RPCs answered within target at 1, 2, 4 and 8 times the load.
cost     CPU time per RPC of the whole simulation with 0, 4 and 64 pools, microseconds.
fleet    300 instances that exchange no messages and one ledger that slows down and recovers.
"""
from __future__ import annotations

import argparse
import pathlib
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from scipy import stats  # noqa: E402

from hollystage.interface import CallLimitConfig, Pool, PoolConfig, Reserve  # noqa: E402
from hollystage.standins.ledger import LedgerModel, LedgerParameters  # noqa: E402
from hollystage.standins.processor_sharing import VirtualClock  # noqa: E402
from hollystage.standins.scenes import START_US, SceneSimulation, default_demands, make_settings  # noqa: E402
from hollystage.standins.simulated_instance import (  # noqa: E402
    SECOND,
    Demand,
    SimulatedInstance,
    idempotent_method,
    keyed_method,
)

FIXED_LIMITS = (1, 2, 3, 4, 6, 8, 10, 12, 16, 20, 25, 30, 40, 60)
SCENES = ("slow", "dead", "weak", "waves")
POOL_CONFIG = PoolConfig((Pool("lookups", 0.3), Pool("holds", 0.3)), (0, 1), Reserve(0.05, 0.05, 0.05))
Variant = tuple[str, float, bool]  # policy, value of a fixed limit, whether there are pools
VARIANTS: list[Variant] = [*(("fixed", float(value), False) for value in FIXED_LIMITS), ("window", 0, False),
                           *((policy, 0.0, True) for policy in ("window", "aimd", "gradient", "queue", "delivery"))]
START_S, END_S, WINDOW_S = 5, 55, 10


def run_one(job: tuple[str, int, Variant]) -> tuple[float, float, float, int]:
    """Runs a variant in one scene.

    Returns criticality served within target per second, the same in the worst ten seconds, the share of holds served
    within target while the ledger is slow, and the maximum of calls in progress at the ledger.
    """
    name, seed, (policy, value, pooled) = job
    limit = CallLimitConfig("window") if policy == "window" else CallLimitConfig(policy, value or 1.0, value or 60.0)
    scene = SceneSimulation(name, seed, seconds=END_S, call_limit=limit, pooling=POOL_CONFIG if pooled else None)
    instance = scene.run()
    worth = instance.worth_by_second(END_S)
    worst = min(sum(worth[at:at + WINDOW_S]) / WINDOW_S for at in range(START_S, END_S - WINDOW_S))
    served = sum(instance.results_by_second[at].served["hold"] for at in range(15, 33)
                 if at in instance.results_by_second)
    sent = 34 * 1.2 * 18
    return sum(worth[START_S:]) / (END_S - START_S), worst, served / sent, scene.ledger.stats.max_in_service


def mean_and_interval(values: list[float]) -> tuple[float, float]:
    """Returns the mean and the half-width of its 95% interval (Student's t)."""
    mean = sum(values) / len(values)
    return mean, float(stats.t.ppf(0.975, len(values) - 1) * stats.sem(values)) if len(values) > 1 else 0.0


def label(variant: Variant) -> str:
    """Returns the name of a variant in tables and plots."""
    policy, value, pooled = variant
    return f"{policy}{f' {value:g}' if value else ''}{' + pools' if pooled else ''}"


def compare(seeds: int, plot: str) -> None:
    """Prints a table of all variants for each scene, and writes a plot if a file is given."""
    jobs = [(scene, seed, variant) for scene in SCENES for seed in range(1, seeds + 1) for variant in VARIANTS]
    with ProcessPoolExecutor() as pool:
        rows = dict(zip(jobs, pool.map(run_one, jobs, chunksize=4), strict=True))
    table: dict[str, dict[Variant, list[tuple[float, float, float, int]]]] = {
        scene: {variant: [rows[scene, seed, variant] for seed in range(1, seeds + 1)] for variant in VARIANTS}
        for scene in SCENES}
    for scene, results in table.items():
        best = max((variant for variant in VARIANTS if variant[0] == "fixed"),
                   key=lambda variant: sum(row[0] for row in results[variant]))
        steady = max((variant for variant in VARIANTS if variant[0] == "fixed"),
                     key=lambda variant: sum(row[1] for row in results[variant]))
        print(f"\n{scene}: best fixed limit {label(best)}, for the worst {WINDOW_S} s {label(steady)}")
        print(f"{'':20} {'per s':>9} {'to best, 95%':>16} {'worst 10 s':>11} {'to best, 95%':>16} "
              "holds  calls")
        for variant in VARIANTS:
            mean, half = mean_and_interval([a[0] - b[0] for a, b in zip(results[variant], results[best],
                                                                        strict=True)])
            worst, worst_half = mean_and_interval([a[1] - b[1] for a, b in zip(results[variant], results[steady],
                                                                               strict=True)])
            print(f"{label(variant):20} {_mean(results[variant], 0):9.2f} {mean:+8.2f} ± {half:5.2f} "
                  f"{_mean(results[variant], 1):11.2f} {worst:+8.2f} ± {worst_half:5.2f} "
                  f"{_mean(results[variant], 2):6.1%} {max(r[3] for r in results[variant]):6}")
    if plot:
        _draw(table, plot)


def _mean(rows: list[tuple[float, float, float, int]], column: int) -> float:
    return sum(row[column] for row in rows) / len(rows)


def _draw(table: dict[str, dict[Variant, list[Any]]], path: str) -> None:
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, len(table), figsize=(4 * len(table), 7), squeeze=False)
    for column, (scene, results) in enumerate(table.items()):
        for row, quantity in enumerate(("served per second", f"worst {WINDOW_S} s")):
            axis = axes[row][column]
            axis.plot(FIXED_LIMITS, [_mean(results["fixed", float(value), False], row) for value in FIXED_LIMITS],
                      "o-", color="grey", label="fixed, no pools")
            for variant, colour in zip(VARIANTS[len(FIXED_LIMITS):], (
                    "black", "tab:orange", "tab:blue", "tab:green", "tab:red", "tab:purple"), strict=True):
                axis.axhline(_mean(results[variant], row), color=colour, label=label(variant), lw=1)
            axis.set_xscale("log")
            axis.set_title(f"{scene}: {quantity}")
            axis.set_xlabel("fixed limit")
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    print(f"\n{path}")


def reserve(seeds: int, _: str) -> None:
    """Prints the share of the cheapest method's RPCs that are answered within target at growing load.

    The cheapest method sends 5 RPCs/s at every load, about a twentieth of the RPCs at the lowest one.
    """
    cheap = PoolConfig((Pool("lookups", 0.3), Pool("holds", 0.3), Pool("views", 0.05)), (0, 1, 2),
                    Reserve(0.1, 0.05, 0.05))
    for name, pooling in (("no pools", None), ("pools and reserve", cheap)):
        shares = []
        for load in (1, 2, 4, 8):
            values = []
            for seed in range(1, seeds + 1):
                view = Demand(idempotent_method(skip_share=0.0, latency_target=500_000, deadline=2_000_000), "view",
                              5, 8_000)
                scene = SceneSimulation("slow", seed, seconds=40, demands=[*default_demands(load), view],
                                        pooling=pooling)
                instance = scene.run()
                served = sum(second.served["view"] for at, second in instance.results_by_second.items()
                             if 5 <= at < 39)
                values.append(served / max(1, instance.rpcs_by_method["view"] * 34 / 40))
            mean, half = mean_and_interval(values)
            shares.append(f"{load}x {mean:.1%} ± {half:.1%}")
        print(f"{name:18} cheapest method within target: {', '.join(shares)}")


def cost(seeds: int, _: str) -> None:
    """Prints the CPU time per RPC for several numbers of pools, three times."""
    for repetition in range(3):
        results = []
        for count in (0, 4, 64):
            methods = max(2, min(count, 64))
            demands = [Demand(keyed_method() if n % 3 == 2 else idempotent_method(), f"m{n}", 120 / methods, 50_000,
                              makes_calls=n % 3 < 2)
                       for n in range(methods)]
            pooling = PoolConfig(tuple(Pool(f"p{n}", 0.9 / count) for n in range(count)), tuple(range(count)),
                              Reserve(0.05)) if count else None
            scene = SceneSimulation("slow", 1, seconds=40, demands=demands, pooling=pooling)
            started_at = time.process_time()
            instance = scene.run()
            results.append(f"{count} pools "
                           f"{(time.process_time() - started_at) * 1e6 / instance.attempt_count:.0f} us "
                           f"({methods} methods)")
        print(f"run {repetition + 1}: " + ", ".join(results))


def fleet(seeds: int, _: str) -> None:
    """Runs many instances at one ledger. Many calls in progress after its recovery would show a thundering herd."""
    instances = 300
    for policy, pooling in (("window", None), ("aimd", POOL_CONFIG)):
        clock = VirtualClock(START_US)
        # 6 slots per instance, so the ledger survives 18 calls per instance; `calls_out` gives each a share of 10
        ledger = LedgerModel(clock, LedgerParameters(slots=6 * instances, overload_tolerance=1_000_000), 1)
        simulated_instances = []
        for number in range(instances):
            demands = [Demand(d.method, d.name, d.rate / 3, d.mean_work, d.makes_calls) for d in default_demands(0.8)]
            settings = make_settings([d.method for d in demands], cores=2, calls_out=10.0, pooling=pooling,
                                   call_limit=CallLimitConfig(policy, 0.0 if policy == "window" else 1.0, 0.0))
            simulated_instances.append(SimulatedInstance(clock, settings, demands, ledger, number + 1))
        samples: list[int] = []

        def sample(ledger: LedgerModel = ledger, clock: VirtualClock = clock, samples: list[int] = samples) -> None:
            samples.append(len(ledger.in_service))
            clock.call_at(clock.now + SECOND // 4, lambda: sample(ledger, clock, samples))
        sample()
        clock.call_at(START_US + 8 * SECOND, lambda ledger=ledger: ledger.set_slowdown(8))
        clock.call_at(START_US + 16 * SECOND, lambda ledger=ledger: ledger.set_slowdown(1))
        started_at = time.process_time()
        clock.run(START_US + 26 * SECOND)
        worth = [sum(instance.worth_by_second(26)[at] for instance in simulated_instances) for at in range(26)]
        print(f"{policy:6} {'with' if pooling else 'no'} pools, {instances} instances: served per second before "
              f"{sum(worth[3:8]) / 5:.0f}, slow {sum(worth[8:16]) / 8:.0f}, after, by second "
              f"{' '.join(f'{value:.0f}' for value in worth[16:25])}; calls in progress before "
              f"{max(samples[12:32])}, slow {max(samples[32:64])}, after {max(samples[66:])} of {6 * instances} "
              f"slots; crashes {ledger.stats.deaths} ({time.process_time() - started_at:.0f} s)")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", nargs="?", default="compare", choices=["compare", "reserve", "cost", "fleet"])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--plot", default="")
    options = parser.parse_args()
    {"compare": compare, "reserve": reserve, "cost": cost, "fleet": fleet}[options.what](
        options.seeds, options.plot)
