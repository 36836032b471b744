"""Stand-ins that follow the protocol page, and a starter for service instances; standard library only, asyncio.

One process holds them all, so that the interpreter knows which requests are open: as on the users' platform, it ends
a run whose request is over, and rejects a command for a request that never came.
"""
from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


# a loopback address of this run's own, so that no other program takes a port between its choice and its use
HOST = f"127.{random.SystemRandom().randrange(16, 250)}.{random.SystemRandom().randrange(1, 250)}.1"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port below those of outgoing connections, since the instance binds it later, perhaps more than once."""
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            with socket.socket(socket.AF_INET, kind) as other:
                if kind != socket.SOCK_STREAM:
                    other.bind((HOST, port))
            return port


def address(port: int) -> str:
    return f"{HOST}:{port}"


def disrupted() -> bool:
    """Whether the disruption is to take place; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: one JSON line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file, self.started_at = open(path, "w", encoding="utf-8"), time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        line = {"t": round(time.monotonic() - self.started_at, 4), "event": event} | fields
        self.file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        self.file.close()


class Requests:
    """All requests that clients wrote: open until they are answered or given up."""

    def __init__(self) -> None:
        self.bodies: dict[str, tuple[str, bytes]] = {}  # by id: class and body
        self.open: set[str] = set()
        self.keys: dict[str, str] = {}  # idempotency key by id, for keyed requests


class Interpreter:
    """Runs requests for `work()` seconds in `segments(class)` parts, with a call between each two of them.

    It handles one command at a time, in the order in which commands arrive on the newest link. A run is counted when
    it starts. The result of a run is made from the request's body.
    """

    def __init__(self, requests: Requests, record: Record, cores: int, work: Callable[[str], float],
                 segments: Callable[[str], int] = lambda name: 1) -> None:
        self.requests, self.record, self.cores, self.work, self.segments = requests, record, cores, work, segments
        self.port, self.notices, self.started_at = 0, [], time.monotonic()
        self.runs: dict[str, dict[str, Any]] = {}
        self.run_counts: dict[str, int] = {}  # by request id
        self.on_resolve: Callable[[str, dict[str, Any], bytes], None] = lambda req, run, payload: None
        self.writer: asyncio.StreamWriter | None = None
        self.links = 0
        self.piece_pause_s = 0.0  # pause between the two pieces in which each notice arrives; 0: in one piece
        self.outgoing: asyncio.Queue[tuple[asyncio.StreamWriter, bytes]] = asyncio.Queue()

    async def start(self) -> None:
        self.sender = asyncio.create_task(self._send())
        await self._listen()

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Moves to a new address; the old one takes nothing new, and a link on it is closed after 1.5 s."""
        old, link = self.server, self.writer
        await self._listen()
        old.close()
        self.record.write("moved", port=self.port, running=len(self.runs))
        if link is not None:
            asyncio.get_running_loop().call_later(1.5, link.close)

    def break_link(self) -> None:
        """Resets the link, as the users' platform does now and then."""
        if self.writer is not None:
            self.record.write("link broken", running=len(self.runs))
            self.writer.transport.abort()
            self.writer = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                command = json.loads(line)
                if command["cmd"] == "CONNECT":
                    if self.writer is not None:
                        self.writer.close()
                    self.writer, self.links = writer, self.links + 1
                    self.record.write("link", offset=command["offset"])
                    self._write({"cmd": "BANNER", "result": "old",
                                 "elapsed_ms": int((time.monotonic() - self.started_at) * 1000)})
                    for notice in self.notices[command["offset"]:]:
                        self._write(notice)
                elif writer is self.writer:
                    self._handle(command)
        if writer is self.writer:
            self.writer = None
        writer.close()

    def _write(self, notice: dict[str, Any]) -> None:
        if self.writer is not None:
            self.outgoing.put_nowait((self.writer, json.dumps(notice).encode() + b"\n"))

    async def _send(self) -> None:
        while True:
            writer, line = await self.outgoing.get()
            if self.piece_pause_s and writer is self.writer:
                writer.write(line[:9])
                await asyncio.sleep(self.piece_pause_s)
                line = line[9:]
            if writer is self.writer:
                writer.write(line)

    def _notice(self, cmd: str, req: str, **fields: Any) -> int:
        offset = len(self.notices) + 1
        self.notices.append({"cmd": cmd, "offset": offset, "req": req} | fields)
        self._write(self.notices[-1])
        return offset

    def _handle(self, command: dict[str, Any]) -> None:
        req, run = command.get("req", ""), self.runs.get(command.get("req", ""))
        payload = base64.b64decode(command.get("payload", ""))
        match command["cmd"]:
            case "TOP":
                running = len([run for run in self.runs.values() if not run["waits"]])
                self._write({"cmd": "TOPS", "token": command["token"],
                             "load": [min(1.0, running / self.cores), float(running)]})
            case "SMOKE":
                self._write({"cmd": "SMOKED", "token": command["token"], "result": "good"})
            case "APPLY" if run is None:
                if self.requests.bodies.get(req) != (command["method"], payload):
                    self._write({"cmd": "ERROR", "result": "APPLY", "req": req})
                elif req not in self.requests.open:
                    self._notice("VALUE", req, result="gone", elapsed_ms=0, payload="")
                else:
                    self._start(req, command["method"], payload)
            case "BREAK" if run is not None:
                run["timer"].cancel()
                self._end(req, "cut", b"")
            case "RESOLVE" if run is not None and run["waits"]:
                self.on_resolve(req, run, payload)
                self._go_on(req, run)
            case "STUB" if run is not None and run["waits"] and run["notice"] == command["offset"]:
                self._go_on(req, run)

    def _start(self, req: str, name: str, body: bytes) -> None:
        count = self.run_counts[req] = self.run_counts.get(req, 0) + 1
        parts = self.segments(name)
        run = self.runs[req] = {"name": name, "body": body, "left": parts, "begun": time.monotonic(), "waits": False,
                                "notice": 0, "part": self.work(name) / parts, "call": 0}
        self.record.write("run", req=req, cls=name, key=self.requests.keys.get(req, ""), times=count)
        self._work(req, run)

    def _work(self, req: str, run: dict[str, Any]) -> None:
        running = len([other for other in self.runs.values() if not other["waits"]])
        run["timer"] = asyncio.get_running_loop().call_later(
            run["part"] * max(1.0, running / self.cores), self._part_done, req, run)

    def _part_done(self, req: str, run: dict[str, Any]) -> None:
        run["left"] -= 1
        if not run["left"]:
            self._end(req, "good", b"ran " + run["body"])
        elif req not in self.requests.open:
            self._end(req, "cut", b"")
        else:
            run["waits"], run["call"] = True, run["call"] + 1
            body = base64.b64encode(b"call %d of %s" % (run["call"], req.encode())).decode()
            run["notice"] = self._notice("AWAIT", req, payload=body)

    def _go_on(self, req: str, run: dict[str, Any]) -> None:
        run["waits"] = False
        self._work(req, run)

    def _end(self, req: str, result: str, payload: bytes) -> None:
        run = self.runs.pop(req)
        self.record.write("end", req=req, result=result)
        self._notice("VALUE", req, result=result, elapsed_ms=round((time.monotonic() - run["begun"]) * 1000, 3),
                     payload=base64.b64encode(payload).decode())


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads one HTTP message: its first line, fields in lower case, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    return head[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))


Answer = Callable[[str, dict[str, str], bytes, asyncio.StreamReader], Awaitable[bytes]]


class HttpStandIn:
    """An HTTP server on loopback: `answer` gets the first line, fields and body, and returns the whole answer."""

    def __init__(self, answer: Answer) -> None:
        self.answer, self.port = answer, 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, fields, body = await read_message(reader)
                writer.write(await self.answer(first, fields, body, reader))
                await writer.drain()
                if fields.get("connection") == "close":
                    break
        writer.close()


async def accept_report(first: str, fields: dict[str, str], body: bytes, reader: asyncio.StreamReader) -> bytes:
    """The control plane's answer to a report."""
    return b"HTTP/1.1 204 No Content\r\n\r\n"


class Instance:
    """One service instance, started with the command `run` of the deploy file."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], env: dict[str, str] | None = None) -> None:
        self.name, self.config, self.port = name, config, int(config["listen"].rpartition(":")[2])
        self.path, self.log = folder / f"{name}.json", open(folder / f"{name}.log", "ab")
        self.env, self.process = env or {}, None
        self.write_config()

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(self.path)

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "PROXY_NAME": self.name,
               "TMPDIR": str(self.path.parent), "PROXY_LISTEN": self.config["listen"], "PROXY_CONFIG": str(self.path)}
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env | self.env,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, timeout: float = 30.0) -> bool:
        """Waits until the instance answers a deep health check."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /status/live?deep=1 HTTP/1.1\r\nHost: service.internal\r\n"
                             b"Connection: close\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in first + " ":
                    return True
            await asyncio.sleep(0.1)
        return False


class Clients:
    """Client stubs: one request at a time on a connection, connections are kept open, no further tries."""

    def __init__(self, port: int, requests: Requests, record: Record, rng: random.Random, name: str = "") -> None:
        self.port, self.requests, self.record, self.rng, self.name = port, requests, record, rng, name
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.answers: dict[str, int] = {}

    async def load(self, rate: float, seconds: float, pick: Callable[[], tuple[str, float, bool]]) -> None:
        """Sends requests at random intervals; `pick` returns class, timeout in seconds, and whether it has a key."""
        end = time.monotonic() + seconds
        at = time.monotonic()
        while (at := at + self.rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self.request(*pick()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        """Waits for the answers that are still owed."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        for _, writer in self.idle:
            writer.close()

    async def request(self, name: str, timeout: float, keyed: bool) -> None:
        req, body = f"{self.rng.getrandbits(64):016x}", self.rng.randbytes(24)
        self.on_request(req)
        key = f"{self.rng.getrandbits(128):032x}" if keyed else ""
        fields = {"Host": "service.internal", "X-Request-Id": req, "X-Request-Start": str(int(time.time() * 1000)),
                  "X-Caller": str(self.rng.randrange(1, 5)), "X-Timeout-Ms": str(int(timeout * 1000)),
                  "X-Memory-Kb": "24.5", "X-Rank": f"{self.rng.random() * 0.999:.4f}"}
        if keyed:
            fields["Idempotency-Key"] = self.requests.keys[req] = key
        head = f"POST /svc/{name} HTTP/1.1\r\n" + "".join(f"{n}: {value}\r\n" for n, value in fields.items())
        message = head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body
        self.requests.bodies[req] = (name, body)
        self.requests.open.add(req)
        self.record.write("sent", req=req, cls=name, key=key, to=self.name)
        outcome, writer = "lost", None
        try:
            async with asyncio.timeout(timeout + 1.0):
                reader, writer = await self._connection()
                writer.write(message)
                first, answer, result = await read_message(reader)
            outcome = first.split(" ")[1]
            if outcome == "200" and result != b"ran " + body:
                outcome = "wrong result"
            if answer.get("connection") == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        except TimeoutError:
            outcome = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            outcome = f"lost: {type(error).__name__}"
        if outcome.startswith(("lost", "no")) and writer is not None:
            writer.transport.abort()
        self.requests.open.discard(req)
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self.record.write("answered", req=req, outcome=outcome)

    def on_request(self, req: str) -> None:
        """Called with the id of each request before it is sent."""

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(HOST, self.port)


Scenario = Callable[[Path, Record], Awaitable[tuple[int, str]]]


def run_case(case: str, scenario: Scenario, limit_s: float = 112.0) -> int:
    """Runs a scenario in a temporary folder, writes its verdict to record.txt and returns the exit code."""
    folder = Path(case).resolve().parent
    record = Record(folder / "record.txt")

    async def bounded() -> tuple[int, str]:
        async with asyncio.timeout(limit_s):
            return await scenario(Path(temporary), record)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code, text = asyncio.run(bounded())
        except Exception as error:  # the case could not run
            code, text = NOT_RUN, f"{type(error).__name__}: {error}"
    record.write("verdict", code=code, text=text, trouble=disrupted())
    record.close()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code] + ": " + text)
    return code
