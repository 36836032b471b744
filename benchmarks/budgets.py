"""Benchmarks of fleet-wide budgets, with real processes and in virtual time.

    python benchmarks/budgets.py scenes [MEMBERS] [SEEDS]  budget scenes with real processes, checked at the ledger
    python benchmarks/budgets.py use                       units in use, compared with fixed shares and the optimum
    python benchmarks/budgets.py sizes                     messages and reallocation times for 10 to 3,000 processes
    python benchmarks/budgets.py times                     time until a new process may use its first unit
    python benchmarks/budgets.py storms [COUNT]            random fault histories; none may exceed the total
"""
from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

from benchmarks.budget_simulation import BudgetSimulation, call_budget  # noqa: E402
from hollystage.standins.fleet.schedules import BUDGET_SCENES  # noqa: E402


def scenes(members: int = 12, seeds: int = 1) -> None:
    """Runs all budget scenes with real processes and prints the violations of each run."""
    def run_scene(job):
        name, seed = job
        command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--scene", name, "--members", str(members),
                   "--seed", str(seed), "--json"]
        process = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=180)
        return name, seed, json.loads(process.stdout) if process.stdout else {"violations": [process.stderr[-300:]]}
    jobs = [(name, seed) for seed in range(1, seeds + 1) for name in BUDGET_SCENES]
    with ThreadPoolExecutor(3) as pool:
        for name, seed, report in pool.map(run_scene, jobs):
            budget = report.get("measured", {}).get("budget", {})
            answers = report.get("measured", {}).get("answers", {})
            print(f"{name:36} seed {seed}  violations {len(report['violations'])}  total {budget.get('whole')}  "
                  f"peak {budget.get('peak')}  mean {budget.get('used')}  minimum {budget.get('least')}  "
                  f"ok {answers.get('ok')}", flush=True)
            for violation in report["violations"][:3]:
                print("    ", violation, flush=True)


def needs(world, pattern, second):
    """Returns the need of each process in this second: 1.2 times the total, half of it at one process."""
    size, total = len(world.names), world.budgets[0].total
    heavy = {"still": size - 1, "jumps": second // 5 * 5 % size}.get(pattern, size - 1)
    return [0.6 * total if n == heavy else 0.6 * total / (size - 1) for n in range(size)]


def use() -> None:
    """Compares the units in use under allocation with fixed shares and with the optimum."""
    print("units in use, mean over 30 s; 12 processes, total 48, each use 30 to 300 ms")
    for pattern in ("still", "jumps", "third killed"):
        means = {}
        for method in ("divided", "fixed"):
            world = BudgetSimulation(11, 12, [call_budget(total=48, max_processes=12, max_use_duration=300_000)])
            world.run(6)
            if pattern == "third killed":
                for name in world.names[3:7]:
                    world.kill(name)
                world.run(4)
            total = optimum = 0.0
            for second in range(30):
                wanted = needs(world, pattern, second)
                alive = [n for n, name in enumerate(world.names) if world.processes[name].running]
                for n in alive:
                    world.processes[world.names[n]].need = wanted[n] * (1.5 if pattern == "third killed" else 1)
                if method == "divided":
                    total += world.mean_in_use(1.0)
                else:
                    total += sum(min(4.0, int(world.processes[world.names[n]].need)) for n in alive)
                optimum += min(48, sum(int(world.processes[world.names[n]].need) for n in alive))
            means[method] = total / 30
            means["best possible"] = optimum / 30
        print(f"{pattern:12} allocated {means['divided']:5.1f}  fixed shares {means['fixed']:5.1f}  optimum "
              f"{means['best possible']:5.1f}  ratio {means['divided'] / means['best possible']:.2f}", flush=True)


def sizes() -> None:
    """Measures message rate, time of a reallocation and CPU use for several sizes of the fleet."""
    for size in (10, 100, 1_000, 3_000):
        total = 4 * size
        world = BudgetSimulation(5, size, [call_budget(total=total, max_processes=size, max_use_duration=300_000)],
                                 voters=5)
        started_at = time.monotonic()
        for name in world.names:
            world.processes[name].need = 3
        world.run(6)
        sent_before = sum(node.sent for node in world.processes.values())
        measured_from = time.monotonic()
        world.run(2)
        sent = sum(node.sent for node in world.processes.values()) - sent_before
        elapsed = time.monotonic() - measured_from
        # half of the processes lose their need, that of the others doubles: run until 0.9 of it is in use
        for n, name in enumerate(world.names):
            world.processes[name].need = 0 if n % 2 else 6
        needy, steps = [world.processes[name] for name in world.names[::2]], 0
        while sum(node.in_use["calls"] for node in needy) < 0.9 * 6 * len(needy) and steps < 100:
            world.run(0.1)
            steps += 1
        print(f"{size:5} processes: {sent / size / 2:.1f} messages per process and second, violations "
              f"{len(world.violations)}, reallocated within {steps / 10:.1f} s, {elapsed / 2:.1f} s of CPU "
              f"per second for all, {time.monotonic() - started_at:.0f} s", flush=True)


def times() -> None:
    """Measures the time from the start of a process until it may use its first unit."""
    delays = []
    for seed in range(20):
        world = BudgetSimulation(seed, 6, [call_budget(total=30, max_processes=6)])
        for node in world.processes.values():
            node.need = 30
        world.run(6)
        world.kill("m4")
        world.run(5)
        node = world.start("m4")
        node.need = 30
        world.run(1)
        delays.append((node.first_use_at - node.started_at) / 1000 if node.first_use_at is not None else 1e9)
        assert not world.violations
    delays.sort()
    print(f"first unit of a new process: median {delays[10]:.0f} ms, maximum {delays[-1]:.0f} ms, 20 starts")


def storms(count: int = 400) -> None:
    """Runs random fault histories and prints how many exceed the total."""
    from test_budgets import storm

    bad = [seed for seed in range(1_000, 1_000 + count) if storm(seed, 3 + seed % 12, floor=seed % 2).violations]
    print(f"{count} random histories of 16 s, 3 to 14 processes: total exceeded in {len(bad)} {bad[:5]}")


if __name__ == "__main__":
    verb, *arguments = sys.argv[1:] or ["use"]
    {"scenes": scenes, "use": use, "sizes": sizes, "times": times, "storms": storms}[verb](*map(int, arguments))
