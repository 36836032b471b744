"""Processes of the rig that run stand-ins: interpreters, ledgers, the control plane or clients.

    python -m hollystage.standins.fleet.party KIND SPEC

SPEC is a JSON file. Commands are JSON lines on standard input: the key `do` names a handler, the others are its
arguments. The process exits when standard input ends.
"""
from __future__ import annotations

import json
import os
import random
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from ...service.buffers import Broken
from ...service.http import Bad, Request, Response, read_response, write_request
from ..caller import Caller
from ..interpreter import Worker
from ..ledger import Ledger, LedgerModel, Terms
from ..peers import ControlPlane
from ..server import reply
from .history import History
from .switchboard import place

SECOND = 1_000_000
LATE_S = 3.0  # how long a client waits after its timeout, to distinguish a late answer from none
Orders = dict[str, Callable[..., None]]
ERROR_WORDS: dict[type[Exception], str] = {Broken: "Broken", Bad: "Bad"}  # words for these errors in histories


class Engine(Worker):
    """The interpreter of one member; writes every run to the history."""

    def __init__(self, name: str, history: History, **more: Any) -> None:
        self.name, self.history = name, history
        super().__init__(**more)

    def began(self, ident: str, body: bytes) -> None:
        self.history.write("run", self.name, rpc=ident, body=body.decode("ascii", "replace"))


def interpreters(spec: dict[str, Any], history: History) -> Orders:
    """Starts an interpreter for each member."""
    interpreter_by_name = {
        name: Engine(name, history, cores=spec["cores"], work_s=spec["work_s"], calls=frozenset(spec["calls"]),
                     seed=spec["seed"] + index, address=place(address), cold=spec["cold"], warm_s=spec["warm_s"])
        for index, (name, address) in enumerate(spec["addresses"].items())}

    def reset(name: str) -> None:
        interpreter_by_name[name].reset()

    def slow(names: list[str], factor: float) -> None:
        for name in names:
            interpreter_by_name[name].slow = factor
    return {"reset": reset, "slow": slow}


class Zone(Ledger):
    """The ledger of a zone; writes every call to the history, and can be told to fail a share of its calls at once.

    `failing_class`: only calls of this class fail; empty: all classes.
    """

    def __init__(self, name: str, history: History, **more: Any) -> None:
        self.name, self.history = name, history
        self.fails, self.fails_for = 0.0, ""
        self.chance = random.Random(more.get("seed", 1))
        super().__init__(**more)

    def answer(self, request: Request) -> bytes:
        ref, kind = request.fields.get("x-txn-ref", ""), request.fields.get("x-class", "")
        self.history.write("call", self.name, rpc=ref)
        if self.fails and self.fails_for in ("", kind) and self.chance.random() < self.fails:
            return reply(500)
        return super().answer(request)


def ledgers(spec: dict[str, Any], history: History) -> Orders:
    """Starts the ledgers, and writes their load to the history every 0.1 s."""
    parameters = Terms(**spec["terms"])
    ledger_by_name = {
        name: Zone(name, history, terms=parameters, seed=spec["seed"] + index, address=place(address))
        for index, (name, address) in enumerate(spec["addresses"].items())}

    def apply_to(action: Callable[[LedgerModel], None], names: list[str]) -> None:
        for name in names or list(ledger_by_name):
            ledger_by_name[name].command(action)

    def fail(share: float, names: list[str], kind: str = "") -> None:
        for name in names or list(ledger_by_name):
            ledger_by_name[name].fails, ledger_by_name[name].fails_for = share, kind

    def watch() -> None:
        while True:
            time.sleep(0.1)
            for name, ledger in ledger_by_name.items():
                model = ledger.model
                peak, model.judge.most = model.judge.most, 0  # maximum since the last sample
                history.write("load", name, held=len(model.work), peak=max(peak, len(model.work)),
                              deaths=model.judge.deaths, refused=model.judge.refused)
    threading.Thread(target=watch, daemon=True).start()
    return {"slow": lambda factor, names=(): apply_to(lambda model: model.slow(factor), names),
            "die": lambda seconds, names=(): apply_to(lambda model: model.die(int(seconds * SECOND)), names),
            "fail": fail}


def control(spec: dict[str, Any], history: History) -> Orders:
    """Starts the control plane, and writes its list of ready instances to the history when it changes."""
    plane = ControlPlane(place(spec["address"]))

    def watch() -> None:
        previous: list[str] = []
        while True:
            time.sleep(0.05)
            ready = plane.listed()
            if ready != previous:
                history.write("listed", names=ready)
                previous = ready
    threading.Thread(target=watch, daemon=True).start()
    return {}


class Stubs:
    """Clients that behave like the users' client stubs: they go through a list of instances, reconnect and retry.

    Keys of `spec`: `tries`, the maximum of attempts for one RPC; `heeds`, whether clients follow Retry-After-Ms and
    X-Dont-Retry. A retry of an RPC with an idempotency key goes to the instance that may have run it, any other retry
    to the next instance of the list.
    """

    def __init__(self, spec: dict[str, Any], history: History) -> None:
        self.spec, self.history = spec, history
        self.chance = random.Random(spec["seed"])
        self.listed: list[str] = sorted(spec["addresses"])
        self.stopped = threading.Event()
        self.rate = 1.0
        self.favoured, self.favour = "", 0.0  # instance that gets this share of the first attempts
        self.lock = threading.Lock()
        self.count = 0

    def start(self) -> None:
        """Starts the traffic."""
        threading.Thread(target=self._look, daemon=True).start()
        for number in range(self.spec["clients"]):
            threading.Thread(target=self._client, args=(number,), daemon=True).start()

    def _look(self) -> None:
        """Polls the list of ready instances at random intervals of 0.5 to 1 s, so that clients see changes late."""
        address = place(self.spec["control"])
        while not self.stopped.wait(self.chance.uniform(0.5, 1.0)):
            try:
                caller = Caller(address)
                caller.sock.settimeout(1.0)
                caller.sock.sendall(write_request("GET", "/list", "control", {"Connection": "close"}, b""))
                ready = json.loads(read_response(caller.stream, time.monotonic() + 1).body)
                caller.sock.close()
                if ready:
                    self.listed = ready
            except (OSError, Broken, Bad, ValueError):
                pass  # the previous list stays in use

    def _client(self, number: int) -> None:
        rng = random.Random(self.spec["seed"] * 1000 + number)
        connections: dict[str, Caller] = {}
        client_rate = self.spec["rate"] / self.spec["clients"]
        while not self.stopped.wait(rng.expovariate(max(1e-3, client_rate * self.rate))):
            method = rng.choices(self.spec["methods"], [m["share"] for m in self.spec["methods"]])[0]
            self._rpc(number, method, connections, rng)

    def _rpc(self, number: int, method: dict[str, Any], connections: dict[str, Caller], rng: random.Random) -> None:
        with self.lock:
            self.count += 1
            key = f"{self.history.party}-{self.count}"
        start, listed = time.monotonic(), list(self.listed)
        first, attempts, required_instance = rng.randrange(len(listed)), 0, ""
        if self.favoured in listed and rng.random() < self.favour:
            first = listed.index(self.favoured)
        keyed, outcome, at_promised_time, refusals = method["tokened"], "given up", False, 0
        while attempts - refusals < self.spec["tries"]:
            remaining = method["deadline_s"] - (time.monotonic() - start)
            if remaining <= 0.02:
                break
            target = required_instance or listed[(first + attempts) % len(listed)]
            attempts += 1
            outcome, advice, stay = self._try(number, method["name"], key if keyed else "", key, target, remaining,
                                              connections, attempts > 1, at_promised_time)
            if outcome in ("ok", "aborted", "wrong"):
                break
            if outcome == "pushed back":
                if self.spec["heeds"]:
                    if stay and (at_promised_time or not 0 < advice < self.spec["longest_s"]):
                        break  # the maximum delay reserves no slot, so the client does not return
                    time.sleep(min(advice, max(0.0, method["deadline_s"] - (time.monotonic() - start))))
                    at_promised_time, required_instance = stay, target if stay else ""
                    continue
                else:
                    time.sleep(0.01)
            elif keyed and outcome != "refused":
                required_instance = target  # this instance may have run it
                time.sleep(0.2)
            else:
                refusals += outcome == "refused"  # a refused connection does not count as an attempt
                time.sleep(0.2 if required_instance else 0.02)
        took = time.monotonic() - start
        self.history.write("rpc", key=key, method=method["name"], end=outcome, tries=attempts, took=round(took, 4),
                           good=outcome == "ok" and took <= method["target_s"], worth=method["worth"])

    def _try(self, number: int, method: str, key: str, body: str, target: str, remaining: float,
             connections: dict[str, Caller], is_retry: bool, at_promised_time: bool) -> tuple[str, float, bool]:
        request_id = f"{random.getrandbits(64):016x}"
        fields: dict[str, str | None] = {
            "X_Caller": str(number + 1), "X_Timeout_Ms": str(max(1, int(remaining * 1000)))}
        if key:
            fields["Idempotency_Key"] = key
        if is_retry:
            fields["X_Retry"] = "1"
        self.history.write("try", rpc=request_id, key=body, to=target, method=method, further=is_retry,
                           wait=round(remaining, 4), tokened=bool(key), came=at_promised_time)
        caller, answer, outcome = connections.pop(target, None), None, ""
        if caller is not None and _over(caller.sock):
            caller.sock.close()
            caller = None
        is_new = caller is None
        try:
            if caller is None:
                caller = Caller(place(self.spec["addresses"][target]))
            caller.send(method, body.encode(), request_id, **fields)
            answer = read_response(caller.stream, time.monotonic() + remaining)
        except ConnectionRefusedError:
            outcome = "refused"
        except TimeoutError:
            outcome = "no answer"
            assert caller is not None
            try:  # the client has given up; it reads on only to record whether a late answer arrives
                answer = read_response(caller.stream, time.monotonic() + LATE_S)
                outcome = f"late {answer.status}"
            except (OSError, Broken, Bad, TimeoutError):
                pass
            answer = None
        except (OSError, Broken, Bad) as error:
            outcome = "crossed" if not is_new and isinstance(error, Broken | ConnectionResetError | BrokenPipeError) \
                else f"broken {ERROR_WORDS.get(type(error), type(error).__name__)}"
        advice, stay = 0.0, False
        if answer is not None:
            outcome, advice, stay = self._meaning(answer, body)
            if answer.keep and caller is not None:
                connections[target] = caller
                caller = None
        if caller is not None:
            caller.sock.close()
        self.history.write("end", rpc=request_id, word=outcome, advice=advice, stay=stay)
        return outcome, advice, stay

    @staticmethod
    def _meaning(answer: Response, body: str) -> tuple[str, float, bool]:
        """Returns the outcome, the value of Retry-After-Ms in seconds, and whether X-Dont-Retry is set."""
        advice = int(answer.fields.get("retry-after-ms", "0")) / 1000
        outcome = {200: "ok", 503: "pushed back", 500: "aborted"}.get(answer.status, f"status {answer.status}")
        if outcome == "ok" and answer.body != f"ran {body}".encode():
            outcome = "wrong"
        return outcome, advice, answer.fields.get("x-dont-retry") == "1"


def _over(sock: socket.socket) -> bool:
    """Whether the instance has closed an idle connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def clients(spec: dict[str, Any], history: History) -> Orders:
    """Prepares the clients; the command `start` starts their traffic."""
    stubs = Stubs(spec, history)

    def stop() -> None:
        stubs.stopped.set()
        history.write("stopped")

    def rate(factor: float) -> None:
        stubs.rate = factor

    def favour(name: str, share: float) -> None:
        stubs.favoured, stubs.favour = name, share
    return {"start": stubs.start, "stop": stop, "rate": rate, "favour": favour}


KINDS: dict[str, Callable[[dict[str, Any], History], Orders]] = {
    "interpreters": interpreters, "ledgers": ledgers, "control": control, "clients": clients}


def main() -> None:
    """Starts the stand-ins and handles commands until standard input ends."""
    kind, path = sys.argv[1:]
    with open(path) as file:
        spec = json.load(file)
    handlers = KINDS[kind](spec, History(spec["folder"], spec.get("party", kind)))
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    for line in sys.stdin:
        command = json.loads(line)
        handlers[command.pop("do")](**command)
    os._exit(0)




if __name__ == "__main__":
    main()
