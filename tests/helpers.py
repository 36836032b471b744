"""A box around one Control, and an instance on sockets among stand-ins for all that it speaks to."""
import base64
import contextlib
import itertools
import json
import socket
import threading
import time

import structlog

from hollystage.control import TICK, Control
from hollystage.interface import Do, Halt, Kind, Method, Outcome, Rpc, Say, Settings
from hollystage.service.buffers import Broken, Stream
from hollystage.service.config import parse
from hollystage.service.http import read_request, read_response, write_request, write_response
from hollystage.service.instance import Instance

SECOND = 1_000_000
IDENTS = itertools.count(1)


def lookup(**changes):
    return Method(**{"kind": Kind.IDEMPOTENT, "criticality": 1.0, "latency_target": 2 * SECOND,
                     "deadline": 6 * SECOND} | changes)


def booking(**changes):
    return lookup(**{"kind": Kind.TOKENED, "criticality": 2.0, "window": 8 * SECOND} | changes)


class Box:
    """A box around one Control: feeds it RPCs, keeps what it asked for, ends runs when told."""

    def __init__(self, *methods, **changes):
        self.methods = list(methods) or [lookup()]
        self.settings = Settings(**{
            "methods": self.methods, "cores": 2, "memory": 10_000.0, "run_factor": 8.0, "key_size": 10.0,
            "fall_multiple": 5.0, "drain_grace": 2 * SECOND, "halt": Halt.ABORT, "say": Say.NONE,
            "longest_advice": SECOND, "gauges": ["cores", "crowd"]} | changes)
        self.now = 10 * SECOND
        self.control = Control(self.settings, 7, self.now)
        self.log, self.started = [], {}
        self.flush()

    def flush(self):
        new = [a for a in self.control.decide(self.now) if a.do is not Do.TIMER]
        self.log += new
        self.started |= {a.rpc: self.now for a in new if a.do is Do.START}
        return new

    def send(self, method=None, patience=0, **fields):
        rpc = Rpc(method or self.methods[0], fields.pop("caller", 1), fields.pop("tenant", None),
                  fields.pop("size", 10.0), patience, **fields)
        self.control.arrived(rpc, self.now)
        self.flush()
        return rpc

    def fill(self, method=None, many=None):
        """Occupies the cores, so that what comes next is held."""
        return [self.send(method) for _ in range(many or self.settings.cores)]

    def end(self, rpc, outcome=Outcome.OK):
        self.control.finished(rpc, outcome, self.now - self.started.get(rpc, self.now), self.now)
        return self.flush()

    def call_ends(self, rpc, outcome, spent=1000):
        self.control.called(rpc, outcome, spent, self.now)
        return self.flush()

    def at_call(self, rpc):
        self.control.at_call(rpc, self.now)
        return self.flush()

    def gone(self, rpc):
        self.control.gone(rpc, self.now)
        return self.flush()

    def wait(self, span, cores=1.0, crowd=2.0):
        """Lets time pass with the timer going."""
        new = []
        for _ in range(max(1, span // TICK)):
            self.now += TICK
            self.control.tick({"cores": cores, "crowd": crowd}, self.now)
            new += self.flush()
        return new

    def did(self, rpc):
        return [a.do for a in self.log if a.rpc is rpc]


def until(true, patience=5.0):
    """Waits for what other threads bring about."""
    end = time.monotonic() + patience
    while not (value := true()):
        assert time.monotonic() < end, "it never came about"
        time.sleep(0.002)
    return value


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


class StandIn:
    """A server on 127.0.0.1 for one of the other parties; `serve` runs in a thread for each connection."""

    def __init__(self, listening=True):
        self.address = free_address()
        self.heard, self.open, self.ended = [], [], []
        self.ready = threading.Event()
        if listening:
            self.listen()

    def listen(self):
        self.listener = socket.create_server(self.address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.open.append(sock)
                threading.Thread(target=self.guarded, args=(sock,), daemon=True).start()

    def guarded(self, sock):
        with contextlib.suppress(OSError, Broken):
            self.serve(sock)
        self.ended.append(sock)

    def break_off(self):
        for sock in self.open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.open = []

    def close(self):
        with contextlib.suppress(OSError, AttributeError):
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
        self.break_off()


class Interpreter(StandIn):
    """Keeps its notices and sends those after the offset on a new link. `auto` ends each run at once."""

    def __init__(self, auto=True, banner="old"):
        self.auto, self.banner, self.notices, self.lock, self.piece = auto, banner, [], threading.Lock(), 0
        self.top, self.load = True, [0.1, 0.0]
        super().__init__()

    def serve(self, sock):
        lines = sock.makefile("rb")
        for line in lines:
            command = json.loads(line)
            with self.lock:
                self.heard.append(command)
                if command["cmd"] == "CONNECT":
                    self.sock, self.offset = sock, command["offset"]
                    self.come_up(self.banner)
                elif not self.banner:
                    self.write({"cmd": "ERROR", "result": command["cmd"], "req": command.get("token", "")})
                elif command["cmd"] == "TOP" and self.top:
                    self.write({"cmd": "TOPS", "token": command["token"], "load": self.load})
                elif command["cmd"] == "SMOKE" and self.top:
                    self.write({"cmd": "SMOKED", "token": command["token"], "result": "good"})
            if command["cmd"] == "APPLY" and self.auto:
                self.end(command["req"], b"ran " + base64.b64decode(command["payload"]))

    def come_up(self, banner):
        self.banner = banner
        if banner:
            for notice in ({"cmd": "BANNER", "result": banner, "elapsed_ms": 0}, *self.notices[self.offset:]):
                self.write(notice)

    def write(self, notice):
        data = json.dumps(notice).encode() + b"\n"
        for part in (data[:self.piece], data[self.piece:]) if self.piece else (data,):
            with contextlib.suppress(OSError):
                self.sock.sendall(part)
            time.sleep(0.01 if self.piece else 0)

    def notice(self, cmd, req, payload=b"", **fields):
        with self.lock:
            self.notices.append({"cmd": cmd, "offset": len(self.notices) + 1, "req": req,
                                 "payload": base64.b64encode(payload).decode()} | fields)
            self.write(self.notices[-1])

    def end(self, req, payload=b"", result="good"):
        self.notice("VALUE", req, payload, result=result, elapsed_ms=5.5)

    def got(self, cmd):
        with self.lock:
            return [command for command in self.heard if command["cmd"] == cmd]

    def applied(self, many=1):
        return [c["req"] for c in until(lambda: len(self.got("APPLY")) >= many and self.got("APPLY"))]


class Answering(StandIn):
    """An HTTP server that gives `replies` in turn, the last one again and again."""

    def __init__(self, *replies, listening=True):
        self.replies = list(replies)
        super().__init__(listening)

    def serve(self, sock):
        stream = Stream(sock, bytearray(1 << 14))
        while True:
            self.heard.append(read_request(stream, time.monotonic() + 20))
            reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
            if reply is not None:
                sock.sendall(reply)
            if reply == b"":
                sock.close()


def reply(status, body=b"", **fields):
    return write_response(status, {k.replace("_", "-"): v for k, v in fields.items()}, body, True)


class Caller:
    """A client's connection."""

    def __init__(self, address):
        self.sock = socket.create_connection(address)
        self.stream = Stream(self.sock, bytearray(1 << 14))

    def send(self, method="lookup", body=b"", ident=None, **fields):
        self.ident = ident or f"{next(IDENTS):016x}"
        head = {"X-Request-Id": self.ident, "X-Request-Start": str(int(time.time() * 1000)), "X-Caller": "4",
                "X-Timeout-Ms": "3000", "X-Memory-Kb": "10.5"}
        head |= {name.replace("_", "-"): value for name, value in fields.items()}
        head = {name: value for name, value in head.items() if value is not None}
        self.sock.sendall(write_request("POST", f"/svc/{method}", "service.internal", head, body))
        return self

    def answer(self):
        return read_response(self.stream, time.monotonic() + 5)

    def ask(self, *given, **fields):
        return self.send(*given, **fields).answer()

    def closed(self):
        self.sock.settimeout(5)
        return self.sock.recv(1) == b""


SETTINGS = {
    "Domain": {"Cores": 2, "RamKb": 9000.0, "RunFactor": 4.0, "KeyKb": 10.0, "ClassSkipWorth": [0.3, 0, 0],
               "Halt": "abort", "Say": "threshold", "CallsOut": 20.0, "Gauges": ["cpu_busy", "runnable"],
               "IdleUs": 30_000_000},
    "Rules": {"FallMultiple": 5.0, "StopSendingWithinUs": 300_000},
    "Limits": {"RetryAfter": True, "MaxRetryAfterUs": 1_000_000},
    "Profiles": [{"Name": "lookup", "Repeat": "repeatable", "Value": 1.0, "PromiseUs": 2e6, "GiveUpUs": 4e6},
                 {"Name": "booking", "Repeat": "by_key", "Value": 2.0, "PromiseUs": 2e6, "GiveUpUs": 4e6,
                  "WindowUs": 8e6},
                 {"Name": "order", "Repeat": "once", "Value": 2.0, "PromiseUs": 2e6, "GiveUpUs": 4e6}]}


class World:
    """An instance among stand-ins."""

    def __init__(self, interpreter=None, ledger=None, control=None, **changes):
        self.interpreter = interpreter or Interpreter()
        self.ledger = ledger or Answering(reply(200, b"posted"))
        self.control = control or Answering(reply(204))
        self.listen = free_address()
        addresses = {"listen": self.listen, "vm": self.interpreter.address, "ledger": self.ledger.address,
                     "control": self.control.address}
        self.given = {"name": "n3", "seed": "8c1f30d27a5be964", "stop_ms": 1500, "settings": SETTINGS}
        self.given |= {key: f"{host}:{port}" for key, (host, port) in addresses.items()} | changes

    def __enter__(self):
        self.instance = Instance(parse(json.dumps(self.given).encode()), structlog.get_logger())
        self.instance.start()
        return self

    def caller(self):
        return Caller(self.listen)

    def count(self, name):
        return self.instance.counters.read().get(name, 0)

    def __exit__(self, *_):
        self.instance.stop()
        for other in (self.interpreter, self.ledger, self.control):
            other.close()
