"""The stand-ins of a fleet in processes of their own: interpreters, ledgers, the control plane, clients.

    python -m hollystage.standins.fleet.party KIND SPEC

SPEC is a JSON file; orders come as JSON lines on standard input, and its end ends the process.
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
LATE_S = 3.0  # a client goes on waiting for so long past its patience, to tell a late answer from none
Orders = dict[str, Callable[..., None]]


class Engine(Worker):
    """One member's interpreter; every run goes into the history."""

    def __init__(self, name: str, history: History, **more: Any) -> None:
        self.name, self.history = name, history
        super().__init__(**more)

    def began(self, ident: str, body: bytes) -> None:
        self.history.write("run", self.name, rpc=ident, body=body.decode("ascii", "replace"))


def interpreters(spec: dict[str, Any], history: History) -> Orders:
    engines = {name: Engine(name, history, cores=spec["cores"], work_s=spec["work_s"], calls=frozenset(spec["calls"]),
                            seed=spec["seed"] + at, address=place(address), cold=spec["cold"], warm_s=spec["warm_s"])
               for at, (name, address) in enumerate(spec["addresses"].items())}

    def reset(name: str) -> None:
        engines[name].reset()

    def slow(names: list[str], factor: float) -> None:
        for name in names:
            engines[name].slow = factor
    return {"reset": reset, "slow": slow}


class Zone(Ledger):
    """One ledger, in a zone; it may fail a share of its calls, fast, and counts what it held."""

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
    terms = Terms(**spec["terms"])
    zones = {name: Zone(name, history, terms=terms, seed=spec["seed"] + at, address=place(address))
             for at, (name, address) in enumerate(spec["addresses"].items())}

    def ordered(what: Callable[[LedgerModel], None], names: list[str]) -> None:
        for name in names or list(zones):
            zones[name].command(what)

    def fail(share: float, names: list[str], kind: str = "") -> None:
        for name in names or list(zones):
            zones[name].fails, zones[name].fails_for = share, kind

    def watch() -> None:
        while True:
            time.sleep(0.1)
            for name, zone in zones.items():
                model = zone.model
                peak, model.judge.most = model.judge.most, 0  # since the last look
                history.write("load", name, held=len(model.work), peak=max(peak, len(model.work)),
                              deaths=model.judge.deaths, refused=model.judge.refused)
    threading.Thread(target=watch, daemon=True).start()
    return {"slow": lambda factor, names=(): ordered(lambda model: model.slow(factor), names),
            "die": lambda seconds, names=(): ordered(lambda model: model.die(int(seconds * SECOND)), names),
            "fail": fail}


def control(spec: dict[str, Any], history: History) -> Orders:
    plane = ControlPlane(place(spec["address"]))

    def watch() -> None:
        last: list[str] = []
        while True:
            time.sleep(0.05)
            now = plane.listed()
            if now != last:
                history.write("listed", names=now)
                last = now
    threading.Thread(target=watch, daemon=True).start()
    return {}


class Stubs:
    """Clients with the habits of the users' stubs: they go down a list, reconnect, give up, try again.

    `tries` at most for one RPC; `heeds`: whether a time to come back and "do not try elsewhere" are heeded; a
    further try of a tokened RPC goes to the instance that may have run it, any other to the next of the list.
    """

    def __init__(self, spec: dict[str, Any], history: History) -> None:
        self.spec, self.history = spec, history
        self.chance = random.Random(spec["seed"])
        self.listed: list[str] = sorted(spec["addresses"])
        self.stopped = threading.Event()
        self.rate = 1.0
        self.favoured, self.favour = "", 0.0  # who gets that share of first tries
        self.lock = threading.Lock()
        self.count = 0

    def start(self) -> None:
        threading.Thread(target=self._look, daemon=True).start()
        for number in range(self.spec["clients"]):
            threading.Thread(target=self._client, args=(number,), daemon=True).start()

    def _look(self) -> None:
        """Sees changes of the list a second or two late."""
        address = place(self.spec["control"])
        while not self.stopped.wait(self.chance.uniform(0.5, 1.0)):
            try:
                caller = Caller(address)
                caller.sock.settimeout(1.0)
                caller.sock.sendall(write_request("GET", "/list", "control", {"Connection": "close"}, b""))
                found = json.loads(read_response(caller.stream, time.monotonic() + 1).body)
                caller.sock.close()
                if found:
                    self.listed = found
            except (OSError, Broken, Bad, ValueError):
                pass  # the old list goes on

    def _client(self, number: int) -> None:
        chance = random.Random(self.spec["seed"] * 1000 + number)
        open_: dict[str, Caller] = {}
        share = self.spec["rate"] / self.spec["clients"]
        while not self.stopped.wait(chance.expovariate(max(1e-3, share * self.rate))):
            method = chance.choices(self.spec["methods"], [m["share"] for m in self.spec["methods"]])[0]
            self._rpc(number, method, open_, chance)

    def _rpc(self, number: int, method: dict[str, Any], open_: dict[str, Caller], chance: random.Random) -> None:
        with self.lock:
            self.count += 1
            key = f"{self.history.party}-{self.count}"
        begun, listed = time.monotonic(), list(self.listed)
        at, tries, bound_to = chance.randrange(len(listed)), 0, ""
        if self.favoured in listed and chance.random() < self.favour:
            at = listed.index(self.favoured)
        tokened, word, came, refusals = method["tokened"], "given up", False, 0
        while tries - refusals < self.spec["tries"]:
            left = method["deadline_s"] - (time.monotonic() - begun)
            if left <= 0.02:
                break
            target = bound_to or listed[(at + tries) % len(listed)]
            tries += 1
            word, advice, stay = self._try(number, method["name"], key if tokened else "", key, target, left, open_,
                                           tries > 1, came)
            if word in ("ok", "aborted", "wrong"):
                break
            if word == "pushed back":
                if self.spec["heeds"]:
                    if stay and (came or not 0 < advice < self.spec["longest_s"]):
                        break  # the longest time sets no place aside
                    time.sleep(min(advice, max(0.0, method["deadline_s"] - (time.monotonic() - begun))))
                    came, bound_to = stay, target if stay else ""
                    continue
                else:
                    time.sleep(0.01)
            elif tokened and word != "refused":
                bound_to = target  # it may have run there
                time.sleep(0.2)
            else:
                refusals += word == "refused"  # where nobody listens costs no try
                time.sleep(0.2 if bound_to else 0.02)
        took = time.monotonic() - begun
        self.history.write("rpc", key=key, method=method["name"], end=word, tries=tries, took=round(took, 4),
                           good=word == "ok" and took <= method["target_s"], worth=method["worth"])

    def _try(self, number: int, method: str, token: str, body: str, target: str, left: float,
             open_: dict[str, Caller], further: bool, came: bool) -> tuple[str, float, bool]:
        ident = f"{random.getrandbits(64):016x}"
        fields: dict[str, str | None] = {"X_Caller": str(number + 1), "X_Timeout_Ms": str(max(1, int(left * 1000)))}
        if token:
            fields["Idempotency_Key"] = token
        if further:
            fields["X_Retry"] = "1"
        self.history.write("try", rpc=ident, key=body, to=target, method=method, further=further,
                           wait=round(left, 4), tokened=bool(token), came=came)
        caller, answer, word = open_.pop(target, None), None, ""
        if caller is not None and _over(caller.sock):
            caller.sock.close()
            caller = None
        fresh = caller is None
        try:
            if caller is None:
                caller = Caller(place(self.spec["addresses"][target]))
            caller.send(method, body.encode(), ident, **fields)
            answer = read_response(caller.stream, time.monotonic() + left)
        except ConnectionRefusedError:
            word = "refused"
        except TimeoutError:
            word = "no answer"
            assert caller is not None
            try:  # given up; it goes on listening only to tell the judge whether an answer would have come
                answer = read_response(caller.stream, time.monotonic() + LATE_S)
                word = f"late {answer.status}"
            except (OSError, Broken, Bad, TimeoutError):
                pass
            answer = None
        except (OSError, Broken, Bad) as bad:
            word = "crossed" if not fresh and isinstance(bad, Broken | ConnectionResetError | BrokenPipeError) \
                else f"broken {type(bad).__name__}"
        advice, stay = 0.0, False
        if answer is not None:
            word, advice, stay = self._meaning(answer, body)
            if answer.keep and caller is not None:
                open_[target] = caller
                caller = None
        if caller is not None:
            caller.sock.close()
        self.history.write("end", rpc=ident, word=word, advice=advice, stay=stay)
        return word, advice, stay

    @staticmethod
    def _meaning(answer: Response, body: str) -> tuple[str, float, bool]:
        advice = int(answer.fields.get("retry-after-ms", "0")) / 1000
        word = {200: "ok", 503: "pushed back", 500: "aborted"}.get(answer.status, f"status {answer.status}")
        if word == "ok" and answer.body != f"ran {body}".encode():
            word = "wrong"
        return word, advice, answer.fields.get("x-dont-retry") == "1"


def _over(sock: socket.socket) -> bool:
    """Whether the instance has closed the idle connection meanwhile."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def clients(spec: dict[str, Any], history: History) -> Orders:
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
    kind, path = sys.argv[1:]
    with open(path) as file:
        spec = json.load(file)
    orders = KINDS[kind](spec, History(spec["folder"], spec.get("party", kind)))
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    for line in sys.stdin:
        order = json.loads(line)
        orders[order.pop("do")](**order)
    os._exit(0)




if __name__ == "__main__":
    main()
