"""The interpreter: one that does as it is told, for tests, and one that works on its cores."""
from __future__ import annotations

import base64
import contextlib
import json
import random
import socket
import threading
import time
from collections.abc import Mapping
from queue import SimpleQueue
from typing import Any

from .server import Address, StandIn, until


class Interpreter(StandIn):
    """Keeps its notices and sends those after the offset on a new link. `auto` ends each run at once."""

    def __init__(self, auto: bool = True, banner: str = "old", address: Address | None = None) -> None:
        self.auto, self.banner, self.piece = auto, banner, 0
        self.notices: list[dict[str, Any]] = []
        self.lock = threading.Lock()
        self.sock: socket.socket
        self.offset = 0
        self.top, self.load = True, [0.1, 0.0]
        super().__init__(address=address)

    def serve(self, sock: socket.socket) -> None:
        lines = sock.makefile("rb")
        for line in lines:
            command = json.loads(line)
            with self.lock:
                self.remember(command)
                if command["cmd"] == "CONNECT":
                    self.sock, self.offset = sock, command["offset"]
                    self.come_up(self.banner)
                elif not self.banner:
                    self.write({"cmd": "ERROR", "result": command["cmd"], "req": command.get("token", "")})
                elif command["cmd"] == "TOP" and self.top:
                    self.write({"cmd": "TOPS", "token": command["token"], "load": self.load})
                elif command["cmd"] == "SMOKE" and self.top:
                    self.write({"cmd": "SMOKED", "token": command["token"], "result": "good"})
            self.told(command)

    def remember(self, command: dict[str, Any]) -> None:
        self.heard.append(command)

    def told(self, command: dict[str, Any]) -> None:
        if command["cmd"] == "APPLY" and self.auto:
            self.end(command["req"], b"ran " + base64.b64decode(command["payload"]))

    def come_up(self, banner: str) -> None:
        self.banner = banner
        if banner:
            for notice in ({"cmd": "BANNER", "result": banner, "elapsed_ms": 0}, *self.notices[self.offset:]):
                self.write(notice)

    def write(self, notice: dict[str, Any]) -> None:
        data = json.dumps(notice).encode() + b"\n"
        for part in (data[:self.piece], data[self.piece:]) if self.piece else (data,):
            with contextlib.suppress(OSError):
                self.sock.sendall(part)
            time.sleep(0.01 if self.piece else 0)

    def notice(self, cmd: str, req: str, payload: bytes = b"", **fields: Any) -> None:
        with self.lock:
            self.notices.append({"cmd": cmd, "offset": len(self.notices) + 1, "req": req,
                                 "payload": base64.b64encode(payload).decode()} | fields)
            self.write(self.notices[-1])

    def end(self, req: str, payload: bytes = b"", result: str = "good", elapsed_ms: float = 5.5) -> None:
        self.notice("VALUE", req, payload, result=result, elapsed_ms=elapsed_ms)

    def got(self, cmd: str) -> list[dict[str, Any]]:
        with self.lock:
            return [command for command in self.heard if command["cmd"] == cmd]

    def applied(self, many: int = 1) -> list[str]:
        commands = until(lambda: len(self.got("APPLY")) >= many and self.got("APPLY"))
        return [command["req"] for command in commands or []]


class Worker(Interpreter):
    """Runs on `cores` threads for random times about the mean that each method has (seconds); those in `calls`
    make one call half way. Counts what it ran, by its body: the judge of runs that happened twice. One that was
    just reset works at `cold` of its speed and warms up within `warm_s`; `slow` stretches everything."""

    def __init__(self, cores: int, work_s: Mapping[str, float], calls: frozenset[str] = frozenset(), seed: int = 1,
                 address: Address | None = None, cold: float = 1.0, warm_s: float = 0.0) -> None:
        self.cores, self.work_s, self.calls = cores, work_s, calls
        self.cold, self.warm_s, self.slow, self.begun = cold, warm_s, 1.0, time.monotonic() - warm_s
        self.chance = random.Random(seed)
        self.ready: SimpleQueue[dict[str, Any] | None] = SimpleQueue()
        self.runs: dict[str, dict[str, Any]] = {}  # those that are not over
        self.ran: dict[bytes, int] = {}
        self.busy = 0
        super().__init__(auto=False, banner="new", address=address)
        for _ in range(cores):
            threading.Thread(target=self._work, daemon=True).start()

    def remember(self, command: dict[str, Any]) -> None:
        pass

    def reset(self) -> None:
        """Gone with all it ran and knew, and up again, cold."""
        with self.lock:
            self.runs.clear()
            self.notices.clear()
            self.begun = time.monotonic()
        self.break_off()

    def pace(self) -> float:
        """The factor by which everything takes longer just now."""
        warm = min(1.0, (time.monotonic() - self.begun) / self.warm_s) if self.warm_s else 1.0
        return self.slow / (self.cold + (1 - self.cold) * warm)

    def began(self, ident: str, body: bytes) -> None:
        self.ran[body] = self.ran.get(body, 0) + 1

    def told(self, command: dict[str, Any]) -> None:
        ident = command.get("req", "")
        run = self.runs.get(ident)
        match command["cmd"]:
            case "APPLY" if run is None:
                body = base64.b64decode(command["payload"])
                self.began(ident, body)
                span = self.work_s.get(command["method"], 0.01) * self.chance.lognormvariate(-0.125, 0.5)
                halves = 2 if command["method"] in self.calls else 1
                run = self.runs[ident] = {"ident": ident, "body": body, "left": halves, "span": span / halves,
                                          "begun": time.monotonic(), "stopped": False}
                self.ready.put(run)
            case "BREAK" if run is not None:
                run["stopped"] = True
                if run.pop("waits", False):
                    self.ready.put(run)
            case "RESOLVE" | "STUB" if run is not None and run.pop("waits", False):
                self.ready.put(run)
            case "TOP":
                self.load = [min(1.0, self.busy / self.cores), float(self.busy + self.ready.qsize())]

    def _work(self) -> None:
        while (run := self.ready.get()) is not None:
            self.busy += 1
            if not run["stopped"]:
                time.sleep(run["span"] * self.pace())
            self.busy -= 1
            run["left"] -= 1
            ident = run["ident"]
            if self.runs.get(ident) is not run:  # reset meanwhile
                continue
            if run["left"] and not run["stopped"]:
                run["waits"] = True
                self.notice("AWAIT", ident, b"for " + run["body"])
                continue
            del self.runs[ident]
            spent = (time.monotonic() - run["begun"]) * 1000
            if run["stopped"]:
                self.end(ident, b"", "cut", spent)
            else:
                self.end(ident, b"ran " + run["body"], "good", spent)

    def close(self) -> None:
        for _ in range(self.cores):
            self.ready.put(None)
        super().close()
