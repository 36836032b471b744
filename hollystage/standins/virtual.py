"""Simulation of one instance in virtual time: the decision module with models of its cores, callers and ledger.

The decision module is the same code as in service. Results are counted per second.
"""
from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from ..control import Control
from ..interface import Action, Do, Kind, Method, Outcome, Rpc, Settings
from .ledger import LedgerModel
from .sharing import Clock, Sharing

SECOND = 1_000_000


@dataclass(slots=True)
class Demand:
    """RPCs of one method that simulated callers send."""

    method: Method
    name: str
    rate: float  # per second
    work: int  # mean time on the cores, microseconds
    calls: bool = False  # whether a run makes a downstream call half way
    spread: float = 0.6  # sigma of the lognormal work
    retries: int = 1
    factor: Callable[[int], float] = lambda _: 1.0  # of `rate`, by the time since the start


@dataclass(slots=True, eq=False)
class Try:
    """One attempt of an RPC."""

    demand: Demand
    rpc: Rpc
    begun: int  # when the first attempt of the RPC was sent
    number: int
    tries: int
    started: int = 0
    rest: float = 0.0  # work after the downstream call
    call: int = 0  # number of the call in progress, 0 for none
    call_begun: int = 0
    called: bool = False
    skipped: bool = False
    running: bool = False
    over: bool = False


@dataclass(slots=True)
class Second:
    """Answers of one second, counted by method."""

    worth: float = 0.0  # criticality served within the latency target
    served: Counter[str] = field(default_factory=Counter)  # within the latency target
    late: Counter[str] = field(default_factory=Counter)
    pushed: Counter[str] = field(default_factory=Counter)
    aborted: Counter[str] = field(default_factory=Counter)


class Box:
    """A simulated instance. Several instances and a ledger may share the clock."""

    def __init__(self, clock: Clock, settings: Settings, demands: list[Demand], ledger: LedgerModel, seed: int = 1,
                 overload_penalty: float = 0.05) -> None:
        self.clock, self.settings, self.demands, self.ledger = clock, settings, demands, ledger
        self.chance = random.Random(seed)
        self.origin = clock.now
        self.control = Control(settings, seed, clock.now)
        self.cores = Sharing(settings.cores, overload_penalty)
        self.tries: dict[Rpc, Try] = {}
        self.jobs: dict[int, Try] = {}
        self.seconds: dict[int, Second] = {}
        self.sent: Counter[str] = Counter()
        self.asked = self.first_calls = self.further_calls = 0
        self.number = self.version = 0
        self.trace = blake2b(digest_size=16)
        self.stalled = False  # the process does not run, and nothing reaches its decision module
        self.lost = 0
        for demand in demands:
            self._next(demand)
        self._settle()

    def second(self) -> Second:
        """Returns the results of the current second."""
        return self.seconds.setdefault((self.clock.now - self.origin) // SECOND, Second())

    # Callers

    def _next(self, demand: Demand) -> None:
        rate = demand.rate * demand.factor(self.clock.now - self.origin)
        if rate <= 0:
            self.clock.at(self.clock.now + SECOND // 10, lambda: self._next(demand))
            return
        delay = int(self.chance.expovariate(rate) * SECOND)

        def send() -> None:
            self.asked += 1
            self.sent[demand.name] += 1
            self._send(demand, self.clock.now, 0)
            self._next(demand)
        self.clock.at(self.clock.now + delay, send)

    def _send(self, demand: Demand, rpc_started_at: int, earlier_attempts: int) -> None:
        timeout = demand.method.deadline - (self.clock.now - rpc_started_at)
        if timeout <= 0:
            return
        self.number += 1
        rpc = Rpc(demand.method, self.number % 50, None, 10.0, timeout, 0, earlier_attempts > 0)
        self.tries[rpc] = Try(demand, rpc, rpc_started_at, self.number, earlier_attempts)
        self.control.arrived(rpc, self.clock.now)
        self._settle()

    # The instance

    def _settle(self) -> None:
        for action in self.control.decide(self.clock.now):
            attempt = self.tries.get(action.rpc) if action.rpc is not None else None
            number = attempt.number if attempt else 0
            self.trace.update(f"{self.clock.now} {action.do.name} {number} {action.span} {action.flag} "
                              f"{action.value:.6f}\n".encode())
            if action.do is Do.TIMER:
                self.clock.at(self.clock.now + action.span, self._tick)
            elif attempt is not None:
                self._do(action, attempt)

    def _tick(self) -> None:
        runnable = len(self.cores)
        self.control.tick({"cores": min(1.0, runnable / self.settings.cores), "crowd": float(runnable)},
                          self.clock.now)
        self._settle()

    def _do(self, action: Action, attempt: Try) -> None:
        match action.do:
            case Do.START:
                attempt.started, attempt.running = self.clock.now, True
                sigma = attempt.demand.spread
                work = attempt.demand.work * self.chance.lognormvariate(-sigma * sigma / 2, sigma)
                attempt.rest = work / 2 if attempt.demand.calls else 0.0
                self._work(attempt, work - attempt.rest)
            case Do.CALL:
                self.first_calls += not attempt.called
                self.further_calls += attempt.called
                attempt.called, attempt.call_begun = True, self.clock.now
                returned = [False]
                pending = attempt.call = -1

                def on_outcome(outcome: Outcome) -> None:
                    # the ledger may reply before `call` has returned the number of the call
                    self.clock.at(self.clock.now,
                                  lambda: self._called(attempt, outcome, attempt.call if returned[0] else pending))
                attempt.call = self.ledger.call(attempt.demand.name, on_outcome)
                returned[0] = True
                number = attempt.call
                self.clock.at(self.clock.now + action.span, lambda: self._called(attempt, Outcome.TIMEOUT, number))
            case Do.SKIP:
                attempt.skipped, attempt.call = True, 0
                self._work(attempt, attempt.rest)
                attempt.rest = 0.0
            case Do.HALT:
                if self.cores.remove(attempt.number, self.clock.now) or attempt.call or attempt.rest:
                    if attempt.call:
                        self.ledger.give_up(attempt.call)
                        attempt.call = 0
                    attempt.rest = 0.0
                    self.jobs.pop(attempt.number, None)
                    self.clock.at(self.clock.now, lambda: self._finish(attempt, Outcome.CANCELLED))
                    self._plan()
            case Do.PUSH_BACK:
                self._answer(attempt, "pushed")
                if attempt.tries < attempt.demand.retries and not action.flag:
                    delay = action.span + int(self.chance.expovariate(1 / 50_000))
                    rpc_started_at, attempts, demand = attempt.begun, attempt.tries + 1, attempt.demand
                    self.clock.at(self.clock.now + delay, lambda: self._send(demand, rpc_started_at, attempts))
            case Do.ABORT:
                self._answer(attempt, "aborted")
            case _:
                pass

    def _work(self, attempt: Try, work: float) -> None:
        self.jobs[attempt.number] = attempt
        self.cores.add(attempt.number, work, self.clock.now)
        self._plan()

    def _plan(self) -> None:
        self.version += 1
        version = self.version
        self.clock.at(self.cores.next_end(), lambda: self._cores(version))

    def _cores(self, version: int) -> None:
        if version != self.version:
            return
        for number in self.cores.ended(self.clock.now):
            attempt = self.jobs.pop(number)
            if attempt.rest:
                self.control.at_call(attempt.rpc, self.clock.now)
            else:
                self._finish(attempt, Outcome.OK)
        self._plan()
        self._settle()

    def _called(self, attempt: Try, outcome: Outcome, number: int) -> None:
        if not attempt.call or attempt.call != number:
            return
        self.ledger.give_up(attempt.call)
        attempt.call = 0
        self.control.called(attempt.rpc, outcome, self.clock.now - attempt.call_begun, self.clock.now)
        if outcome is Outcome.OK:
            self._work(attempt, attempt.rest)
            attempt.rest = 0.0
        self._settle()

    def _finish(self, attempt: Try, outcome: Outcome) -> None:
        if not attempt.running:
            return
        attempt.running = False
        unanswered = not attempt.rpc.answered
        self.control.finished(attempt.rpc, outcome, self.clock.now - attempt.started, self.clock.now)
        if unanswered:
            self._answer(attempt, "served" if outcome is Outcome.OK else "aborted")
        self._settle()
        self.tries.pop(attempt.rpc, None)

    def _answer(self, attempt: Try, result: str) -> None:
        if attempt.over:
            return
        attempt.over = True
        if not attempt.running:
            self.tries.pop(attempt.rpc, None)
        results, name, method = self.second(), attempt.demand.name, attempt.demand.method
        match result:
            case "served" if self.clock.now - attempt.begun <= method.latency_target:
                results.served[name] += 1
                results.worth += method.criticality * (method.skip_share if attempt.skipped else 1.0)
            case "served":
                results.late[name] += 1
            case "pushed":
                results.pushed[name] += 1
            case _:
                results.aborted[name] += 1

    def leaving(self) -> None:
        """Stops the callers, which have learned of the drain."""
        for demand in self.demands:
            demand.factor = lambda _: 0.0

    def worth(self, start: int = 0, end: int = 1 << 30) -> float:
        """Returns the criticality served within target per second, from second `start` to before `end`."""
        values = [second.worth for at, second in self.seconds.items() if start <= at < end]
        last = min(end, max(self.seconds, default=0) + 1)
        return sum(values) / max(1, last - start)

    def by_second(self, seconds: int) -> list[float]:
        """Returns the criticality served within target in each of the first seconds."""
        return [self.seconds[at].worth if at in self.seconds else 0.0 for at in range(seconds)]


def lookup(**changes: object) -> Method:
    """Returns an idempotent method with some fields changed; times are microseconds."""
    fields: dict[str, object] = {"kind": Kind.IDEMPOTENT, "criticality": 1.0, "latency_target": 2_500_000,
                                 "deadline": 6_000_000, "skip_share": 0.3}
    return Method(**(fields | changes))  # type: ignore[arg-type]


def hold(**changes: object) -> Method:
    """Returns a method with idempotency keys, with some fields changed; times are microseconds."""
    fields: dict[str, object] = {"kind": Kind.TOKENED, "criticality": 2.0, "latency_target": 830_000,
                                 "deadline": 2_100_000, "window": 8_000_000}
    return Method(**(fields | changes))  # type: ignore[arg-type]
