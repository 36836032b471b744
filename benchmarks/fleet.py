"""Membership measured: real processes by scene, the twin by size, and what it costs an RPC.

    python benchmarks/fleet.py real [--runs 10] [--members 12] [--at-once 3]
    python benchmarks/fleet.py virtual [--seeds 10] [--sizes 10,100,300,1000,3000]
    python benchmarks/fleet.py slow [--seeds 10]
    python benchmarks/fleet.py bytes            100,000 mutated, foreign, replayed and oversized datagrams
    python benchmarks/fleet.py cost [--blocks 8] [--before FOLDER]

Prints a table as docs/results.md has it. `cost` compares an instance alone, one in a fleet of 12 and one of an
earlier version (a checkout in FOLDER), in turns within one run.
"""
from __future__ import annotations

import json
import math
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import Any

import typer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

from hollystage.decisions.membership.members import Members  # noqa: E402
from hollystage.decisions.membership.terms import Terms  # noqa: E402
from hollystage.standins.fleet.draw import SCENES  # noqa: E402
from hollystage.standins.fleet.faults import Fault  # noqa: E402
from hollystage.standins.fleet.twin import SECOND, Node, Twin  # noqa: E402

app = typer.Typer(add_completion=False)


def spread(values: list[float]) -> str:
    """Mean and the half-width of its 95% interval, by Student's t for few runs."""
    if len(values) < 2:
        return f"{values[0]:.2f}" if values else "-"
    from scipy import stats
    half = stats.t.ppf(0.975, len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):.2f} ± {half:.2f}"


def quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else math.nan


# Real processes

def one_run(scene: str, members: int, seed: int) -> dict[str, Any]:
    command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--scene", scene, "--members", str(members),
               "--seed", str(seed), "--json", "--settle", "60"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=300, cwd=ROOT)
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    found: dict[str, Any] = json.loads(done.stdout)
    return found


@app.command()
def real(runs: int = 10, members: int = 12, at_once: int = 3, scenes: str = "") -> None:
    """Scenes of real processes; `agreed`: from the schedule's start, so less the fault's own second."""
    chosen = scenes.split(";") if scenes else list(SCENES)
    print("| scene | runs | violations | known by a survivor, s: median, 99th | views agree, s after the start | "
          "wrong suspicions, losses a run | worth |\n| --- | --- | --- | --- | --- | --- | --- |")
    with ThreadPoolExecutor(at_once) as pool:
        for scene in chosen:
            found = list(pool.map(lambda seed, scene=scene: one_run(scene, members, seed), range(1, runs + 1)))
            figures = [f["measured"] for f in found]
            medians = [f["known_s"]["median"] for f in figures if f["known_s"]["notices"]]
            most = [f["known_s"]["p99"] for f in figures if f["known_s"]["notices"]]
            agreed = [f["agreed_s"] for f in figures if f["agreed_s"] is not None]
            print(f"| {scene} | {runs} | {sum(len(f['violations']) for f in found)} | "
                  f"{spread(medians)}, {quantile(most, 1.0):.2f} | {spread(agreed)}, at most {max(agreed):.1f} | "
                  f"{statistics.mean(f['wrong_suspicions'] for f in figures):.1f}, "
                  f"{statistics.mean(f['wrong_losses'] for f in figures):.1f} | "
                  f"{spread([f['worth'] for f in figures])} |", flush=True)


# Virtual time

class Careless(Members):
    """Has no regard for its own pauses and troubles, and looks at its timers before it reads."""

    def _wake(self, now: int) -> None:
        self.now = max(self.now, now)
        self.stalls.due = 0
        self.health.score = 0

    def heard(self, *arguments: Any) -> None:
        self.tick(arguments[-1])
        super().heard(*arguments)


def detect(job: tuple[int, int]) -> dict[str, float]:
    """One member of many killed: when the first and the last of the others hold it for lost."""
    count, seed = job
    twin = Twin(count, seed, known=True)
    twin.run(5)
    messages, size, stream_bytes = twin.messages, twin.bytes, twin.stream_bytes
    twin.run(10)
    rate = (twin.messages - messages) / count / 10
    volume = (twin.bytes - size + twin.stream_bytes - stream_bytes) / count / 10
    begun, since = len(twin.events), twin.clock.now
    twin.apply(Fault(0, "kill", [f"m{count - 1}"]))
    agreed = twin.until_agreed(90, 0.05)
    times = [(event[0] - since) / SECOND for event in twin.events[begun:] if event[2] == "lost"]
    return {"count": count, "first": min(times), "median": statistics.median(times), "last": max(times),
            "agreed": agreed or math.nan, "messages": rate, "bytes": volume, "wrong": twin.wrong["lost"]}


@app.command()
def virtual(seeds: int = 10, sizes: str = "10,100,300,1000,3000", at_once: int = 6) -> None:
    """Time to detect, messages and bytes by the size of the fleet."""
    print("| members | first knows, s | half know | all know | messages a member and second | bytes | wrong losses |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(at_once) as pool:
        for count in map(int, sizes.split(",")):
            found = list(pool.map(detect, [(count, seed) for seed in range(1, seeds + 1)]))
            print(f"| {count} | " + " | ".join(spread([f[key] for f in found]) for key in (
                "first", "median", "last", "messages", "bytes")) + f" | {sum(f['wrong'] for f in found):.0f} |",
                flush=True)


def slow_run(job: tuple[int, int, bool, float]) -> tuple[float, float, float]:
    """One in twenty is throttled, awake for 20 to 100 ms and then asleep for 0.1 to 0.9 s, over links of 20 to 60 ms:
    wrong accusations a member and hour."""
    count, seed, careful, seconds = job
    twin = Twin(count, seed, known=True, kind=Members if careful else Careless)
    chance = random.Random(seed)

    def nap(node: Node) -> None:
        asleep = chance.uniform(0.1, 0.9)
        twin.pause(node, int(asleep * SECOND))
        twin.clock.at(twin.clock.now + int((asleep + chance.uniform(0.02, 0.1)) * SECOND), lambda: nap(node))
    twin.apply(Fault(0, "delay", list(twin.nodes), amount=0.02, jitter=0.04))
    sleepers = [node for number, node in enumerate(twin.nodes.values()) if number % 20 == 7]
    for node in sleepers:
        twin.clock.at(twin.clock.now + int(chance.uniform(0, 4) * SECOND), lambda node=node: nap(node))
    twin.run(seconds)
    names = {node.name for node in sleepers}
    hours = count * seconds / 3600
    healthy = sum(event[2] == "suspect" and event[3] not in names for event in twin.events)
    lost = sum(event[2] == "lost" and event[3] not in names for event in twin.events)
    sleepy = sum(event[2] == "lost" and event[3] in names for event in twin.events)
    return healthy / hours, lost / hours, sleepy / hours


@app.command()
def slow(seeds: int = 10, sizes: str = "20,100,300", seconds: float = 120.0, at_once: int = 6) -> None:
    """Wrong accusations with one in twenty slow, with and without the regard for one's own pauses."""
    print("| members | regard for one's own pauses | healthy ones suspected, a member and hour | healthy ones held "
          "for lost | slow ones held for lost |\n| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(at_once) as pool:
        for count in map(int, sizes.split(",")):
            for careful in (True, False):
                found = list(pool.map(slow_run, [(count, seed, careful, seconds) for seed in range(1, seeds + 1)]))
                print(f"| {count} | {'yes' if careful else 'no'} | " + " | ".join(
                    spread([row[at] for row in found]) for at in range(3)) + " |", flush=True)


# Bytes from strangers

@app.command("bytes")
def hostile(many: int = 100_000) -> None:
    """Mutated, foreign, replayed and oversized datagrams at one agent of three; what changes is told."""
    import structlog

    from hollystage.decisions.membership.records import Digest, Stage
    from hollystage.fleet.agent import Agent
    from hollystage.service.counters import Counters
    from hollystage.service.driver import clock

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    key, agents = bytes(range(32)), []
    for number in range(3):
        address = f"127.0.9.{number + 1}:7400"
        agents.append(Agent(f"a{number}", "z", address, address, ["127.0.9.1:7400"], key, "test", Terms(), 1,
                            clock() // 1000, lambda: Digest(stage=Stage.SERVING), lambda boot: None, clock,
                            Counters(), structlog.get_logger()))
    for agent in agents:
        for task in (agent.talk_forever, agent.listen_forever, agent.meet_forever):
            threading.Thread(target=task, daemon=True).start()
    captured: list[bytes] = []
    target, honest = agents[0], agents[1].links.send

    def tap(address: str, data: bytes) -> bool:
        if address == target.bind:
            captured.append(data)
        return honest(address, data)
    agents[1].links.send = tap  # type: ignore[method-assign]
    while len(captured) < 20 or len(target.view.living()) < 3:
        time.sleep(0.05)
    chance, before = random.Random(1), resident()
    belief = sorted((r.name, r.boot, r.belief) for r in target.view.living())
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    begun, cpu = time.monotonic(), time.process_time()
    for number in range(many):
        good = bytearray(chance.choice(captured))
        match number % 5:
            case 0:
                good[chance.randrange(len(good))] ^= 1 << chance.randrange(8)
            case 1:
                good = good[:chance.randrange(len(good))]
            case 2:
                good = bytearray(chance.randbytes(chance.randrange(1, 1200)))
            case 3:
                good += chance.randbytes(1200)
        sock.sendto(good, target.links.bind)
        if number % 50 == 49:
            time.sleep(0.002)
    time.sleep(1)
    took, cpu = time.monotonic() - begun, time.process_time() - cpu
    after = sorted((r.name, r.boot, r.belief) for r in target.view.living())
    counts = {name: count for name, count in target.counters.read().items() if name.startswith("fleet.refused")}
    print(f"{many} datagrams in {took:.1f} s: beliefs {'unchanged' if belief == after else f'{belief} -> {after}'}; "
          f"refused {counts}; memory {before:.1f} to {resident():.1f} MB; CPU with the sender's {cpu:.1f} s; "
          f"threads alive {threading.active_count()}")
    os._exit(0 if belief == after else 1)


def resident() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


# What it costs an RPC

def cpu_of(pid: int) -> float:
    """Seconds of all threads, those that ended too, to the nanosecond (clock_getcpuclockid(3) of the process)."""
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e9


@app.command()
def cost(blocks: int = 6, seconds: float = 8.0, rate: float = 200.0, before: str = "") -> None:
    """CPU and p99 of an RPC: alone, in a fleet of 12, and as the version in FOLDER has it, in turns."""
    from hollystage.standins.caller import Load, Traffic
    from hollystage.standins.fleet.faults import Schedule
    from hollystage.standins.fleet.rig import Load as Machine
    from hollystage.standins.fleet.rig import Rig
    from hollystage.standins.interpreter import Worker
    from hollystage.standins.peers import ControlPlane, SteadyLedger

    folder = tempfile.mkdtemp(prefix="hollystage-cost-")
    last = max(os.sched_getaffinity(0))
    os.sched_setaffinity(0, os.sched_getaffinity(0) - {last})
    rig = Rig(Schedule(members=12), folder, Machine(rate=1.0))
    rig._backends()
    worker = Worker(4, {"rate-lookup": 0.01, "car-hold": 0.01})
    ledger, control = SteadyLedger(0.001), ControlPlane()
    found: dict[str, list[tuple[float, float]]] = {}
    kinds = ["alone", "fleet of 12", *(["before"] if before else [])]
    for name in rig.names[1:]:
        rig.start_member(name)

    def plan(fleet: bool) -> str:
        text = [line for line in rig.plan("m0").splitlines()]
        swap = {"listener(": 'listener("127.0.8.1:8080")', "interpreter(": f'interpreter("{worker.address[0]}:'
                f'{worker.address[1]}")', "control(": f'control("{control.address[0]}:{control.address[1]}")',
                "ledger(": f'ledger("main", "{ledger.address[0]}:{ledger.address[1]}")'}
        text = [next((new for old, new in swap.items() if line.startswith(old)), line) for line in text]
        if not fleet:
            at = next(n for n, line in enumerate(text) if line.startswith("fleet("))
            text = text[:at]
        return "\n".join(text).replace(", promises = True", "") + "\n"  # earlier versions do not know it

    for block in range(blocks):
        for kind in kinds if block % 2 else reversed(kinds):
            path = os.path.join(folder, "plan.star")
            with open(path, "w") as file:
                file.write(plan(kind == "fleet of 12"))
            root = before if kind == "before" else ROOT
            worker.reset()
            process = subprocess.Popen([sys.executable, "-m", "hollystage", "serve", "--plan", path], cwd=root,
                                       env=os.environ | {"PYTHONPATH": root, "MALLOC_ARENA_MAX": "2"},
                                       stderr=subprocess.DEVNULL)
            os.sched_setaffinity(process.pid, {last})  # nothing else runs there
            try:
                while process.poll() is None:
                    try:
                        socket.create_connection(("127.0.8.1", 8080), 1).close()
                        break
                    except OSError:
                        time.sleep(0.05)
                time.sleep(2)
                traffic = [Traffic("rate-lookup", rate * 0.66, 2.0), Traffic("car-hold", rate * 0.34, 2.1, True)]
                load = Load(("127.0.8.1", 8080), traffic, block)
                used = cpu_of(process.pid)
                load.start()
                time.sleep(seconds)
                load.stop()
                used = cpu_of(process.pid) - used
                sent = sum(tally.sent for tally in load.tallies.values())
                spans = [span for tally in load.tallies.values() for span in tally.spans]
                found.setdefault(kind, []).append((used / sent * 1e6, quantile(spans, 0.99) * 1000))
            finally:
                process.terminate()
                process.wait(10)
    rig.end()
    print("| instance | CPU an RPC, us | p99, ms |\n| --- | --- | --- |")
    for kind in kinds:
        print(f"| {kind} | {spread([row[0] for row in found[kind]])} | {spread([row[1] for row in found[kind]])} |")
    base = [row[0] for row in found["alone"]]
    for kind in kinds[1:]:
        more = [row[0] / alone - 1 for row, alone in zip(found[kind], base, strict=True)]
        print(f"{kind} over alone, CPU: {100 * statistics.mean(more):+.1f}% ± "
              f"{100 * 2.0 * statistics.stdev(more) / math.sqrt(len(more)):.1f}")
    os._exit(0)


if __name__ == "__main__":
    app()
