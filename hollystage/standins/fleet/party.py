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

from ...service.buffers import IncompleteMessageError
from ...service.http import HttpError, Request, Response, encode_request, read_response
from ..caller import Caller
from ..interpreter import SimulatedInterpreter
from ..ledger import LedgerModel, LedgerParameters, LedgerServer
from ..server import reply
from ..services import ControlPlane
from .history import History
from .switchboard import parse_address

SECOND = 1_000_000
LATE_ANSWER_TIMEOUT_S = 3.0  # how long a client waits after its timeout, to distinguish a late answer from none
CommandHandlers = dict[str, Callable[..., None]]
ERROR_WORDS: dict[type[Exception], str] = {  # names of these errors in histories
    IncompleteMessageError: "Broken", HttpError: "Bad"}


class RecordingInterpreter(SimulatedInterpreter):
    """The interpreter of one member; writes every run to the history."""

    def __init__(self, name: str, history: History, **more: Any) -> None:
        self.name, self.history = name, history
        super().__init__(**more)

    def on_run_started(self, request_id: str, body: bytes) -> None:
        self.history.write("run", self.name, rpc=request_id, body=body.decode("ascii", "replace"))


def start_interpreters(spec: dict[str, Any], history: History) -> CommandHandlers:
    """Starts an interpreter for each member."""
    interpreter_by_name = {
        name: RecordingInterpreter(
            name, history, cores=spec["cores"], work_s=spec["work_s"], calling_methods=frozenset(spec["calls"]),
            seed=spec["seed"] + index, address=parse_address(address), cold_speed=spec["cold"],
            warm_up_s=spec["warm_s"])
        for index, (name, address) in enumerate(spec["addresses"].items())}

    def reset(name: str) -> None:
        interpreter_by_name[name].reset()

    def slow(names: list[str], factor: float) -> None:
        for name in names:
            interpreter_by_name[name].slowdown = factor
    return {"reset": reset, "slow": slow}


class FailingLedger(LedgerServer):
    """The ledger of a zone; writes every call to the history, and fails a share of its calls at once on command.

    `failing_class`: only calls of this class fail; empty: all classes.
    """

    def __init__(self, name: str, history: History, **more: Any) -> None:
        self.name, self.history = name, history
        self.failure_share, self.failing_class = 0.0, ""
        self.rng = random.Random(more.get("seed", 1))
        super().__init__(**more)

    def handle_request(self, request: Request) -> bytes:
        ref, kind = request.fields.get("x-txn-ref", ""), request.fields.get("x-class", "")
        self.history.write("call", self.name, rpc=ref)
        if self.failure_share and self.failing_class in ("", kind) and self.rng.random() < self.failure_share:
            return reply(500)
        return super().handle_request(request)


def start_ledgers(spec: dict[str, Any], history: History) -> CommandHandlers:
    """Starts the ledgers, and writes their load to the history every 0.1 s."""
    parameters = LedgerParameters(**spec["terms"])
    ledger_by_name = {
        name: FailingLedger(name, history, parameters=parameters, seed=spec["seed"] + index,
                            address=parse_address(address))
        for index, (name, address) in enumerate(spec["addresses"].items())}

    def apply_to(action: Callable[[LedgerModel], None], names: list[str]) -> None:
        for name in names or list(ledger_by_name):
            ledger_by_name[name].update_model(action)

    def fail(share: float, names: list[str], kind: str = "") -> None:
        for name in names or list(ledger_by_name):
            ledger_by_name[name].failure_share, ledger_by_name[name].failing_class = share, kind

    def sample() -> None:
        while True:
            time.sleep(0.1)
            for name, ledger in ledger_by_name.items():
                model = ledger.model
                peak, model.stats.max_in_service = model.stats.max_in_service, 0  # maximum since the last sample
                history.write("load", name, held=len(model.in_service), peak=max(peak, len(model.in_service)),
                              deaths=model.stats.deaths, refused=model.stats.refused)
    threading.Thread(target=sample, daemon=True).start()
    return {"slow": lambda factor, names=(): apply_to(lambda model: model.set_slowdown(factor), names),
            "die": lambda seconds, names=(): apply_to(lambda model: model.crash(int(seconds * SECOND)), names),
            "fail": fail}


def start_control_plane(spec: dict[str, Any], history: History) -> CommandHandlers:
    """Starts the control plane, and writes its list of ready instances to the history when it changes."""
    plane = ControlPlane(parse_address(spec["address"]))

    def poll() -> None:
        previous: list[str] = []
        while True:
            time.sleep(0.05)
            ready = plane.ready_instances()
            if ready != previous:
                history.write("listed", names=ready)
                previous = ready
    threading.Thread(target=poll, daemon=True).start()
    return {}


class ClientStubs:
    """Clients that behave like the users' client stubs: they go through a list of instances, reconnect and retry.

    Keys of `spec`: `tries`, the maximum of attempts for one RPC; `heeds`, whether clients follow Retry-After-Ms and
    X-Dont-Retry. A retry of an RPC with an idempotency key goes to the instance that may have run it, any other retry
    to the next instance of the list.
    """

    def __init__(self, spec: dict[str, Any], history: History) -> None:
        self.spec, self.history = spec, history
        self.rng = random.Random(spec["seed"])
        self.listed_instances: list[str] = sorted(spec["addresses"])
        self.stopped = threading.Event()
        self.rate_factor = 1.0
        self.preferred_instance, self.preferred_share = "", 0.0  # instance that gets this share of the first attempts
        self.lock = threading.Lock()
        self.rpc_count = 0

    def start(self) -> None:
        """Starts the traffic."""
        threading.Thread(target=self._poll_list, daemon=True).start()
        for number in range(self.spec["clients"]):
            threading.Thread(target=self._run_client, args=(number,), daemon=True).start()

    def _poll_list(self) -> None:
        """Polls the list of ready instances at random intervals of 0.5 to 1 s, so that clients see changes late."""
        address = parse_address(self.spec["control"])
        while not self.stopped.wait(self.rng.uniform(0.5, 1.0)):
            try:
                caller = Caller(address)
                caller.sock.settimeout(1.0)
                caller.sock.sendall(encode_request("GET", "/list", "control", {"Connection": "close"}, b""))
                ready = json.loads(read_response(caller.stream, time.monotonic() + 1).body)
                caller.sock.close()
                if ready:
                    self.listed_instances = ready
            except (OSError, IncompleteMessageError, HttpError, ValueError):
                pass  # the previous list stays in use

    def _run_client(self, number: int) -> None:
        rng = random.Random(self.spec["seed"] * 1000 + number)
        connections: dict[str, Caller] = {}
        client_rate = self.spec["rate"] / self.spec["clients"]
        while not self.stopped.wait(rng.expovariate(max(1e-3, client_rate * self.rate_factor))):
            method = rng.choices(self.spec["methods"], [m["share"] for m in self.spec["methods"]])[0]
            self._perform_rpc(number, method, connections, rng)

    def _perform_rpc(self, number: int, method: dict[str, Any], connections: dict[str, Caller],
                     rng: random.Random) -> None:
        with self.lock:
            self.rpc_count += 1
            key = f"{self.history.party}-{self.rpc_count}"
        start, listed = time.monotonic(), list(self.listed_instances)
        first, attempts, required_instance = rng.randrange(len(listed)), 0, ""
        if self.preferred_instance in listed and rng.random() < self.preferred_share:
            first = listed.index(self.preferred_instance)
        keyed, outcome, at_promised_time, refusals = method["tokened"], "given up", False, 0
        while attempts - refusals < self.spec["tries"]:
            remaining = method["deadline_s"] - (time.monotonic() - start)
            if remaining <= 0.02:
                break
            target = required_instance or listed[(first + attempts) % len(listed)]
            attempts += 1
            outcome, advice, stay = self._attempt(number, method["name"], key if keyed else "", key, target,
                                                  remaining, connections, attempts > 1, at_promised_time)
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

    def _attempt(self, number: int, method: str, key: str, body: str, target: str, remaining: float,
                 connections: dict[str, Caller], is_retry: bool, at_promised_time: bool) -> tuple[str, float, bool]:
        """Sends one attempt and waits for its answer; returns the outcome, the retry delay and X-Dont-Retry."""
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
        if caller is not None and _is_closed(caller.sock):
            caller.sock.close()
            caller = None
        is_new = caller is None
        try:
            if caller is None:
                caller = Caller(parse_address(self.spec["addresses"][target]))
            caller.send(method, body.encode(), request_id, **fields)
            answer = read_response(caller.stream, time.monotonic() + remaining)
        except ConnectionRefusedError:
            outcome = "refused"
        except TimeoutError:
            outcome = "no answer"
            assert caller is not None
            try:  # the client has given up; it reads on only to record whether a late answer arrives
                answer = read_response(caller.stream, time.monotonic() + LATE_ANSWER_TIMEOUT_S)
                outcome = f"late {answer.status}"
            except (OSError, IncompleteMessageError, HttpError, TimeoutError):
                pass
            answer = None
        except (OSError, IncompleteMessageError, HttpError) as error:
            # crossed: a kept connection ended, probably closed by the instance while the request was on its way
            outcome = "crossed" if not is_new and isinstance(
                error, IncompleteMessageError | ConnectionResetError | BrokenPipeError) \
                else f"broken {ERROR_WORDS.get(type(error), type(error).__name__)}"
        advice, stay = 0.0, False
        if answer is not None:
            outcome, advice, stay = self._interpret_response(answer, body)
            if answer.keep_alive and caller is not None:
                connections[target] = caller
                caller = None
        if caller is not None:
            caller.sock.close()
        self.history.write("end", rpc=request_id, word=outcome, advice=advice, stay=stay)
        return outcome, advice, stay

    @staticmethod
    def _interpret_response(answer: Response, body: str) -> tuple[str, float, bool]:
        """Returns the outcome, the value of Retry-After-Ms in seconds, and whether X-Dont-Retry is set."""
        advice = int(answer.fields.get("retry-after-ms", "0")) / 1000
        outcome = {200: "ok", 503: "pushed back", 500: "aborted"}.get(answer.status, f"status {answer.status}")
        if outcome == "ok" and answer.body != f"ran {body}".encode():
            outcome = "wrong"
        return outcome, advice, answer.fields.get("x-dont-retry") == "1"


def _is_closed(sock: socket.socket) -> bool:
    """Whether the instance has closed an idle connection."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def start_clients(spec: dict[str, Any], history: History) -> CommandHandlers:
    """Prepares the clients; the command `start` starts their traffic."""
    stubs = ClientStubs(spec, history)

    def stop() -> None:
        stubs.stopped.set()
        history.write("stopped")

    def rate(factor: float) -> None:
        stubs.rate_factor = factor

    def favour(name: str, share: float) -> None:
        stubs.preferred_instance, stubs.preferred_share = name, share
    return {"start": stubs.start, "stop": stop, "rate": rate, "favour": favour}


STANDINS: dict[str, Callable[[dict[str, Any], History], CommandHandlers]] = {
    "interpreters": start_interpreters, "ledgers": start_ledgers, "control": start_control_plane,
    "clients": start_clients}


def main() -> None:
    """Starts the stand-ins and handles commands until standard input ends."""
    kind, path = sys.argv[1:]
    with open(path) as file:
        spec = json.load(file)
    handlers = STANDINS[kind](spec, History(spec["folder"], kind))
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    for line in sys.stdin:
        command = json.loads(line)
        handlers[command.pop("do")](**command)
    os._exit(0)


if __name__ == "__main__":
    main()
