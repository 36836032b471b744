"""Stand-ins for the interpreter: one that a test controls, and one that runs RPCs for random times."""
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

from .server import Address, StandInServer, wait_until


class Interpreter(StandInServer):
    """An interpreter that records commands and keeps its notices for reconnecting instances.

    A new connection gets the banner and all notices after the offset that the instance names in CONNECT. With `auto`,
    each run ends successfully as soon as it is requested. `fragment_bytes` splits each line after that many bytes; 0
    sends whole lines. While `responsive` is false, TOP and SMOKE get no reply. With an empty `banner`, none is sent
    and each command gets an ERROR.
    """

    def __init__(self, auto: bool = True, banner: str = "old", address: Address | None = None) -> None:
        self.auto, self.banner, self.fragment_bytes = auto, banner, 0
        self.notices: list[dict[str, Any]] = []
        self.lock = threading.Lock()
        self.sock: socket.socket
        self.offset = 0
        self.responsive, self.load = True, [0.1, 0.0]
        super().__init__(address=address)

    def serve(self, sock: socket.socket) -> None:
        """Handles the commands of one connection until it ends."""
        lines = sock.makefile("rb")
        for line in lines:
            command = json.loads(line)
            with self.lock:
                self.record_command(command)
                if command["cmd"] == "CONNECT":
                    self.sock, self.offset = sock, command["offset"]
                    self.send_banner(self.banner)
                elif not self.banner:
                    self.write_notice({"cmd": "ERROR", "result": command["cmd"], "req": command.get("token", "")})
                elif command["cmd"] == "TOP" and self.responsive:
                    self.write_notice({"cmd": "TOPS", "token": command["token"], "load": self.load})
                elif command["cmd"] == "SMOKE" and self.responsive:
                    self.write_notice({"cmd": "SMOKED", "token": command["token"], "result": "good"})
            self.handle_command(command)

    def record_command(self, command: dict[str, Any]) -> None:
        """Records a command for `commands`."""
        self.received.append(command)

    def handle_command(self, command: dict[str, Any]) -> None:
        """Handles a command after it was recorded, without the lock."""
        if command["cmd"] == "APPLY" and self.auto:
            self.end(command["req"], b"ran " + base64.b64decode(command["payload"]))

    def send_banner(self, banner: str) -> None:
        """Sends this banner and all notices after the offset of the last CONNECT; sends nothing if it is empty."""
        self.banner = banner
        if banner:
            for notice in ({"cmd": "BANNER", "result": banner, "elapsed_ms": 0}, *self.notices[self.offset:]):
                self.write_notice(notice)

    def write_notice(self, notice: dict[str, Any]) -> None:
        """Writes a notice to the connection without keeping it. A closed connection is ignored."""
        data = json.dumps(notice).encode() + b"\n"
        for part in (data[:self.fragment_bytes], data[self.fragment_bytes:]) if self.fragment_bytes else (data,):
            with contextlib.suppress(OSError):
                self.sock.sendall(part)
            time.sleep(0.01 if self.fragment_bytes else 0)

    def send_notice(self, cmd: str, req: str, payload: bytes = b"", **fields: Any) -> None:
        """Keeps a notice under the next offset and sends it."""
        with self.lock:
            self.notices.append({"cmd": cmd, "offset": len(self.notices) + 1, "req": req,
                                 "payload": base64.b64encode(payload).decode()} | fields)
            self.write_notice(self.notices[-1])

    def end(self, req: str, payload: bytes = b"", result: str = "good", elapsed_ms: float = 5.5) -> None:
        """Sends the VALUE notice that ends a run."""
        self.send_notice("VALUE", req, payload, result=result, elapsed_ms=elapsed_ms)

    def commands(self, cmd: str) -> list[dict[str, Any]]:
        """Returns the received commands of one kind."""
        with self.lock:
            return [command for command in self.received if command["cmd"] == cmd]

    def await_runs(self, count: int = 1) -> list[str]:
        """Waits until at least this many runs were requested and returns the request ids of all of them."""
        commands = wait_until(lambda: len(self.commands("APPLY")) >= count and self.commands("APPLY"))
        return [command["req"] for command in commands or []]


class SimulatedInterpreter(Interpreter):
    """An interpreter that runs RPCs on `cores` threads for random times.

    Args:
        work_s: mean run time of each method in seconds; 0.01 for others. Times are lognormal with sigma 0.5.
        calling_methods: methods whose runs make one downstream call half way
        cold_speed: speed right after a reset, as a share of full speed
        warm_up_s: seconds from a reset until full speed

    `run_counts` counts runs by RPC body, so that duplicate runs can be detected. `slowdown` multiplies run times.
    """

    def __init__(self, cores: int, work_s: Mapping[str, float], calling_methods: frozenset[str] = frozenset(),
                 seed: int = 1, address: Address | None = None, cold_speed: float = 1.0,
                 warm_up_s: float = 0.0) -> None:
        self.cores, self.work_s, self.calling_methods = cores, work_s, calling_methods
        self.cold_speed, self.warm_up_s, self.slowdown, self.started_at = (
            cold_speed, warm_up_s, 1.0, time.monotonic() - warm_up_s)
        self.rng = random.Random(seed)
        self.run_queue: SimpleQueue[dict[str, Any] | None] = SimpleQueue()
        self.active_runs: dict[str, dict[str, Any]] = {}  # by request id
        self.run_counts: dict[bytes, int] = {}
        self.busy_threads = 0
        super().__init__(auto=False, banner="new", address=address)
        for _ in range(cores):
            threading.Thread(target=self._run_worker, daemon=True).start()

    def record_command(self, command: dict[str, Any]) -> None:
        """Records nothing, so that memory stays bounded."""
        pass

    def reset(self) -> None:
        """Discards all runs and notices, drops the connections and continues at the cold speed."""
        with self.lock:
            self.active_runs.clear()
            self.notices.clear()
            self.started_at = time.monotonic()
        self.drop_connections()

    def duration_factor(self) -> float:
        """Returns the factor by which run times are longer at present."""
        warm = min(1.0, (time.monotonic() - self.started_at) / self.warm_up_s) if self.warm_up_s else 1.0
        return self.slowdown / (self.cold_speed + (1 - self.cold_speed) * warm)

    def on_run_started(self, request_id: str, body: bytes) -> None:
        """Counts a run that was requested."""
        self.run_counts[body] = self.run_counts.get(body, 0) + 1

    def handle_command(self, command: dict[str, Any]) -> None:
        """Starts, stops or resumes a run, or updates the load that the next TOP reports."""
        request_id = command.get("req", "")
        run = self.active_runs.get(request_id)
        match command["cmd"]:
            case "APPLY" if run is None:
                body = base64.b64decode(command["payload"])
                self.on_run_started(request_id, body)
                duration = self.work_s.get(command["method"], 0.01) * self.rng.lognormvariate(-0.125, 0.5)
                parts = 2 if command["method"] in self.calling_methods else 1
                run = self.active_runs[request_id] = {"ident": request_id, "body": body, "left": parts,
                                                      "span": duration / parts, "begun": time.monotonic(),
                                                      "stopped": False}
                self.run_queue.put(run)
            case "BREAK" if run is not None:
                run["stopped"] = True
                if run.pop("waits", False):
                    self.run_queue.put(run)
            case "RESOLVE" | "STUB" if run is not None and run.pop("waits", False):
                self.run_queue.put(run)
            case "TOP":
                self.load = [min(1.0, self.busy_threads / self.cores),
                             float(self.busy_threads + self.run_queue.qsize())]

    def _run_worker(self) -> None:
        while (run := self.run_queue.get()) is not None:
            self.busy_threads += 1
            if not run["stopped"]:
                time.sleep(run["span"] * self.duration_factor())
            self.busy_threads -= 1
            run["left"] -= 1
            request_id = run["ident"]
            if self.active_runs.get(request_id) is not run:  # discarded by a reset
                continue
            if run["left"] and not run["stopped"]:
                run["waits"] = True
                self.send_notice("AWAIT", request_id, b"for " + run["body"])
                continue
            del self.active_runs[request_id]
            elapsed_ms = (time.monotonic() - run["begun"]) * 1000
            if run["stopped"]:
                self.end(request_id, b"", "cut", elapsed_ms)
            else:
                self.end(request_id, b"ran " + run["body"], "good", elapsed_ms)

    def close(self) -> None:
        """Ends all threads and closes the server."""
        for _ in range(self.cores):
            self.run_queue.put(None)
        super().close()
