"""A ledger that slows and recovers on command: the model, in virtual time, and a server that goes by it.

The model is the judge: it counts what it held, what it answered, and for how long it was more crowded than it
survives.
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
    """What the ledger can take; times in microseconds."""

    slots: int = 20
    mean: int = 40_000
    spread: float = 0.4  # sigma of the lognormal service time
    crowd: float = 3.0  # times the slots that it survives for `patience`
    patience: int = 2_000_000
    down: int = 5_000_000  # how long it is gone after that
    lost: float = 0.0  # share of replies that never come
    refuses: bool = False  # what is more than the crowd is turned away, and it never dies


class Mood(Enum):
    UP = "up"
    DOWN = "down"


@dataclass(slots=True)
class Judge:
    calls: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    deaths: int = 0
    most: int = 0
    crowded: int = 0  # microseconds over the crowd
    by_class: dict[str, int] = field(default_factory=dict)


class LedgerModel:
    """Calls share the slots; `call` answers through a callback in virtual time."""

    def __init__(self, clock: Clock, terms: Terms, seed: int = 1) -> None:
        self.clock, self.terms, self.chance = clock, terms, random.Random(seed)
        self.work = Sharing(terms.slots, 0.02)
        self.open: dict[int, Answer] = {}
        self.mood, self.judge = Mood.UP, Judge()
        self.slow_class: dict[str, float] = {}
        self.crowded_since: int | None = None
        self.number = self.version = 0

    def call(self, kind: str, answer: Answer) -> int:
        """The number of the call, for `give_up`; the answer may come at once."""
        self.number += 1
        number, judge = self.number, self.judge
        judge.calls += 1
        judge.by_class[kind] = judge.by_class.get(kind, 0) + 1
        if self.mood is Mood.DOWN:
            judge.refused += 1
            answer(Outcome.CONNECT_FAILED)
            return number
        if self.terms.refuses and len(self.work) >= self.terms.slots * self.terms.crowd:
            judge.refused += 1
            answer(Outcome.FULL)
            return number
        spread = self.terms.spread
        work = self.terms.mean * self.chance.lognormvariate(-spread * spread / 2, spread)
        self.open[number] = answer
        self.work.add(number, work * self.slow_class.get(kind, 1.0), self.clock.now)
        self._changed()
        return number

    def give_up(self, number: int) -> None:
        """The caller no longer waits; the work goes on, as in a real one."""
        self.open.pop(number, None)

    def slow(self, factor: float, kind: str | None = None) -> None:
        """From now on everything, or one class, takes `factor` times as long."""
        if kind is None:
            self.work.set_slow(factor, self.clock.now)
        else:
            self.slow_class[kind] = factor
        self._changed()

    def die(self, span: int) -> None:
        """Ends all calls, and refuses connections for `span`."""
        self.judge.deaths += 1
        self.mood = Mood.DOWN
        answers, self.open = list(self.open.values()), {}
        for number in list(self.work.left):
            self.work.remove(number, self.clock.now)
        self.crowded_since = None
        self.clock.at(self.clock.now + span, self.come_back)
        for answer in answers:
            answer(Outcome.RESET)
        self._changed()

    def come_back(self) -> None:
        self.mood = Mood.UP

    def _changed(self) -> None:
        held, now, terms = len(self.work), self.clock.now, self.terms
        self.judge.most = max(self.judge.most, held)
        if held > terms.slots * terms.crowd:
            if self.crowded_since is None:
                self.crowded_since = now
        elif self.crowded_since is not None:
            self.judge.crowded += now - self.crowded_since
            self.crowded_since = None
        if self.crowded_since is not None and now - self.crowded_since > terms.patience:
            self.judge.crowded += now - self.crowded_since
            self.die(terms.down)
            return
        self.version += 1
        version = self.version
        self.clock.at(self.work.next_end(), lambda: self._end(version))

    def _end(self, version: int) -> None:
        if version != self.version:
            return
        for number in self.work.ended(self.clock.now):
            answer = self.open.pop(number, None)
            if answer is None:
                continue
            if self.chance.random() < self.terms.lost:
                self.judge.lost += 1
            else:
                self.judge.answered += 1
                answer(Outcome.OK)
        self._changed()


class Ledger(Http):
    """The model on a socket, in real time: a thread waits for each answer."""

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

    def command(self, what: Callable[[LedgerModel], None]) -> None:
        """Slows, kills or mends it, under its lock."""
        with self.lock:
            self.clock.run(self._now())
            what(self.model)

    def answer(self, request: Request) -> bytes:
        over, outcomes = threading.Event(), []

        def take(outcome: Outcome) -> None:
            outcomes.append(outcome)
            over.set()

        limit = min(60.0, int(request.fields.get("x-limit-ms", "60000")) / 1000)
        with self.lock:
            self.clock.run(self._now())
            number = self.model.call(request.fields.get("x-class", ""), take)
        if not over.wait(limit):
            with self.lock:
                self.model.give_up(number)
            return reply(504)
        match outcomes[0]:
            case Outcome.OK:
                return reply(200, b"posted")
            case Outcome.FULL:
                return reply(503, X_Untouched="1")
            case _:
                raise OSError("the ledger is down")  # ends the connection

    def _turn(self) -> None:
        while not self.stopped.wait(0.002):
            with self.lock:
                self.clock.run(self._now())

    def close(self) -> None:
        self.stopped.set()
        super().close()
