"""What the cases 6 to 10 share: the program's processes, client stubs that wait for answers, and the record.

Stand-ins of the project (`hollystage.standins`) take the place of the interpreter, the ledger and the control plane.
"""
from __future__ import annotations

import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, ROOT)
from hollystage.service.buffers import IncompleteMessageError, Stream  # noqa: E402
from hollystage.service.http import HttpError, encode_request, read_response  # noqa: E402
from hollystage.standins.interpreter import SimulatedInterpreter  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
SOCKET_SLACK_S = 0.05  # "each time limit is 50 ms longer" (PROTOCOL.md)
Address = tuple[str, int]


def text(address: Address) -> str:
    """Writes an address as the configuration has it."""
    return f"{address[0]}:{address[1]}"


class Method(NamedTuple):
    """A method of a site: work, latency target and deadline in seconds; `calls`: its runs make one call."""

    share: float
    work_s: float
    target_s: float
    deadline_s: float
    calls: bool
    skip_worth: float
    worth: float


class Site(NamedTuple):
    """A small deployment: figures from a site file, and within its ranges where it has any."""

    methods: dict[str, Method]
    keyed: str
    window_s: float
    slack_s: float
    marks_retry: bool
    say: str
    run_factor: float

    def settings(self) -> dict[str, Any]:
        """Returns the object `settings` of the platform's JSON."""
        methods = self.methods.items()
        return {
            "Callers": {"MarksRetry": self.marks_retry}, "Family": "server", "PeersTotal": 12, "WorthBy": "request",
            "Domain": {"CallsOut": 8.0, "CancelSeen": True, "ClassCalls": [one.calls for _, one in methods],
                       "ClassSkipWorth": [one.skip_worth for _, one in methods], "Cold": False, "Cores": 6,
                       "DepWindowUs": 5000000, "DependsOn": "shared", "Gauges": ["cpu_busy", "runnable"],
                       "Halt": "abort", "HeardForUs": 1000000, "IdleUs": 30000000, "KeyKb": 20.0,
                       "PassesDeadline": True, "RamKb": 40000.0, "Readiness": True, "RunFactor": self.run_factor,
                       "Say": self.say, "ShareForUs": 0, "StaysForUs": 200000, "Upstreams": 4},
            "Limits": {"MaxRetryAfterUs": 1000000, "RetryAfter": True},
            "Profiles": [{"Name": name, "PromiseUs": int(one.target_s * 1e6), "GiveUpUs": int(one.deadline_s * 1e6),
                          "Repeat": "by_key" if name == self.keyed else "repeatable", "Value": one.worth,
                          "WindowUs": int(self.window_s * 1e6) if name == self.keyed else 0}
                         for name, one in methods],
            "Rules": {"ColdFrom": 0.25, "FallMultiple": 5.0, "GraceToAnswerUs": int(self.slack_s * 1e6),
                      "StopSendingWithinUs": 2000000, "TipAfterUs": 1500000, "WarmAfterUs": 17000000},
            "Tenants": [], "Tier": 0, "Zone": 0}


JACKSON = Site({"rate-lookup": Method(0.66, 0.37, 2.5, 8.3, True, 0.3, 1), "car-hold": Method(
    0.34, 0.16, 0.83, 2.1, False, 0.0, 2)}, "car-hold", 8.0, 0.08, True, "threshold", 8.0)
NAIROBI = Site({"map-extract": Method(0.51, 0.37, 3.2, 11.0, True, 0.6, 1), "route-plan": Method(
    0.29, 0.27, 2.1, 5.3, False, 0.0, 2), "licence-buy": Method(0.20, 0.16, 1.6, 5.3, True, 0.0, 5)},
    "licence-buy", 15.951, 0.06, False, "share_of", 4.0)


def instance_address(number: int) -> Address:
    """Returns a free address for an instance, on a loopback host that no stand-in uses: none can take it before."""
    with socket.create_server((f"127.0.0.{10 + number}", 0)) as sock:
        name = sock.getsockname()
        return name[0], name[1]


class CannotRunError(Exception):
    """The case could not be run; says nothing about the rule."""


class Case:
    """One run of a case: its temporary folder, its processes and its record."""

    def __init__(self, folder: str) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.started_at = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")  # noqa: SIM115
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.run_command: str = tomllib.load(file)["run"]
        self.note("trouble", on=self.trouble)

    def note(self, event: str, **fields: Any) -> None:
        """Adds a line to the record, with the time since the start of the case."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started_at:9.4f} {event:10}"
                            + "".join(f" {name}={value}" for name, value in fields.items()) + "\n")

    def path(self, name: str, content: str | bytes) -> str:
        """Writes a file into the temporary folder, as a whole, and returns its path."""
        path = os.path.join(self.folder, name)
        with open(path + ".new", "wb") as file:
            file.write(content if isinstance(content, bytes) else content.encode())
        os.chmod(path + ".new", 0o600)
        os.rename(path + ".new", path)
        return path

    def start(self, name: str, **environment: str) -> subprocess.Popen[bytes]:
        """Starts an instance with the command `run` of the deploy file."""
        self.note("start", instance=name)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(["/bin/sh", "-c", self.run_command], cwd=ROOT, stdin=subprocess.DEVNULL,
                                       stdout=log, stderr=log, env=os.environ | environment)
        self.processes.append(process)
        return process

    def configuration(self, site: Site, name: str, listen: Address, vm: Address, control: Address,
                      ledger: Address) -> str:
        """Writes the platform's JSON for an instance and returns its path."""
        return self.path(name + ".json", json.dumps({
            "name": name, "listen": text(listen), "vm": text(vm), "control": text(control), "ledger": text(ledger),
            "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": site.settings()}))

    def signal(self, name: str, process: subprocess.Popen[bytes], number: int) -> None:
        """Sends a signal to an instance that this case started."""
        self.note("signal", instance=name, number=int(number))
        process.send_signal(number)

    def finish(self, broken: list[str], summary: str) -> int:
        """Writes the verdict and returns the exit code."""
        for line in broken[:20]:
            self.note("broken", what=line)
        self.note("verdict", rule="broken" if broken else "held")
        print(f"{summary}; {len(broken)} broken" + (f", first: {broken[0]}" if broken else ""))
        return BROKEN if broken else HELD

    def close(self) -> None:
        """Ends all processes that the case started, and removes the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(body: Callable[[Case], int], folder: str) -> None:
    """Runs a case and ends this process with its exit code; threads of stand-ins do not delay that."""
    case = Case(folder)
    code = NOT_RUN
    try:
        code = body(case)
    except (CannotRunError, AssertionError, OSError) as error:
        case.note("not run", why=error)
        print(f"the case could not run: {error}")
    finally:
        case.close()
    sys.stdout.flush()
    os._exit(code)


def wait_ready(address: Address, timeout: float = 20.0) -> None:
    """Waits until the health check of an instance is good.

    Raises:
        CannotRunError: it did not become good in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            with socket.create_connection(address, 1) as sock:
                sock.sendall(b"GET /status/live HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                if read_response(Stream(sock, bytearray(1 << 14)), time.monotonic() + 2).status == 200:
                    return
        except (OSError, IncompleteMessageError, HttpError):
            pass
        time.sleep(0.05)
    raise CannotRunError("an instance was not ready in time")


class Interpreter(SimulatedInterpreter):
    """The project's interpreter, which also knows which requests are over, as PROTOCOL.md says.

    It starts nothing for such a request (`gone`), and ends its run when that waits at a call or reaches one (`cut`).
    """

    def __init__(self, *arguments: Any, **named: Any) -> None:
        self.over: set[str] = set()
        super().__init__(*arguments, **named)

    def request_over(self, request_id: str) -> None:
        """The request was answered, or its client stub has stopped waiting."""
        self.over.add(request_id)
        one = self.active_runs.get(request_id)
        if one is not None and one.pop("waits", False):
            self._cut(one)

    def handle_command(self, command: dict[str, Any]) -> None:
        request_id = command.get("req", "")
        if command["cmd"] == "APPLY" and request_id in self.over and request_id not in self.active_runs:
            self.end(request_id, b"", "gone", 0)
        else:
            super().handle_command(command)

    def send_notice(self, cmd: str, req: str, payload: bytes = b"", **fields: Any) -> None:
        one = self.active_runs.get(req)
        if cmd == "AWAIT" and req in self.over and one is not None and one.pop("waits", False):
            self._cut(one)
        else:
            super().send_notice(cmd, req, payload, **fields)

    def _cut(self, one: dict[str, Any]) -> None:
        one["stopped"] = True
        self.run_queue.put(one)


def interpreter_of(site: Site) -> Interpreter:
    """Returns an interpreter with six cores for the methods of a site."""
    return Interpreter(6, {name: one.work_s for name, one in site.methods.items()},
                       frozenset(name for name, one in site.methods.items() if one.calls))


class Traffic:
    """The usual tries of a site, spread evenly over time."""

    def __init__(self, site: Site, stub: Stub, rate: float) -> None:
        self.site, self.stub, self.rate, self.count = site, stub, rate, 0
        self.next_at = dict.fromkeys(site.methods, 0.0)

    def send_due(self, elapsed: float) -> None:
        """Sends the tries that are due `elapsed` seconds after the start."""
        for name, one in self.site.methods.items():
            if elapsed >= self.next_at[name]:
                self.next_at[name] += 1 / (self.rate * one.share)
                self.count += 1
                body = f"{name}-{self.count}"
                self.stub.send_later(name, body.encode(), one.deadline_s, key=body if name == self.site.keyed else "")


@dataclass
class Answer:
    """How one try ended. `status` is 0 if no whole answer came; `age_s` counts from X-Request-Start."""

    method: str
    body: bytes
    status: int
    result: bytes
    age_s: float
    due_s: float
    why: str = ""

    @property
    def in_time(self) -> bool:
        """Whether a final answer came by the due time, with the slack of sockets."""
        return self.status != 0 and self.age_s <= self.due_s


class Stub:
    """A client stub: sends tries, one at a time on a connection, and keeps idle connections."""

    def __init__(self, case: Case, address: Address, vm: Interpreter, number: int, slack_s: float) -> None:
        self.case, self.address, self.vm, self.number, self.slack_s = case, address, vm, number, slack_s
        self.lock, self.idle, self.count = threading.Lock(), list[socket.socket](), 0
        self.answers: list[Answer] = []
        self.threads: list[threading.Thread] = []

    def send(self, method: str, body: bytes, timeout_s: float, key: str = "", retry: bool = False) -> Answer:
        """Sends one try and waits for its answer, 2 s longer than the rule allows."""
        with self.lock:
            self.count += 1
            request_id = f"{self.number:04x}{os.getpid() & 0xFFFF:04x}{self.count:08x}"
        due_s = timeout_s + self.slack_s + SOCKET_SLACK_S
        fields = {"X-Request-Id": request_id, "X-Caller": str(self.number), "X-Rank": "0.5000",
                  "X-Timeout-Ms": str(int(timeout_s * 1000)), "X-Memory-Kb": "24.5"}
        fields |= {"Idempotency-Key": key} if key else {}
        fields |= {"X-Retry": "1"} if retry else {}
        begun, status, result, why, sock = time.monotonic(), 0, b"", "", None
        try:
            sock = self._connection()
            fields["X-Request-Start"] = str(int(time.time() * 1000))
            begun = time.monotonic()
            self.case.note("sent", id=request_id, method=method, body=body.decode(), retry=int(retry))
            sock.sendall(encode_request("POST", f"/svc/{method}", "s", fields, body))
            response = read_response(Stream(sock, bytearray(1 << 14)), begun + due_s + 2)
            status, result = response.status, response.body
            if response.keep_alive:
                with self.lock:
                    self.idle.append(sock)
                sock = None
        except (OSError, IncompleteMessageError, HttpError) as error:
            why = type(error).__name__
        finally:
            if sock is not None:
                sock.close()
        self.vm.request_over(request_id)
        answer = Answer(method, body, status, result, time.monotonic() - begun, due_s, why)
        self.case.note("answered", id=request_id, status=status, age_ms=int(answer.age_s * 1000),
                       result=result.decode("latin-1"), why=why)
        with self.lock:
            self.answers.append(answer)
        return answer

    def send_later(self, *arguments: Any, **named: Any) -> None:
        """Sends one try from a thread of its own."""
        thread = threading.Thread(target=self.send, args=arguments, kwargs=named, daemon=True)
        self.threads.append(thread)
        thread.start()

    def wait(self) -> list[Answer]:
        """Waits for all answers and returns them."""
        for thread in self.threads:
            thread.join()
        return self.answers

    def _connection(self) -> socket.socket:
        """Returns an idle connection that the instance has not closed, or a new one."""
        while True:
            with self.lock:
                sock = self.idle.pop() if self.idle else None
            if sock is None:
                sock = socket.create_connection(self.address, 2)
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                return sock
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return sock
            except OSError:
                pass
            sock.close()
