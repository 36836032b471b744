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
from .server import Address, Http, reply
from .sharing import Clock, Sharing

Answer = Callable[[Outcome], None]


@dataclass(slots=True)
class Terms:
    """Capacity and faults of a ledger; times are microseconds."""

    slots: int = 20
    mean: int = 40_000  # service time
    spread: float = 0.4  # sigma of the lognormal service time
    crowd: float = 3.0  # calls per slot above which it is overloaded
    patience: int = 2_000_000  # it crashes when it is overloaded for longer
    down: int = 5_000_000  # duration of a crash
    lost: float = 0.0  # share of replies that are lost
    refuses: bool = False  # refuse calls above `crowd` per slot instead of crashing


class Mood(Enum):
    """Whether the ledger accepts connections."""

    UP = "up"
    DOWN = "down"


@dataclass(slots=True)
class Judge:
    """Counts of the calls of a ledger."""

    calls: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    deaths: int = 0
    most: int = 0
    crowded: int = 0  # microseconds
    by_class: dict[str, int] = field(default_factory=dict)


class LedgerModel:
    """A ledger in virtual time whose calls share the slots. Outcomes are passed to callbacks."""

    def __init__(self, clock: Clock, terms: Terms, seed: int = 1) -> None:
        self.clock, self.terms, self.chance = clock, terms, random.Random(seed)
        self.work = Sharing(terms.slots, 0.02)
        self.open: dict[int, Answer] = {}
        self.mood, self.judge = Mood.UP, Judge()
        self.slow_class: dict[str, float] = {}
        self.crowded_since: int | None = None
        self.number = self.version = 0

    def call(self, rpc_class: str, callback: Answer) -> int:
        """Starts a call of an RPC class and returns its number, for `abandon`. May run the callback immediately."""
        self.number += 1
        number, stats = self.number, self.judge
        stats.calls += 1
        stats.by_class[rpc_class] = stats.by_class.get(rpc_class, 0) + 1
        if self.mood is Mood.DOWN:
            stats.refused += 1
            callback(Outcome.CONNECT_FAILED)
            return number
        if self.terms.refuses and len(self.work) >= self.terms.slots * self.terms.crowd:
            stats.refused += 1
            callback(Outcome.FULL)
            return number
        sigma = self.terms.spread
        work = self.terms.mean * self.chance.lognormvariate(-sigma * sigma / 2, sigma)
        self.open[number] = callback
        self.work.add(number, work * self.slow_class.get(rpc_class, 1.0), self.clock.now)
        self._changed()
        return number

    def give_up(self, number: int) -> None:
        """Ends the caller's wait. The ledger continues to work on the call, as a real one does."""
        self.open.pop(number, None)

    def slow(self, factor: float, rpc_class: str | None = None) -> None:
        """Sets the factor by which all calls, or those of one class, take longer from now on."""
        if rpc_class is None:
            self.work.set_slow(factor, self.clock.now)
        else:
            self.slow_class[rpc_class] = factor
        self._changed()

    def die(self, duration: int) -> None:
        """Resets all calls and refuses connections for a time."""
        self.judge.deaths += 1
        self.mood = Mood.DOWN
        callbacks, self.open = list(self.open.values()), {}
        for number in list(self.work.left):
            self.work.remove(number, self.clock.now)
        self.crowded_since = None
        self.clock.at(self.clock.now + duration, self.come_back)
        for callback in callbacks:
            callback(Outcome.RESET)
        self._changed()

    def come_back(self) -> None:
        """Accepts connections again after a crash."""
        self.mood = Mood.UP

    def _changed(self) -> None:
        count, now, parameters = len(self.work), self.clock.now, self.terms
        self.judge.most = max(self.judge.most, count)
        if count > parameters.slots * parameters.crowd:
            if self.crowded_since is None:
                self.crowded_since = now
        elif self.crowded_since is not None:
            self.judge.crowded += now - self.crowded_since
            self.crowded_since = None
        if self.crowded_since is not None and now - self.crowded_since > parameters.patience:
            self.judge.crowded += now - self.crowded_since
            self.die(parameters.down)
            return
        self.version += 1
        version = self.version
        self.clock.at(self.work.next_end(), lambda: self._end(version))

    def _end(self, version: int) -> None:
        if version != self.version:
            return
        for number in self.work.ended(self.clock.now):
            callback = self.open.pop(number, None)
            if callback is None:
                continue
            if self.chance.random() < self.terms.lost:
                self.judge.lost += 1
            else:
                self.judge.answered += 1
                callback(Outcome.OK)
        self._changed()


class Ledger(Http):
    """An HTTP server that runs a `LedgerModel` in real time; the thread of a connection waits for the outcome."""

    def __init__(self, terms: Terms, seed: int = 1, address: Address | None = None) -> None:
        self.lock = threading.Lock()
        self.clock = Clock(self._now())
        self.model = LedgerModel(self.clock, terms, seed)
        self.stopped = threading.Event()
        super().__init__(address=address)
        threading.Thread(target=self._turn, daemon=True).start()

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000

    def command(self, change: Callable[[LedgerModel], None]) -> None:
        """Applies a change to the model under the lock."""
        with self.lock:
            self.clock.run(self._now())
            change(self.model)

    def answer(self, request: Request) -> bytes:
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
                self.model.give_up(number)
            return reply(504)
        match outcomes[0]:
            case Outcome.OK:
                return reply(200, b"posted")
            case Outcome.FULL:
                return reply(503, X_Untouched="1")
            case _:
                raise OSError("the ledger is down")

    def _turn(self) -> None:
        while not self.stopped.wait(0.002):
            with self.lock:
                self.clock.run(self._now())

    def close(self) -> None:
        """Stops the clock and closes the server."""
        self.stopped.set()
        super().close()
