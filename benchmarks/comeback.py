"""Benchmarks of the recovery after a restart of many instances, in virtual time and with real processes.

    python benchmarks/comeback.py virtual [--count 12] [--seeds 10] [--cases "nine at once;all at once"]
    python benchmarks/comeback.py ramps [--count 12]               sweep of fixed linear ramps
    python benchmarks/comeback.py real [--runs 10]                 recovery scenes with real processes
    python benchmarks/comeback.py repeats [--kills 1000]           kill -9 and restart while RPCs are retried
    python benchmarks/comeback.py breaks                           each seeded fault in a scene that detects it
    python benchmarks/comeback.py plot FILE                        the policies `today` and `ours`, as a PNG
    python benchmarks/comeback.py snapshot                         cost of a snapshot

Policies: `today` uses neither peers nor stored state, `linear R` raises the calls of a restarted instance linearly
over R seconds, `ours` is the recovery of this project. The upper bound assumes that each running machine always works
at its present speed on the most critical RPCs, behind a load balancer with complete knowledge. Time to full service
is the first second from which the mean over five seconds is at least 95% of the mean before the fault.
"""
from __future__ import annotations

import json
import math
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import Any

import msgspec
import typer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

from hollystage.standins.fleet.faults import Fault, Schedule  # noqa: E402
from hollystage.standins.fleet.schedules import (  # noqa: E402
    RECOVERY_LOAD,
    RECOVERY_SCENES,
    recovery_scene,
    scene_schedule,
)
from hollystage.standins.fleet.service_simulation import (  # noqa: E402
    Instance,
    RecoveryPolicy,
    ServiceSimulation,
    SimulationParameters,
)

app = typer.Typer(add_completion=False)
BASELINE_S, MEASURED_S = 8, 36  # before and after the fault


def mean_and_interval(values: list[float]) -> str:
    """Returns the mean and the half-width of its 95% interval (Student's t), without NaN values."""
    known = [value for value in values if not math.isnan(value)]
    if len(known) < 2:
        return f"{known[0]:.2f}" if known else "-"
    from scipy import stats
    half = stats.t.ppf(0.975, len(known) - 1) * statistics.stdev(known) / math.sqrt(len(known))
    return f"{statistics.mean(known):.2f} ± {half:.2f}"


class LinearRamp:
    """Raises the call limit of a restarted instance linearly over some seconds, without feedback."""

    def __init__(self, instance: Instance, seconds: float) -> None:
        self.instance, self.duration = instance, seconds * 1e6
        limit = instance.control.call_limit
        self.min_limit, self.max_limit = limit.min_value, limit.max_value

    def refuses(self, caller_rpc: Any, now: int) -> bool:
        """Refuses no RPC."""
        return False

    def tick(self, now: int) -> None:
        """Sets the limit that belongs to this time."""
        if self.instance.settings.cold:
            share = min(1.0, 0.05 + (now - self.instance.started_at) / self.duration)
            self.instance.control.call_limit.set_bounds(min(self.min_limit, self.max_limit * share),
                                                        self.max_limit * share)


POLICIES: dict[str, Any] = {"today": None, "ours": RecoveryPolicy,
                            **{f"linear {s}": (lambda instance, s=s: LinearRamp(instance, s))
                               for s in (1, 2, 4, 8, 16)}}


PARAMETER_CHANGES: dict[str, dict[str, Any]] = {"no limit to tries": {"heeds": False, "tries": 1000},
                                                "a tight ledger": {"ledger_load": 0.95}}
STATE_CASES = ("state lost", "state lost by half", "state an hour old", "clocks back a day", "clocks on a day",
               "another plan", "killed again and again")  # the simulation has no stored state
CASES = (*(case for case in RECOVERY_SCENES if case not in STATE_CASES), "a tight ledger")


def case_faults(case: str, names: list[str]) -> tuple[list[Fault], dict[str, Any], int]:
    """Returns the faults of a case, its changes of the simulation parameters, and how many instances are killed."""
    faults, kills = recovery_scene("nine at once" if case == "a tight ledger" else case, names)
    return faults, PARAMETER_CHANGES.get(case, {}), kills


def upper_bound(simulation: ServiceSimulation, kills: int, second: float) -> float:
    """Returns the share of the earlier service that the machines allow so many seconds after the kill."""
    parameters, count = simulation.parameters, len(simulation.instances)
    up = second - 0.5 - parameters.boot_time / 1e6
    speed = 0.0 if up < 0 else min(1.0, parameters.cold_speed + (1 - parameters.cold_speed) * (second - 0.5) / (
        parameters.warm_up_time / 1e6))
    cores = (count - kills + kills * speed) * parameters.cores
    lookup, hold = simulation.demands
    hold_cores, lookup_cores = hold.rate * hold.mean_work / 1e6, lookup.rate * lookup.mean_work / 1e6
    hold_share = min(1.0, cores / hold_cores)
    lookup_share = max(0.0, min(1.0, (cores - hold_cores) / lookup_cores))
    return (2 * hold.rate * hold_share + lookup.rate * lookup_share) / (2 * hold.rate + lookup.rate)


def run_case(job: tuple[str, str, int, int, float]) -> dict[str, Any]:
    """Runs one case with one policy and seed in virtual time and returns its measurements."""
    case, policy, count, seed, load = job
    names = [f"m{n}" for n in range(count)]
    faults, changes, kills = case_faults(case, names)
    simulation = ServiceSimulation(count, seed, SimulationParameters(load=load, **changes), POLICIES[policy],
                                   promises=policy == "ours")
    simulation.run(7 + BASELINE_S)
    start = simulation.now_s
    base = simulation.worth(start - BASELINE_S, start)
    calls, rpcs = simulation.ledger.stats.calls, sum(simulation.rpcs_by_second.values())
    simulation.schedule_faults(faults)
    simulation.run(MEASURED_S + 5)
    shares = [simulation.worth(start + s, start + s + 1) / base for s in range(MEASURED_S + 5)]
    means = [sum(shares[s:s + 5]) / 5 for s in range(MEASURED_S)]
    full = next((s for s in range(MEASURED_S) if means[s] >= 0.95), math.nan)
    down = sum(means[s] < 0.9 for s in range(int(full), MEASURED_S)) if not math.isnan(full) else math.nan
    limit = next((s / 10 for s in range(10 * MEASURED_S) if upper_bound(simulation, kills, s / 10) >= 0.95), math.nan)
    ideal = sum(1 - upper_bound(simulation, kills, s + 0.5) for s in range(MEASURED_S))
    return {"shares": shares, "full": full, "bound": limit, "ideal": ideal,
            "area": sum(1 - share for share in shares[:MEASURED_S]),
            "again": down,
            "peak": simulation.ledger.stats.max_in_service / (
                simulation.ledger_parameters.slots * simulation.ledger_parameters.crowd),
            "deaths": simulation.ledger.stats.deaths,
            "calls": (simulation.ledger.stats.calls - calls) / max(
                1, 0.66 * (sum(simulation.rpcs_by_second.values()) - rpcs)),
            "twice": simulation.counts["twice"],
            "tries": sum(simulation.attempts_by_second.values()) / max(1, sum(simulation.rpcs_by_second.values())),
            "kept": (sum(ok for _, ok in simulation.promised_results) / len(simulation.promised_results))
            if simulation.promised_results else math.nan}


TABLE_HEADER = ("| case | policy | full service, s | lost service, s | peak load of the ledger | calls per RPC "
                "with a call | relapse, s | promises kept | run twice |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")


def table_row(case: str, policy: str, results: list[dict[str, Any]]) -> str:
    """Formats the results of all seeds of one case and policy."""
    never = sum(math.isnan(r["full"]) for r in results)
    return (f"| {case} | {policy} | {mean_and_interval([r['full'] for r in results])}"
            f"{f' ({never} never)' if never else ''} | "
            f"{mean_and_interval([r['area'] for r in results])} | {max(r['peak'] for r in results):.2f} | "
            f"{statistics.mean(r['calls'] for r in results):.2f} | "
            f"{mean_and_interval([r['again'] for r in results])} | "
            f"{mean_and_interval([r['kept'] for r in results])} | {sum(r['twice'] for r in results):.0f} |")


@app.command()
def virtual(count: int = 12, seeds: int = 10, load: float = 0.8, cases: str = "", policies: str = "today;ours",
            at_once: int = 4) -> None:
    """Runs recovery scenes in virtual time, each policy with the same seeds."""
    print(f"{count} instances at {load:.0%} of their warm capacity, {seeds} seeds\n\n{TABLE_HEADER}", flush=True)
    with ProcessPoolExecutor(at_once) as pool:
        for case in cases.split(";") if cases else CASES:
            for policy in policies.split(";"):
                results = list(pool.map(run_case, [(case, policy, count, seed, load)
                                                   for seed in range(1, seeds + 1)]))
                print(table_row(case, policy, results), flush=True)
            print(f"| {case} | bound | {results[0]['bound']:.1f} | {results[0]['ideal']:.2f} | | | | | |", flush=True)


@app.command()
def ramps(count: int = 12, seeds: int = 10, load: float = 0.8, at_once: int = 4,
          cases: str = "nine at once;into a slow ledger;a tight ledger") -> None:
    """Compares fixed linear ramps of several lengths with the other policies."""
    virtual(count, seeds, load, cases, ";".join(name for name in POLICIES if name != "today") + ";today", at_once)


@app.command()
def plot(path: str, count: int = 12, seeds: int = 2, load: float = 0.8) -> None:
    """Plots criticality served within target per second, as a share of that before the fault; mean over the seeds."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = ("nine at once", "all at once", "into a slow ledger")
    figure, rows = pyplot.subplots(len(cases), 1, figsize=(7, 7), sharex=True, layout="constrained")
    for axes, case in zip(rows, cases, strict=True):
        for policy, colour in (("today", "tab:red"), ("ours", "tab:blue")):
            shares = [run_case((case, policy, count, seed, load))["shares"][:MEASURED_S]
                      for seed in range(1, seeds + 1)]
            means = [statistics.mean(second) for second in zip(*shares, strict=True)]
            axes.step(range(len(means)), means, where="mid", color=colour, label=policy)
        axes.axhline(0.95, color="grey", lw=0.6)
        axes.set(title=case, ylabel="share of service before", ylim=(0, 1.15))
    rows[0].legend()
    rows[-1].set_xlabel("seconds after the kill")
    figure.savefig(path, dpi=80)


# Real processes

def run_schedule(schedule: Schedule, seeded_fault: str = "", settle: float = 60.0) -> dict[str, Any]:
    """Runs a schedule with `hollystage lab fleet` and returns the report.

    Raises:
        RuntimeError: the command failed.
    """
    with tempfile.TemporaryDirectory(prefix="hollystage-comeback-") as folder:
        path = os.path.join(folder, "schedule.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(schedule))
        command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--schedule", path, "--json", "--settle",
                   str(settle), *(["--break", seeded_fault] if seeded_fault else [])]
        process = subprocess.run(command, capture_output=True, text=True, timeout=600, cwd=ROOT)
    if process.returncode not in (0, 1) or not process.stdout:
        raise RuntimeError(process.stderr)
    report: dict[str, Any] = json.loads(process.stdout)
    return report


@app.command()
def real(runs: int = 10, members: int = 12, at_once: int = 3, cases: str = "") -> None:
    """Runs recovery scenes with real processes."""
    print(f"{members} processes, {runs} runs\n\n| case | violations | full service, s (never) | lost service, s "
          "| peak load of the ledger | calls per RPC | last not served, s | promises kept |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
    with ThreadPoolExecutor(at_once) as pool:
        for case in cases.split(";") if cases else RECOVERY_SCENES:
            reports = list(pool.map(lambda seed, case=case: run_schedule(scene_schedule(case, members, seed)),
                                    range(1, runs + 1)))
            for index, report in enumerate(reports):
                for violation in report["violations"][:3]:
                    print(f"{case}, seed {index + 1}: {violation}", file=sys.stderr, flush=True)
            rows = [r["measured"]["comeback"] for r in reports]
            full = [row["full_s"] for row in rows if row["full_s"] is not None]
            promised, kept = sum(row["told"] for row in rows), sum(row["kept"] for row in rows)
            print(f"| {case} | {sum(len(r['violations']) for r in reports)} | "
                  f"{mean_and_interval(full)} ({runs - len(full)}) | "
                  f"{mean_and_interval([row['lost_s'] for row in rows])} | "
                  f"{max(row['ledger_peak'] for row in rows)} | "
                  f"{statistics.mean(row['calls_per_rpc'] for row in rows):.2f} | "
                  f"{mean_and_interval([row['last_unserved_s'] for row in rows])} | {kept} of {promised} |",
                  flush=True)


@app.command()
def repeats(kills: int = 1000, members: int = 12, at_once: int = 2, rounds: int = 10,
            how: str = "kept;emptied") -> None:
    """Kills three quarters of the members every 4 s while keyed RPCs of 150 ms are retried; finds duplicate runs."""
    load = RECOVERY_LOAD | {"hold_deadline_ms": 6000, "work_s": 0.15, "cores": 4, "rate": 120.0, "tries": 30}
    names = [f"m{n}" for n in range(members)]

    def plan(seed: int, kind: str) -> Schedule:
        rng, faults = random.Random(seed), []
        for n in range(rounds):
            killed = rng.sample(names, members * 3 // 4)
            faults += [Fault(0.2 + 4 * n, "kill", killed), Fault(0.25 + 4 * n, "start", killed, how=kind)]
        return Schedule(members, 4.0 * rounds + 3, seed, faults, load=load)
    for kind in how.split(";"):
        runs = -(-kills // 2 // (rounds * (members * 3 // 4)))
        with ThreadPoolExecutor(at_once) as pool:
            reports = list(pool.map(lambda seed, kind=kind: run_schedule(plan(seed, kind)), range(1, runs + 1)))
        for report in reports:
            for violation in report["violations"][:3]:
                print(violation, file=sys.stderr)
        outcomes: dict[str, int] = {}
        for report in reports:
            for outcome, count in report["measured"]["answers"].items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
        print(f"state {kind}: {runs * rounds * (members * 3 // 4)} kills, "
              f"{sum(len(r['violations']) for r in reports)} violations, {outcomes}", flush=True)


DETECTING_SCENES = {"no-doubt": "kills", "doubt-pushes-back": "kills", "one-lender": "state lost", "any-age": "hour",
                    "any-weight": "hour", "from-the-future": "clocks back a day", "any-machine": "another plan",
                    "never-keep": "nine at once", "promise-all": "killed again and again",
                    "calls-unbound": "into a slow ledger"}


@app.command()
def breaks(members: int = 8, at_once: int = 2) -> None:
    """Runs each seeded fault of the recovery and prints the rules that it violates."""
    load = RECOVERY_LOAD | {"hold_deadline_ms": 6000, "work_s": 0.15, "cores": 4, "rate": 120.0, "tries": 30}

    def run_fault(seeded_fault: str) -> str:
        case = DETECTING_SCENES[seeded_fault]
        schedule = scene_schedule({"kills": "nine at once", "hour": "state an hour old"}.get(case, case), members)
        if case == "kills":
            schedule.load = load
        rules = {violation["rule"] for violation in run_schedule(schedule, seeded_fault)["violations"]}
        return f"| {seeded_fault} | {case} | {', '.join(sorted(rules)) or 'NOT DETECTED'} |"
    with ThreadPoolExecutor(at_once) as pool:
        for line in pool.map(run_fault, DETECTING_SCENES):
            print(line, flush=True)


@app.command()
def snapshot(methods: int = 16, times: int = 200) -> None:
    """Measures export (under the driver's lock), write, read and restore of a snapshot."""
    from hollystage.control import Control
    from hollystage.decisions.recovery.recovery import export_learned, restore_learned
    from hollystage.interface import Method, MethodKind
    from hollystage.standins.scenes import make_settings
    from hollystage.store import snapshot as stored
    from hollystage.store.folder import StateFolder

    names = [f"method-{n}" for n in range(methods)]
    control = Control(make_settings([Method(MethodKind.IDEMPOTENT, 1.0, 1_000_000, 2_000_000) for _ in names]), 1, 0)
    for method in control.run_times:
        control.run_times[method].add(30_000.0, 0, 1)
    durations: dict[str, list[float]] = {"export": [], "write": [], "write, CPU": [], "read": [], "restore": []}
    with tempfile.TemporaryDirectory() as path:
        folder = StateFolder(path, "a")
        for _ in range(times):
            started_at = time.perf_counter()
            learned = export_learned(control, names, 1)
            durations["export"].append(time.perf_counter() - started_at)
            started_at, cpu = time.perf_counter(), time.thread_time()
            size = stored.write(folder, stored.Snapshot(1, 1, 12, learned))
            durations["write"].append(time.perf_counter() - started_at)
            durations["write, CPU"].append(time.thread_time() - cpu)
            started_at = time.perf_counter()
            found, age_s, _ = stored.read(folder, 1)
            durations["read"].append(time.perf_counter() - started_at)
            assert found is not None
            started_at = time.perf_counter()
            restore_learned(control, names, found.learned, age_s, 1)
            durations["restore"].append(time.perf_counter() - started_at)
    print(f"{methods} methods, {size} bytes; ms, median and maximum: " + ", ".join(
        f"{name} {1000 * statistics.median(row):.3f} {1000 * max(row):.3f}" for name, row in durations.items()))
    cpu_s = statistics.median(durations["export"]) + statistics.median(durations["write, CPU"])
    print(f"at one snapshot every 2 s {100 * cpu_s / 2:.3f}% of a core")


if __name__ == "__main__":
    app()
