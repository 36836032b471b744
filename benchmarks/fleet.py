"""Benchmarks of membership: scenes of real processes, simulations by fleet size, and the CPU cost of an RPC.

    python benchmarks/fleet.py real [--runs 10] [--members 12] [--at-once 3]
    python benchmarks/fleet.py virtual [--seeds 10] [--sizes 10,100,300,1000,3000]
    python benchmarks/fleet.py slow [--seeds 10]
    python benchmarks/fleet.py bytes            100,000 mutated, random, replayed and oversized datagrams
    python benchmarks/fleet.py cost [--blocks 8] [--before FOLDER]

Prints tables in the format of docs/results.md. `cost` compares an instance without a fleet, one in a fleet of 12 and
one of an earlier version (a checkout in FOLDER), alternating within one run.
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
from hollystage.decisions.membership.parameters import Parameters  # noqa: E402
from hollystage.standins.fleet.faults import Fault  # noqa: E402
from hollystage.standins.fleet.fleet_simulation import SECOND, FleetSimulation, Node  # noqa: E402
from hollystage.standins.fleet.schedules import SCENES  # noqa: E402

app = typer.Typer(add_completion=False)


def mean_and_interval(values: list[float]) -> str:
    """Returns the mean and the half-width of its 95% interval (Student's t, for few runs)."""
    if len(values) < 2:
        return f"{values[0]:.2f}" if values else "-"
    from scipy import stats
    half = stats.t.ppf(0.975, len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))
    return f"{statistics.mean(values):.2f} ± {half:.2f}"


def quantile(values: list[float], share: float) -> float:
    """Returns the value at a quantile without interpolation, NaN for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else math.nan


# Real processes

def run_scene(scene: str, members: int, seed: int) -> dict[str, Any]:
    """Runs a scene with `hollystage lab fleet` and returns the report.

    Raises:
        RuntimeError: the command failed.
    """
    command = [sys.executable, "-m", "hollystage", "lab", "fleet", "--scene", scene, "--members", str(members),
               "--seed", str(seed), "--json", "--settle", "60"]
    process = subprocess.run(command, capture_output=True, text=True, timeout=300, cwd=ROOT)
    if process.returncode not in (0, 1):
        raise RuntimeError(process.stderr)
    report: dict[str, Any] = json.loads(process.stdout)
    return report


@app.command()
def real(runs: int = 10, members: int = 12, at_once: int = 3, scenes: str = "") -> None:
    """Runs scenes with real processes. The time until views agree counts from the start of the schedule."""
    chosen = scenes.split(";") if scenes else list(SCENES)
    print("| scene | runs | violations | detected by a survivor, s: median, 99% | views agree, s after the start | "
          "false suspicions, false losses per run | worth |\n| --- | --- | --- | --- | --- | --- | --- |")
    with ThreadPoolExecutor(at_once) as pool:
        for scene in chosen:
            reports = list(pool.map(lambda seed, scene=scene: run_scene(scene, members, seed), range(1, runs + 1)))
            results = [r["measured"] for r in reports]
            medians = [r["known_s"]["median"] for r in results if r["known_s"]["notices"]]
            high = [r["known_s"]["p99"] for r in results if r["known_s"]["notices"]]
            agreed = [r["agreed_s"] for r in results if r["agreed_s"] is not None]
            print(f"| {scene} | {runs} | {sum(len(r['violations']) for r in reports)} | "
                  f"{mean_and_interval(medians)}, {quantile(high, 1.0):.2f} | "
                  f"{mean_and_interval(agreed)}, at most {max(agreed):.1f} | "
                  f"{statistics.mean(r['wrong_suspicions'] for r in results):.1f}, "
                  f"{statistics.mean(r['wrong_losses'] for r in results):.1f} | "
                  f"{mean_and_interval([r['worth'] for r in results])} |", flush=True)


# Virtual time

class MembersWithoutStallDetection(Members):
    """Members without stall detection and local health, which run due timers before they handle a message."""

    def _check_stall(self, now: int) -> None:
        self.now = max(self.now, now)
        self.stall_detector.due = 0
        self.local_health.score = 0

    def receive(self, *arguments: Any) -> None:
        self.tick(arguments[-1])
        super().receive(*arguments)


def detect(job: tuple[int, int]) -> dict[str, float]:
    """Kills one member and returns the seconds until the first, median and last member considers it lost."""
    count, seed = job
    fleet = FleetSimulation(count, seed, converged=True)
    fleet.run(5)
    messages, size, stream_bytes = fleet.messages, fleet.bytes, fleet.stream_bytes
    fleet.run(10)
    rate = (fleet.messages - messages) / count / 10
    volume = (fleet.bytes - size + fleet.stream_bytes - stream_bytes) / count / 10
    first_event, killed_at = len(fleet.events), fleet.clock.now
    fleet.apply(Fault(0, "kill", [f"m{count - 1}"]))
    agreed = fleet.run_until_agreed(90, 0.05)
    times = [(event[0] - killed_at) / SECOND for event in fleet.events[first_event:] if event[2] == "lost"]
    return {"count": count, "first": min(times), "median": statistics.median(times), "last": max(times),
            "agreed": agreed or math.nan, "messages": rate, "bytes": volume, "wrong": fleet.false_accusations["lost"]}


@app.command()
def virtual(seeds: int = 10, sizes: str = "10,100,300,1000,3000", at_once: int = 6) -> None:
    """Measures detection time, messages and bytes for several sizes of the fleet."""
    print("| members | first detects, s | half detect | all detect | messages per member and second | bytes "
          "| false losses |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(at_once) as pool:
        for count in map(int, sizes.split(",")):
            results = list(pool.map(detect, [(count, seed) for seed in range(1, seeds + 1)]))
            print(f"| {count} | " + " | ".join(mean_and_interval([r[key] for r in results]) for key in (
                "first", "median", "last", "messages", "bytes")) + f" | {sum(r['wrong'] for r in results):.0f} |",
                flush=True)


def slow_run(job: tuple[int, int, bool, float]) -> tuple[float, float, float]:
    """Pauses one member in twenty again and again and returns the false accusations per member and hour.

    A paused member runs for 20 to 100 ms and is suspended for 0.1 to 0.9 s. Links take 20 to 60 ms. Returns the
    rates of healthy members suspected, healthy members considered lost and paused members considered lost.
    """
    count, seed, detects_stalls, seconds = job
    fleet = FleetSimulation(count, seed, converged=True,
                            members_class=Members if detects_stalls else MembersWithoutStallDetection)
    rng = random.Random(seed)

    def pause(node: Node) -> None:
        duration = rng.uniform(0.1, 0.9)
        fleet.pause(node, int(duration * SECOND))
        fleet.clock.call_at(fleet.clock.now + int((duration + rng.uniform(0.02, 0.1)) * SECOND), lambda: pause(node))
    fleet.apply(Fault(0, "delay", list(fleet.nodes), amount=0.02, jitter=0.04))
    paused = [node for number, node in enumerate(fleet.nodes.values()) if number % 20 == 7]
    for node in paused:
        fleet.clock.call_at(fleet.clock.now + int(rng.uniform(0, 4) * SECOND), lambda node=node: pause(node))
    fleet.run(seconds)
    names = {node.name for node in paused}
    hours = count * seconds / 3600
    suspected = sum(event[2] == "suspect" and event[3] not in names for event in fleet.events)
    lost = sum(event[2] == "lost" and event[3] not in names for event in fleet.events)
    paused_lost = sum(event[2] == "lost" and event[3] in names for event in fleet.events)
    return suspected / hours, lost / hours, paused_lost / hours


@app.command()
def slow(seeds: int = 10, sizes: str = "20,100,300", seconds: float = 120.0, at_once: int = 6) -> None:
    """Measures false accusations while one member in twenty is slow, with and without stall detection."""
    print("| members | stall detection | healthy members suspected, per member and hour | healthy members "
          "considered lost | slow members considered lost |\n| --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(at_once) as pool:
        for count in map(int, sizes.split(",")):
            for detects_stalls in (True, False):
                rates = list(pool.map(slow_run, [(count, seed, detects_stalls, seconds)
                                                 for seed in range(1, seeds + 1)]))
                print(f"| {count} | {'yes' if detects_stalls else 'no'} | " + " | ".join(
                    mean_and_interval([row[column] for row in rates]) for column in range(3)) + " |", flush=True)


# Hostile datagrams

@app.command("bytes")
def hostile(many: int = 100_000) -> None:
    """Sends mutated, random, replayed and oversized datagrams to one agent of three and prints what changed."""
    import structlog

    from hollystage.decisions.membership.records import MemberStatus, Stage
    from hollystage.fleet.agent import Agent
    from hollystage.service.counters import Counters
    from hollystage.service.driver import clock

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    key, agents = bytes(range(32)), []
    for number in range(3):
        address = f"127.0.9.{number + 1}:7400"
        agents.append(Agent(f"a{number}", "z", address, address, ["127.0.9.1:7400"], key, "test", Parameters(), 1,
                            clock() // 1000, lambda: MemberStatus(stage=Stage.SERVING), lambda boot: None, clock,
                            Counters(), structlog.get_logger()))
    for agent in agents:
        for task in (agent.run_datagrams, agent.accept_streams, agent.run_syncs):
            threading.Thread(target=task, daemon=True).start()
    captured: list[bytes] = []
    target, original_send = agents[0], agents[1].sockets.send

    def capture(address: str, data: bytes) -> bool:
        if address == target.bind:
            captured.append(data)
        return original_send(address, data)
    agents[1].sockets.send = capture  # type: ignore[method-assign]
    while len(captured) < 20 or len(target.view.living()) < 3:
        time.sleep(0.05)
    rng, memory_mb = random.Random(1), resident_mb()
    beliefs = sorted((r.name, r.boot, r.belief) for r in target.view.living())
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    started_at, cpu = time.monotonic(), time.process_time()
    for number in range(many):
        data = bytearray(rng.choice(captured))
        match number % 5:
            case 0:
                data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            case 1:
                data = data[:rng.randrange(len(data))]
            case 2:
                data = bytearray(rng.randbytes(rng.randrange(1, 1200)))
            case 3:
                data += rng.randbytes(1200)
        sock.sendto(data, target.sockets.bind)
        if number % 50 == 49:
            time.sleep(0.002)
    time.sleep(1)
    elapsed, cpu = time.monotonic() - started_at, time.process_time() - cpu
    after = sorted((r.name, r.boot, r.belief) for r in target.view.living())
    counts = {name: count for name, count in target.counters.read().items() if name.startswith("fleet.refused")}
    print(f"{many} datagrams in {elapsed:.1f} s: beliefs "
          f"{'unchanged' if beliefs == after else f'{beliefs} -> {after}'}; "
          f"refused {counts}; memory {memory_mb:.1f} to {resident_mb():.1f} MB; CPU with sender {cpu:.1f} s; "
          f"threads alive {threading.active_count()}")
    os._exit(0 if beliefs == after else 1)


def resident_mb() -> float:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


# CPU cost of an RPC

def process_cpu_s(pid: int) -> float:
    """Returns the CPU time of all threads of a process, including ended ones, to the nanosecond.

    Uses the clock that clock_getcpuclockid(3) returns for the process.
    """
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e9


@app.command()
def cost(blocks: int = 6, seconds: float = 8.0, rate: float = 200.0, before: str = "") -> None:
    """Measures CPU time and p99 of an RPC alone, in a fleet of 12, and with an earlier version (--before)."""
    from hollystage.standins.caller import LoadGenerator, Traffic
    from hollystage.standins.fleet.faults import Schedule
    from hollystage.standins.fleet.rig import Load as Machine
    from hollystage.standins.fleet.rig import Rig
    from hollystage.standins.interpreter import SimulatedInterpreter
    from hollystage.standins.services import ControlPlane, FixedLatencyLedger

    folder = tempfile.mkdtemp(prefix="hollystage-cost-")
    last = max(os.sched_getaffinity(0))
    os.sched_setaffinity(0, os.sched_getaffinity(0) - {last})
    rig = Rig(Schedule(members=12), folder, Machine(rate=1.0))
    rig._start_standins()
    worker = SimulatedInterpreter(4, {"rate-lookup": 0.01, "car-hold": 0.01})
    ledger, control = FixedLatencyLedger(0.001), ControlPlane()
    results: dict[str, list[tuple[float, float]]] = {}
    kinds = ["alone", "fleet of 12", *(["before"] if before else [])]
    for name in rig.names[1:]:
        rig.start_member(name)

    def plan(fleet: bool) -> str:
        text = [line for line in rig.plan("m0").splitlines()]
        replacements = {"listener(": 'listener("127.0.8.1:8080")',
                        "interpreter(": f'interpreter("{worker.address[0]}:{worker.address[1]}")',
                        "control(": f'control("{control.address[0]}:{control.address[1]}")',
                        "ledger(": f'ledger("main", "{ledger.address[0]}:{ledger.address[1]}")'}
        text = [next((new for old, new in replacements.items() if line.startswith(old)), line) for line in text]
        if not fleet:
            fleet_line = next(n for n, line in enumerate(text) if line.startswith("fleet("))
            text = text[:fleet_line]
        return "\n".join(text).replace(", promises = True", "") + "\n"  # a key that earlier versions lack

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
            os.sched_setaffinity(process.pid, {last})  # no other process is started there
            try:
                while process.poll() is None:
                    try:
                        socket.create_connection(("127.0.8.1", 8080), 1).close()
                        break
                    except OSError:
                        time.sleep(0.05)
                time.sleep(2)
                traffic = [Traffic("rate-lookup", rate * 0.66, 2.0), Traffic("car-hold", rate * 0.34, 2.1, True)]
                load = LoadGenerator(("127.0.8.1", 8080), traffic, block)
                used = process_cpu_s(process.pid)
                load.start()
                time.sleep(seconds)
                load.stop()
                used = process_cpu_s(process.pid) - used
                sent = sum(result.sent for result in load.results.values())
                latencies = [latency for result in load.results.values() for latency in result.latencies_s]
                results.setdefault(kind, []).append((used / sent * 1e6, quantile(latencies, 0.99) * 1000))
            finally:
                process.terminate()
                process.wait(10)
    rig.shut_down()
    print("| instance | CPU per RPC, us | p99, ms |\n| --- | --- | --- |")
    for kind in kinds:
        print(f"| {kind} | {mean_and_interval([row[0] for row in results[kind]])} | "
              f"{mean_and_interval([row[1] for row in results[kind]])} |")
    base = [row[0] for row in results["alone"]]
    for kind in kinds[1:]:
        overhead = [row[0] / alone - 1 for row, alone in zip(results[kind], base, strict=True)]
        print(f"{kind} compared with alone, CPU: {100 * statistics.mean(overhead):+.1f}% ± "
              f"{100 * 2.0 * statistics.stdev(overhead) / math.sqrt(len(overhead)):.1f}")
    os._exit(0)


if __name__ == "__main__":
    app()
