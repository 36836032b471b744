"""A stand-in for the ledger: a model in virtual time and an HTTP server that runs the model in real time.

Service times can be changed while it runs, and it can crash and recover. The model counts the calls that it received,
answered and refused, and the time for which it was overloaded.
"""
from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from ..interface import Outcome
from ..service.http import Request
from .processor_sharing import ProcessorSharing, VirtualClock
from .server import Address, HttpServer, reply

ReplyCallback = Callable[[Outcome], None]


@dataclass(slots=True)
class LedgerParameters:
    """Capacity and faults of a ledger; times are microseconds."""

    slots: int = 20
    mean: int = 40_000  # service time
    sigma: float = 0.4  # sigma of the lognormal service time
    crowd: float = 3.0  # calls per slot above which it is overloaded
    overload_tolerance: int = 2_000_000  # it crashes when it is overloaded for longer
    downtime: int = 5_000_000  # duration of a crash
    lost_reply_share: float = 0.0  # share of replies that are lost
    refuses_when_full: bool = False  # refuse calls above `crowd` per slot instead of crashing


class LedgerState(Enum):
    """Whether the ledger accepts connections."""

    UP = "up"
    DOWN = "down"


@dataclass(slots=True)
class LedgerStats:
    """Counts of the calls of a ledger."""

    calls: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    deaths: int = 0
    max_in_service: int = 0
    overloaded_time: int = 0  # microseconds
    calls_by_class: dict[str, int] = field(default_factory=dict)


class LedgerModel:
    """A ledger in virtual time whose calls share the slots. Outcomes are passed to callbacks."""

    def __init__(self, clock: VirtualClock, parameters: LedgerParameters, seed: int = 1) -> None:
        self.clock, self.parameters, self.rng = clock, parameters, random.Random(seed)
        self.in_service = ProcessorSharing(parameters.slots, 0.02)
        self.callbacks: dict[int, ReplyCallback] = {}
        self.state, self.stats = LedgerState.UP, LedgerStats()
        self.class_slowdowns: dict[str, float] = {}
        self.overloaded_since: int | None = None
        self.last_call_number = self.version = 0

    def call(self, rpc_class: str, callback: ReplyCallback) -> int:
        """Starts a call of an RPC class and returns its number, for `abandon`. May run the callback immediately."""
        self.last_call_number += 1
        number, stats = self.last_call_number, self.stats
        stats.calls += 1
        stats.calls_by_class[rpc_class] = stats.calls_by_class.get(rpc_class, 0) + 1
        if self.state is LedgerState.DOWN:
            stats.refused += 1
            callback(Outcome.CONNECT_FAILED)
            return number
        if self.parameters.refuses_when_full and (
                len(self.in_service) >= self.parameters.slots * self.parameters.crowd):
            stats.refused += 1
            callback(Outcome.FULL)
            return number
        sigma = self.parameters.sigma
        work = self.parameters.mean * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        self.callbacks[number] = callback
        self.in_service.add(number, work * self.class_slowdowns.get(rpc_class, 1.0), self.clock.now)
        self._on_change()
        return number

    def abandon(self, number: int) -> None:
        """Ends the caller's wait. The ledger continues to work on the call, as a real one does."""
        self.callbacks.pop(number, None)

    def set_slowdown(self, factor: float, rpc_class: str | None = None) -> None:
        """Sets the factor by which all calls, or those of one class, take longer from now on."""
        if rpc_class is None:
            self.in_service.set_slowdown(factor, self.clock.now)
        else:
            self.class_slowdowns[rpc_class] = factor
        self._on_change()

    def crash(self, duration: int) -> None:
        """Resets all calls and refuses connections for a time."""
        self.stats.deaths += 1
        self.state = LedgerState.DOWN
        callbacks, self.callbacks = list(self.callbacks.values()), {}
        for number in list(self.in_service.completion_points):
            self.in_service.remove(number, self.clock.now)
        self.overloaded_since = None
        self.clock.call_at(self.clock.now + duration, self.recover)
        for callback in callbacks:
            callback(Outcome.RESET)
        self._on_change()

    def recover(self) -> None:
        """Accepts connections again after a crash."""
        self.state = LedgerState.UP

    def _on_change(self) -> None:
        count, now, parameters = len(self.in_service), self.clock.now, self.parameters
        self.stats.max_in_service = max(self.stats.max_in_service, count)
        if count > parameters.slots * parameters.crowd:
            if self.overloaded_since is None:
                self.overloaded_since = now
        elif self.overloaded_since is not None:
            self.stats.overloaded_time += now - self.overloaded_since
            self.overloaded_since = None
        if self.overloaded_since is not None and now - self.overloaded_since > parameters.overload_tolerance:
            self.stats.overloaded_time += now - self.overloaded_since
            self.crash(parameters.downtime)
            return
        self.version += 1
        version = self.version
        self.clock.call_at(self.in_service.next_completion(), lambda: self._complete_calls(version))

    def _complete_calls(self, version: int) -> None:
        if version != self.version:
            return
        for number in self.in_service.take_completed(self.clock.now):
            callback = self.callbacks.pop(number, None)
            if callback is None:
                continue
            if self.rng.random() < self.parameters.lost_reply_share:
                self.stats.lost += 1
            else:
                self.stats.answered += 1
                callback(Outcome.OK)
        self._on_change()


class LedgerServer(HttpServer):
    """An HTTP server that runs a `LedgerModel` in real time; the thread of a connection waits for the outcome."""

    def __init__(self, parameters: LedgerParameters, seed: int = 1, address: Address | None = None) -> None:
        self.lock = threading.Lock()
        self.clock = VirtualClock(self._now())
        self.model = LedgerModel(self.clock, parameters, seed)
        self.stopped = threading.Event()
        super().__init__(address=address)
        threading.Thread(target=self._run_clock, daemon=True).start()

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000

    def update_model(self, change: Callable[[LedgerModel], None]) -> None:
        """Applies a change to the model under the lock."""
        with self.lock:
            self.clock.run(self._now())
            change(self.model)

    def handle_request(self, request: Request) -> bytes:
        """Passes a call to the model and waits for its outcome: 200, 503 if it is full, 504 after the limit.

        Raises:
            OSError: the model is down or crashed; the connection ends without a reply.
        """
        ended, outcomes = threading.Event(), []

        def on_outcome(outcome: Outcome) -> None:
            outcomes.append(outcome)
            ended.set()

        limit_s = min(60.0, int(request.fields.get("x-limit-ms", "60000")) / 1000)
        with self.lock:
            self.clock.run(self._now())
            number = self.model.call(request.fields.get("x-class", ""), on_outcome)
        if not ended.wait(limit_s):
            with self.lock:
                self.model.abandon(number)
            return reply(504)
        match outcomes[0]:
            case Outcome.OK:
                return reply(200, b"posted")
            case Outcome.FULL:
                return reply(503, X_Untouched="1")
            case _:
                raise OSError("the ledger is down")

    def _run_clock(self) -> None:
        while not self.stopped.wait(0.002):
            with self.lock:
                self.clock.run(self._now())

    def close(self) -> None:
        """Stops the clock and closes the server."""
        self.stopped.set()
        super().close()
