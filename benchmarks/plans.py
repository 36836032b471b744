"""Benchmarks of plans: check time by size of the plan, and the cost of a compiled plan when `serve` starts.

    python benchmarks/plans.py

Checks 1,000 and 10,000 routes, written one by one and by a loop. Then starts the program with the platform's JSON
alone and with an additional compiled plan, twenty times each in alternation, and compares the time to the first
answer and the memory.
"""
from __future__ import annotations

import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hollystage.language.sources import MemoryFolder  # noqa: E402
from hollystage.plan.compiled import dump  # noqa: E402
from hollystage.plan.read import ReadResult, load, read  # noqa: E402
from hollystage.standins.caller import Caller  # noqa: E402
from hollystage.standins.interpreter import Interpreter  # noqa: E402
from hollystage.standins.server import ScriptedHttpServer, free_address, reply  # noqa: E402

START_COUNT = 20


def written(count: int) -> str:
    """Returns a plan with one line per route."""
    rows = [f'route(object = "seat-{n:05}*", ledger = "main", pool = "p{n % 9}")' for n in range(count)]
    return "\n".join([*_pools(), *rows])


def looped(count: int) -> str:
    """Returns a plan that makes its routes in a loop."""
    return "\n".join([*_pools(), f"for at in range({count}):",
                      '    route(object = "seat-" + str(100000 + at) + "*", pool = "p" + str(at % 9))'])


def _pools() -> list[str]:
    return ['ledger("main", "127.0.0.1:7700")', *(f'pool("p{n}", guaranteed = 1%)' for n in range(9))]


def check(text: str) -> tuple[float, ReadResult]:
    """Checks a plan and returns the seconds that it took, and the result."""
    started_at = time.perf_counter()
    result = read(MemoryFolder({"a.star": text.encode()}), "a.star")
    return time.perf_counter() - started_at, result


def growth() -> None:
    """Compares the check times of 1,000 and 10,000 routes."""
    check(written(10))
    for make_plan in (written, looped):
        times = {count: min(check(make_plan(count))[0] for _ in range(3)) for count in (1_000, 10_000)}
        assert not check(make_plan(1_000))[1].diagnostics
        print(f"check, {make_plan.__name__:8} 1,000 routes {times[1000]:.3f} s, 10,000 routes {times[10000]:.3f} s, "
              f"{times[10000] / times[1000] / 10:.2f} of linear growth")


def starts() -> None:
    """Compares starts with and without a compiled plan."""
    interpreter, ledger, control = Interpreter(), ScriptedHttpServer(reply(200, b"x")), ScriptedHttpServer(reply(204))
    with tempfile.TemporaryDirectory() as folder:
        plan = load(str(ROOT / "examples" / "counter.star"))
        json_config = plan.configuration() | {"vm": _text(interpreter.address), "ledger": _text(ledger.address),
                                              "control": _text(control.address)}
        config, built = pathlib.Path(folder, "config.json"), pathlib.Path(folder, "plan")
        built.write_bytes(dump(plan, "benchmark"))
        rows: dict[str, list[tuple[float, float]]] = {"JSON alone": [], "with a plan": []}
        for _ in range(START_COUNT):
            for name, arguments in (("JSON alone", []), ("with a plan", ["--plan", str(built)])):
                listen = free_address()
                config.write_text(json.dumps(json_config | {"listen": _text(listen)}))
                rows[name].append(_start(config, arguments, listen))
    for name, row in rows.items():
        times, sizes = [seconds for seconds, _ in row], [size for _, size in row]
        print(f"start, {name:12} {statistics.median(times) * 1000:.0f} ms (sd {statistics.stdev(times) * 1000:.0f}), "
              f"{statistics.median(sizes) / 1024:.2f} MB (sd {statistics.stdev(sizes) / 1024:.2f})")


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _start(config: pathlib.Path, arguments: list[str], listen: tuple[str, int]) -> tuple[float, float]:
    """Starts the program; returns the seconds to the first answer, and the resident memory (KB) at that time."""
    started_at = time.perf_counter()
    process = subprocess.Popen([sys.executable, "-m", "hollystage", "serve", "--config", str(config), *arguments],
                               cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        while True:
            try:
                caller = Caller(listen)
                break
            except OSError:
                if time.perf_counter() - started_at > 10:
                    raise
                time.sleep(0.002)
        assert caller.request("rates").status == 200
        seconds = time.perf_counter() - started_at
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        return seconds, float(status.split("VmRSS:")[1].split()[0])
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    growth()
    starts()
