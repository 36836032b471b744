"""Case 1: a request whose run has just ended is run a second time after its interpreter moved to a new address."""
from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Clients,
    HttpStandIn,
    Instance,
    Interpreter,
    Record,
    Requests,
    accept_report,
    address,
    disrupted,
    free_port,
    run_case,
)

SECONDS, RATE = float(os.environ.get("SECONDS_OF_LOAD", "80")), float(os.environ.get("RATE", "170"))
RELOAD_EVERY_S = float(os.environ.get("RELOAD_EVERY_S", "2.5"))
CORES, WORK_S = 6, {"rate-lookup": 0.03, "car-hold": 0.02}
SETTINGS: dict[str, Any] = {
    "Domain": {"CallsOut": 6.0, "Cores": CORES, "ClassSkipWorth": [0.3, 0.0], "Gauges": ["cpu_busy", "runnable"],
               "Halt": "abort", "IdleUs": 30_000_000, "KeyKb": 6.0, "RamKb": 18_000.0, "RunFactor": 8.0,
               "Say": "threshold", "StaysForUs": 200_000},
    "Limits": {"MaxRetryAfterUs": 1_000_000, "RetryAfter": True},
    "PeersTotal": 3,
    "Profiles": [
        {"Name": "rate-lookup", "Repeat": "repeatable", "Value": 1.0, "PromiseUs": 2_500_000, "GiveUpUs": 8_300_000},
        {"Name": "car-hold", "Repeat": "by_key", "Value": 2.0, "PromiseUs": 830_000, "GiveUpUs": 2_100_000,
         "WindowUs": 8_000_000}],
    "Rules": {"FallMultiple": 5.0, "StopSendingWithinUs": 2_000_000},
}


async def scenario(folder: Path, record: Record) -> tuple[int, str]:
    rng, requests = random.Random(), Requests()
    piece_pause_s = float(os.environ.get("PIECE_PAUSE_S", "0.003"))
    interpreter = Interpreter(requests, record, CORES, lambda name: WORK_S[name] * rng.lognormvariate(-0.18, 0.6))

    async def ledger_answer(first: str, fields: dict[str, str], body: bytes, reader: asyncio.StreamReader) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    interpreter.piece_pause_s = piece_pause_s
    ledger, control = HttpStandIn(ledger_answer), HttpStandIn(accept_report)
    for part in (interpreter, ledger, control):
        await part.start()
    instance = Instance("n1", folder, {
        "name": "n1", "listen": address(free_port()), "vm": address(interpreter.port),
        "ledger": address(ledger.port), "control": address(control.port), "seed": "8c1f30d27a5be964",
        "stop_ms": 3000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": SETTINGS})
    instance.start()
    try:
        if not await instance.ready():
            return NOT_RUN, "the instance did not become ready"
        clients = Clients(instance.port, requests, record, rng)

        def pick() -> tuple[str, float, bool]:
            return ("car-hold", 2.1, True) if rng.random() < 0.34 else ("rate-lookup", 8.3, False)

        async def reload() -> None:
            while disrupted():
                await asyncio.sleep(RELOAD_EVERY_S * rng.uniform(0.8, 1.2))
                await interpreter.move()
                instance.config["vm"] = address(interpreter.port)
                instance.write_config()
                instance.send_signal(signal.SIGHUP)

        reloads = asyncio.create_task(reload())
        started = time.monotonic()
        await clients.load(RATE, SECONDS, pick)
        reloads.cancel()
        await clients.finish()
    finally:
        instance.end()
    keyed = {req for req in interpreter.run_counts if req in requests.keys}
    twice = [req for req in keyed if interpreter.run_counts[req] > 1]
    for req in twice:
        record.write("run twice", req=req, key=requests.keys[req], times=interpreter.run_counts[req])
    others = len([req for req, count in interpreter.run_counts.items() if count > 1]) - len(twice)
    text = (f"{len(twice)} of {len(keyed)} keyed requests that ran were run more than once (and {others} others); "
            f"{interpreter.links} links in {time.monotonic() - started:.0f} s; "
            f"answers {dict(sorted(clients.answers.items()))}")
    if clients.answers.get("200", 0) < 100:
        return NOT_RUN, "hardly anything was served; " + text
    return (BROKEN if twice else HELD), text


if __name__ == "__main__":
    sys.exit(run_case(__file__, scenario))
