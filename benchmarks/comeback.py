"""Coming back measured, in virtual time and with real processes.

    python benchmarks/comeback.py virtual [--count 12] [--seeds 10] [--cases "nine at once;all at once"]
    python benchmarks/comeback.py ramps [--count 12]              fixed linear ramps, a sweep
    python benchmarks/comeback.py real [--runs 10]                 scenes of real processes
    python benchmarks/comeback.py repeats [--kills 1000]           kill -9 and restart with repeats in flight
    python benchmarks/comeback.py breaks                           each seeded fault in the scene that shows it
    python benchmarks/comeback.py plot FILE                        one coming back beside today's, as a PNG
    python benchmarks/comeback.py snapshot                         what a snapshot costs

Policies: `today` (no peers, no state), `linear R` (calls of a restarted instance grow evenly over R seconds), `ours`.
The bound lets every machine that is up work all the time at its present speed for what is worth most, with a balancer
that sees everything. Time to full service: the first second from which on the mean of five seconds is 95% of before.
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

from hollystage.standins.fleet.crowd import Careful, Crowd, Deal, Instance  # noqa: E402
from hollystage.standins.fleet.draw import HARD, HARD_LOAD, hard, scene  # noqa: E402
from hollystage.standins.fleet.faults import Fault, Schedule  # noqa: E402

app = typer.Typer(add_completion=False)
BEFORE, AFTER = 8, 36  # seconds that are judged


def spread(values: list[float]) -> str:
    good = [value for value in values if not math.isnan(value)]
    if len(good) < 2:
        return f"{good[0]:.2f}" if good else "-"
    from scipy import stats
    half = stats.t.ppf(0.975, len(good) - 1) * statistics.stdev(good) / math.sqrt(len(good))
    return f"{statistics.mean(good):.2f} ± {half:.2f}"


class Linear:
    """Calls of a restarted instance grow evenly over some seconds, whatever comes of it."""

    def __init__(self, instance: Instance, seconds: float) -> None:
        self.instance, self.span = instance, seconds * 1e6
        limit = instance.control.below
        self.least, self.most = limit.least, limit.most

    def refuses(self, ask: Any, now: int) -> bool:
        return False

    def tick(self, now: int) -> None:
        if self.instance.settings.cold:
            share = min(1.0, 0.05 + (now - self.instance.born) / self.span)
            self.instance.control.below.bound(min(self.least, self.most * share), self.most * share)


POLICIES: dict[str, Any] = {"today": None, "ours": Careful,
                            **{f"linear {s}": (lambda instance, s=s: Linear(instance, s)) for s in (1, 2, 4, 8, 16)}}


CHANGES: dict[str, dict[str, Any]] = {"no limit to tries": {"heeds": False, "tries": 1000},
                                      "a tight ledger": {"ledger_load": 0.95}}
SAME = ("state lost", "state lost by half", "state an hour old", "clocks back a day", "clocks on a day",
        "another plan", "killed again and again")  # in the twin there is no stored state
CASES = (*(case for case in HARD if case not in SAME), "a tight ledger")


def faults(case: str, names: list[str]) -> tuple[list[Fault], dict[str, Any], int]:
    """What befalls, what is changed of the deal, how many are killed."""
    events, kills = hard("nine at once" if case == "a tight ledger" else case, names)
    return events, CHANGES.get(case, {}), kills


def bound(crowd: Crowd, kills: int, second: float) -> float:
    """Share of what was served before that the machines allow, `second` s after the kill."""
    deal, count = crowd.deal, len(crowd.instances)
    up = second - 0.5 - deal.boot / 1e6
    speed = 0.0 if up < 0 else min(1.0, deal.cold + (1 - deal.cold) * (second - 0.5) / (deal.warm / 1e6))
    room = (count - kills + kills * speed) * deal.cores
    look, keep = crowd.demands
    keeps, looks = keep.rate * keep.work / 1e6, look.rate * look.work / 1e6
    kept = min(1.0, room / keeps)
    looked = max(0.0, min(1.0, (room - keeps) / looks))
    return (2 * keep.rate * kept + look.rate * looked) / (2 * keep.rate + look.rate)


def one(job: tuple[str, str, int, int, float]) -> dict[str, Any]:
    case, policy, count, seed, load = job
    names = [f"m{n}" for n in range(count)]
    events, changes, kills = faults(case, names)
    crowd = Crowd(count, seed, Deal(load=load, **changes), POLICIES[policy], promises=policy == "ours")
    crowd.run(7 + BEFORE)
    zero = crowd.now_s
    base = crowd.worth(zero - BEFORE, zero)
    calls, asked = crowd.ledger.judge.calls, sum(crowd.asked.values())
    crowd.play(events)
    crowd.run(AFTER + 5)
    shares = [crowd.worth(zero + s, zero + s + 1) / base for s in range(AFTER + 5)]
    means = [sum(shares[s:s + 5]) / 5 for s in range(AFTER)]
    full = next((s for s in range(AFTER) if means[s] >= 0.95), math.nan)
    down = sum(means[s] < 0.9 for s in range(int(full), AFTER)) if not math.isnan(full) else math.nan
    limit = next((s / 10 for s in range(10 * AFTER) if bound(crowd, kills, s / 10) >= 0.95), math.nan)
    ideal = sum(1 - bound(crowd, kills, s + 0.5) for s in range(AFTER))
    return {"shares": shares, "full": full, "bound": limit, "ideal": ideal,
            "area": sum(1 - share for share in shares[:AFTER]),
            "again": down, "peak": crowd.ledger.judge.most / (crowd.terms.slots * crowd.terms.crowd),
            "deaths": crowd.ledger.judge.deaths,
            "calls": (crowd.ledger.judge.calls - calls) / max(1, 0.66 * (sum(crowd.asked.values()) - asked)),
            "twice": crowd.judge["twice"], "tries": sum(crowd.sent.values()) / max(1, sum(crowd.asked.values())),
            "kept": (sum(ok for _, ok in crowd.promised) / len(crowd.promised)) if crowd.promised else math.nan}


HEAD = ("| case | policy | full service, s | lost, seconds' worth | peak of the ledger | calls a first RPC "
        "with one | again, s | times kept | run twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")


def row(case: str, policy: str, found: list[dict[str, Any]]) -> str:
    never = sum(math.isnan(f["full"]) for f in found)
    return (f"| {case} | {policy} | {spread([f['full'] for f in found])}{f' ({never} never)' if never else ''} | "
            f"{spread([f['area'] for f in found])} | {max(f['peak'] for f in found):.2f} | "
            f"{statistics.mean(f['calls'] for f in found):.2f} | {spread([f['again'] for f in found])} | "
            f"{spread([f['kept'] for f in found])} | {sum(f['twice'] for f in found):.0f} |")


@app.command()
def virtual(count: int = 12, seeds: int = 10, load: float = 0.8, cases: str = "", policies: str = "today;ours",
            at_once: int = 4) -> None:
    """Hard cases, each policy on the same seeds."""
    print(f"{count} instances at {load:.0%} of what they can do warm, {seeds} seeds\n\n{HEAD}", flush=True)
    with ProcessPoolExecutor(at_once) as pool:
        for case in cases.split(";") if cases else CASES:
            for policy in policies.split(";"):
                found = list(pool.map(one, [(case, policy, count, seed, load) for seed in range(1, seeds + 1)]))
                print(row(case, policy, found), flush=True)
            print(f"| {case} | bound | {found[0]['bound']:.1f} | {found[0]['ideal']:.2f} | | | | | |", flush=True)


@app.command()
def ramps(count: int = 12, seeds: int = 10, load: float = 0.8, at_once: int = 4,
          cases: str = "nine at once;into a slow ledger;a tight ledger") -> None:
    """Fixed linear ramps of several lengths beside ours."""
    virtual(count, seeds, load, cases, ";".join(name for name in POLICIES if name != "today") + ";today", at_once)


@app.command()
def plot(path: str, count: int = 12, seeds: int = 2, load: float = 0.8) -> None:
    """Criticality served within target, as a share of before, second by second; the mean of some seeds."""
    import matplotlib
    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = ("nine at once", "all at once", "into a slow ledger")
    figure, rows = pyplot.subplots(len(cases), 1, figsize=(7, 7), sharex=True, layout="constrained")
    for axes, case in zip(rows, cases, strict=True):
        for policy, colour in (("today", "tab:red"), ("ours", "tab:blue")):
            found = [one((case, policy, count, seed, load))["shares"][:AFTER] for seed in range(1, seeds + 1)]
            means = [statistics.mean(second) for second in zip(*found, strict=True)]
            axes.step(range(len(means)), means, where="mid", color=colour, label=policy)
        axes.axhline(0.95, color="grey", lw=0.6)
        axes.set(title=case, ylabel="share of before", ylim=(0, 1.15))
    rows[0].legend()
    rows[-1].set_xlabel("seconds after the kill")
    figure.savefig(path, dpi=80)


# Real processes

def play(schedule: Schedule, broken: str = "", settle: float = 60.0) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="hollystage-comeback-") as folder:
        path = os.path.join(folder, "schedule.json")
        with open(path, "wb") as file:
            file.write(msgspec.json.encode(schedule))
        command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--schedule", path, "--json", "--settle",
                   str(settle), *(["--break", broken] if broken else [])]
        done = subprocess.run(command, capture_output=True, text=True, timeout=600, cwd=ROOT)
    if done.returncode not in (0, 1) or not done.stdout:
        raise RuntimeError(done.stderr)
    found: dict[str, Any] = json.loads(done.stdout)
    return found


@app.command()
def real(runs: int = 10, members: int = 12, at_once: int = 3, cases: str = "") -> None:
    """Hard cases with real processes."""
    print(f"{members} processes, {runs} runs\n\n| case | violations | full service, s (never) | lost, seconds' worth "
          "| ledger's peak | calls a first RPC | last not served, s | promised times kept |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
    with ThreadPoolExecutor(at_once) as pool:
        for case in cases.split(";") if cases else HARD:
            found = list(pool.map(lambda seed, case=case: play(scene(case, members, seed)), range(1, runs + 1)))
            for at, one_run in enumerate(found):
                for violation in one_run["violations"][:3]:
                    print(f"{case}, seed {at + 1}: {violation}", file=sys.stderr, flush=True)
            rows = [f["measured"]["comeback"] for f in found]
            full = [row["full_s"] for row in rows if row["full_s"] is not None]
            told, kept = sum(row["told"] for row in rows), sum(row["kept"] for row in rows)
            print(f"| {case} | {sum(len(f['violations']) for f in found)} | {spread(full)} ({runs - len(full)}) | "
                  f"{spread([row['lost_s'] for row in rows])} | {max(row['ledger_peak'] for row in rows)} | "
                  f"{statistics.mean(row['calls_per_rpc'] for row in rows):.2f} | "
                  f"{spread([row['last_unserved_s'] for row in rows])} | {kept} of {told} |", flush=True)


@app.command()
def repeats(kills: int = 1000, members: int = 12, at_once: int = 2, rounds: int = 10,
            how: str = "kept;emptied") -> None:
    """Nine of twelve killed every 4 s, tokened RPCs of 150 ms in flight, repeats for 6 s: what ran twice?"""
    load = HARD_LOAD | {"hold_deadline_ms": 6000, "work_s": 0.15, "cores": 4, "rate": 120.0, "tries": 30}
    names = [f"m{n}" for n in range(members)]

    def plan(seed: int, kind: str) -> Schedule:
        chance, faults = random.Random(seed), []
        for n in range(rounds):
            some = chance.sample(names, members * 3 // 4)
            faults += [Fault(0.2 + 4 * n, "kill", some), Fault(0.25 + 4 * n, "start", some, how=kind)]
        return Schedule(members, 4.0 * rounds + 3, seed, faults, load=load)
    for kind in how.split(";"):
        runs = -(-kills // 2 // (rounds * (members * 3 // 4)))
        with ThreadPoolExecutor(at_once) as pool:
            found = list(pool.map(lambda seed, kind=kind: play(plan(seed, kind)), range(1, runs + 1)))
        for one_run in found:
            for violation in one_run["violations"][:3]:
                print(violation, file=sys.stderr)
        words: dict[str, int] = {}
        for one_run in found:
            for word, count in one_run["measured"]["answers"].items():
                words[word] = words.get(word, 0) + count
        print(f"state {kind}: {runs * rounds * (members * 3 // 4)} kills, "
              f"{sum(len(f['violations']) for f in found)} violations, {words}", flush=True)


SHOWN_IN = {"no-doubt": "kills", "doubt-pushes-back": "kills", "one-lender": "state lost", "any-age": "hour",
            "any-weight": "hour", "from-the-future": "clocks back a day", "any-machine": "another plan",
            "never-keep": "nine at once", "promise-all": "killed again and again",
            "calls-unbound": "into a slow ledger"}


@app.command()
def breaks(members: int = 8, at_once: int = 2) -> None:
    """Each seeded fault of coming back: which rule it breaks."""
    load = HARD_LOAD | {"hold_deadline_ms": 6000, "work_s": 0.15, "cores": 4, "rate": 120.0, "tries": 30}

    def one_break(broken: str) -> str:
        case = SHOWN_IN[broken]
        plan = scene({"kills": "nine at once", "hour": "state an hour old"}.get(case, case), members)
        if case == "kills":
            plan.load = load
        found = {violation["rule"] for violation in play(plan, broken)["violations"]}
        return f"| {broken} | {case} | {', '.join(sorted(found)) or 'NOT CAUGHT'} |"
    with ThreadPoolExecutor(at_once) as pool:
        for line in pool.map(one_break, SHOWN_IN):
            print(line, flush=True)


@app.command()
def snapshot(methods: int = 16, times: int = 200) -> None:
    """What keeping and reading cost: under the driver's lock, beside it, and at a start."""
    from hollystage.control import Control
    from hollystage.decisions.comeback.recovery import harvest, sow
    from hollystage.interface import Kind, Method
    from hollystage.standins.scenes import settings_of
    from hollystage.store import snapshot as stored
    from hollystage.store.folder import Folder

    names = [f"method-{n}" for n in range(methods)]
    control = Control(settings_of([Method(Kind.IDEMPOTENT, 1.0, 1_000_000, 2_000_000) for _ in names]), 1, 0)
    for method in control.runs:
        control.runs[method].add(30_000.0, 0, 1)
    spans: dict[str, list[float]] = {"harvest": [], "write": [], "write, CPU": [], "read": [], "sow": []}
    with tempfile.TemporaryDirectory() as path:
        folder = Folder(path, "a")
        for _ in range(times):
            begun = time.perf_counter()
            learned = harvest(control, names, 1)
            spans["harvest"].append(time.perf_counter() - begun)
            begun, cpu = time.perf_counter(), time.thread_time()
            size = stored.write(folder, stored.Snapshot(1, 1, 12, learned))
            spans["write"].append(time.perf_counter() - begun)
            spans["write, CPU"].append(time.thread_time() - cpu)
            begun = time.perf_counter()
            found, old, _ = stored.read(folder, 1)
            spans["read"].append(time.perf_counter() - begun)
            assert found is not None
            begun = time.perf_counter()
            sow(control, names, found.learned, old, 1)
            spans["sow"].append(time.perf_counter() - begun)
    print(f"{methods} methods, {size} bytes; ms, median and most: " + ", ".join(
        f"{name} {1000 * statistics.median(row):.3f} {1000 * max(row):.3f}" for name, row in spans.items()))
    cpu_s = statistics.median(spans["harvest"]) + statistics.median(spans["write, CPU"])
    print(f"at one in 2 s {100 * cpu_s / 2:.3f}% of a core")


if __name__ == "__main__":
    app()
