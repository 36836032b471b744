"""Budgets measured: scenes of real processes, and what is used, moved and said in virtual time.

    python benchmarks/budgets.py scenes [MEMBERS] [SEEDS]  the hard cases, real processes, judged by the ledger
    python benchmarks/budgets.py use                          units in use beside fixed shares and one that knows all
    python benchmarks/budgets.py sizes                        messages, bytes and times at 10 to 3,000 processes
    python benchmarks/budgets.py times                        a dead one's part, a newcomer's first unit
    python benchmarks/budgets.py storms [HOW MANY]            drawn histories; 0 past the whole
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

from benchmarks.treasury import World, calls  # noqa: E402
from hollystage.standins.fleet.draw import SHARED  # noqa: E402


def scenes(members: int = 12, seeds: int = 1) -> None:
    def play(job):
        name, seed = job
        command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--scene", name, "--members", str(members),
                   "--seed", str(seed), "--json"]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, timeout=180)
        return name, seed, json.loads(done.stdout) if done.stdout else {"violations": [done.stderr[-300:]]}
    jobs = [(name, seed) for seed in range(1, seeds + 1) for name in SHARED]
    with ThreadPoolExecutor(3) as pool:
        for name, seed, found in pool.map(play, jobs):
            budget = found.get("measured", {}).get("budget", {})
            answers = found.get("measured", {}).get("answers", {})
            print(f"{name:36} seed {seed}  violations {len(found['violations'])}  whole {budget.get('whole')}  "
                  f"peak {budget.get('peak')}  used {budget.get('used')}  least {budget.get('least')}  "
                  f"ok {answers.get('ok')}", flush=True)
            for one in found["violations"][:3]:
                print("    ", one, flush=True)


def needs(world, kind, second):
    """The need of each at this second; in all a little more than the whole."""
    size, whole = len(world.names), world.budgets[0].whole
    heavy = {"still": size - 1, "jumps": second // 5 * 5 % size}.get(kind, size - 1)
    return [0.6 * whole if n == heavy else 0.6 * whole / (size - 1) for n in range(size)]


def use() -> None:
    print("units in use at once, mean of 30 s; 12 processes, whole 48, each use 30 to 300 ms")
    for kind in ("still", "jumps", "third gone"):
        got = {}
        for how in ("divided", "fixed"):
            world = World(11, 12, [calls(whole=48, most=12, use=300_000)])
            world.run(6)
            if kind == "third gone":
                for name in world.names[3:7]:
                    world.kill(name)
                world.run(4)
            total = best = 0.0
            for second in range(30):
                rows = needs(world, kind, second)
                alive = [n for n, name in enumerate(world.names) if world.nodes[name].up]
                for n in alive:
                    world.nodes[world.names[n]].need = rows[n] * (1.5 if kind == "third gone" else 1)
                if how == "divided":
                    total += world.used(1.0)
                else:
                    total += sum(min(4.0, int(world.nodes[world.names[n]].need)) for n in alive)
                best += min(48, sum(int(world.nodes[world.names[n]].need) for n in alive))
            got[how] = total / 30
            got["knows all"] = best / 30
        print(f"{kind:12} divided {got['divided']:5.1f}  fixed shares {got['fixed']:5.1f}  knows all "
              f"{got['knows all']:5.1f}  of it {got['divided'] / got['knows all']:.2f}", flush=True)


def sizes() -> None:
    for size in (10, 100, 1_000, 3_000):
        whole = 4 * size
        world = World(5, size, [calls(whole=whole, most=size, use=300_000)], voters=5)
        begun = time.monotonic()
        for name in world.names:
            world.nodes[name].need = 3
        world.run(6)
        before = sum(node.sent for node in world.nodes.values())
        real = time.monotonic()
        world.run(2)
        sent = sum(node.sent for node in world.nodes.values()) - before
        spent = time.monotonic() - real
        # one half lose their need, the others want twice as much: until they use nine tenths of it
        for n, name in enumerate(world.names):
            world.nodes[name].need = 0 if n % 2 else 6
        wanting, moved = [world.nodes[name] for name in world.names[::2]], 0
        while sum(node.using["calls"] for node in wanting) < 0.9 * 6 * len(wanting) and moved < 100:
            world.run(0.1)
            moved += 1
        print(f"{size:5} processes: {sent / size / 2:.1f} messages a process and second, violations "
              f"{len(world.violations)}, divided anew within {moved / 10:.1f} s, {spent / 2:.1f} s of CPU a second "
              f"for all, {time.monotonic() - begun:.0f} s", flush=True)


def times() -> None:
    found = []
    for seed in range(20):
        world = World(seed, 6, [calls(whole=30, most=6)])
        for node in world.nodes.values():
            node.need = 30
        world.run(6)
        world.kill("m4")
        world.run(5)
        node = world.start("m4")
        node.need = 30
        world.run(1)
        found.append((node.first - node.began) / 1000 if node.first is not None else 1e9)
        assert not world.violations
    found.sort()
    print(f"a newcomer's first unit: median {found[10]:.0f} ms, most {found[-1]:.0f} ms, 20 starts")


def storms(many: int = 400) -> None:
    from test_budgets import storm

    bad = [seed for seed in range(1_000, 1_000 + many) if storm(seed, 3 + seed % 12, floor=seed % 2).violations]
    print(f"{many} drawn histories of 16 s, 3 to 14 processes: past the whole in {len(bad)} {bad[:5]}")


if __name__ == "__main__":
    what, *more = sys.argv[1:] or ["use"]
    {"scenes": scenes, "use": use, "sizes": sizes, "times": times, "storms": storms}[what](*map(int, more))
