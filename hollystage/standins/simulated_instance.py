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
from ..interface import Action, ActionKind, Method, MethodKind, Outcome, Rpc, Settings
from .ledger import LedgerModel
from .processor_sharing import ProcessorSharing, VirtualClock

SECOND = 1_000_000
# names by which the recorded traces know these actions
TRACE_NAMES = {ActionKind.REJECT: "PUSH_BACK", ActionKind.LOAD_SIGNAL: "SAY", ActionKind.IDLE_LIMIT: "IDLE"}


@dataclass(slots=True)
class Demand:
    """RPCs of one method that simulated callers send."""

    method: Method
    name: str
    rate: float  # per second
    mean_work: int  # time on the cores, microseconds
    makes_calls: bool = False  # a run makes a downstream call half way
    work_sigma: float = 0.6  # of the lognormal work
    max_retries: int = 1
    rate_factor: Callable[[int], float] = lambda _: 1.0  # of `rate`, by the time since the start


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an RPC."""

    demand: Demand
    rpc: Rpc
    rpc_started_at: int  # time at which the first attempt was sent
    number: int
    earlier_attempts: int
    run_started_at: int = 0
    remaining_work: float = 0.0  # work after the downstream call
    call_number: int = 0  # of the call in progress, 0 for none
    call_started_at: int = 0
    has_called: bool = False
    skipped: bool = False
    running: bool = False
    answered: bool = False


@dataclass(slots=True)
class SecondResults:
    """Answers of one second, counted by method."""

    worth: float = 0.0  # criticality served within the latency target
    served: Counter[str] = field(default_factory=Counter)  # within the latency target
    late: Counter[str] = field(default_factory=Counter)
    rejected: Counter[str] = field(default_factory=Counter)
    aborted: Counter[str] = field(default_factory=Counter)


class SimulatedInstance:
    """A simulated instance. Several instances and a ledger may share the clock."""

    def __init__(self, clock: VirtualClock, settings: Settings, demands: list[Demand], ledger: LedgerModel,
                 seed: int = 1, overload_penalty: float = 0.05) -> None:
        self.clock, self.settings, self.demands, self.ledger = clock, settings, demands, ledger
        self.rng = random.Random(seed)
        self.origin = clock.now
        self.control = Control(settings, seed, clock.now)
        self.cores = ProcessorSharing(settings.cores, overload_penalty)
        self.attempts: dict[Rpc, Attempt] = {}
        self.jobs: dict[int, Attempt] = {}
        self.results_by_second: dict[int, SecondResults] = {}
        self.rpcs_by_method: Counter[str] = Counter()
        self.rpc_count = self.first_calls = self.repeated_calls = 0
        self.attempt_count = self.completion_version = 0
        self.trace_hash = blake2b(digest_size=16)
        self.suspended = False  # the process does not run, and nothing reaches its decision module
        self.lost = 0
        for demand in demands:
            self._schedule_next(demand)
        self._process_actions()

    def current_results(self) -> SecondResults:
        """Returns the results of the current second."""
        return self.results_by_second.setdefault((self.clock.now - self.origin) // SECOND, SecondResults())

    # Callers

    def _schedule_next(self, demand: Demand) -> None:
        rate = demand.rate * demand.rate_factor(self.clock.now - self.origin)
        if rate <= 0:
            self.clock.call_at(self.clock.now + SECOND // 10, lambda: self._schedule_next(demand))
            return
        delay = int(self.rng.expovariate(rate) * SECOND)

        def send() -> None:
            self.rpc_count += 1
            self.rpcs_by_method[demand.name] += 1
            self._send_attempt(demand, self.clock.now, 0)
            self._schedule_next(demand)
        self.clock.call_at(self.clock.now + delay, send)

    def _send_attempt(self, demand: Demand, rpc_started_at: int, earlier_attempts: int) -> None:
        timeout = demand.method.deadline - (self.clock.now - rpc_started_at)
        if timeout <= 0:
            return
        self.attempt_count += 1
        rpc = Rpc(demand.method, self.attempt_count % 50, None, 10.0, timeout, 0, earlier_attempts > 0)
        self.attempts[rpc] = Attempt(demand, rpc, rpc_started_at, self.attempt_count, earlier_attempts)
        self.control.arrived(rpc, self.clock.now)
        self._process_actions()

    # The instance

    def _process_actions(self) -> None:
        for action in self.control.decide(self.clock.now):
            attempt = self.attempts.get(action.rpc) if action.rpc is not None else None
            number = attempt.number if attempt else 0
            self.trace_hash.update(
                f"{self.clock.now} {TRACE_NAMES.get(action.kind, action.kind.name)} {number} {action.duration} "
                f"{action.flag} {action.value:.6f}\n".encode())
            if action.kind is ActionKind.TIMER:
                self.clock.call_at(self.clock.now + action.duration, self._tick)
            elif attempt is not None:
                self._apply_action(action, attempt)

    def _tick(self) -> None:
        runnable = len(self.cores)
        self.control.tick({"cores": min(1.0, runnable / self.settings.cores), "crowd": float(runnable)},
                          self.clock.now)
        self._process_actions()

    def _apply_action(self, action: Action, attempt: Attempt) -> None:
        match action.kind:
            case ActionKind.START:
                attempt.run_started_at, attempt.running = self.clock.now, True
                sigma = attempt.demand.work_sigma
                work = attempt.demand.mean_work * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
                attempt.remaining_work = work / 2 if attempt.demand.makes_calls else 0.0
                self._add_work(attempt, work - attempt.remaining_work)
            case ActionKind.CALL:
                self.first_calls += not attempt.has_called
                self.repeated_calls += attempt.has_called
                attempt.has_called, attempt.call_started_at = True, self.clock.now
                returned = [False]
                pending = attempt.call_number = -1

                def on_outcome(outcome: Outcome) -> None:
                    # the ledger may reply before `call` has returned the number of the call
                    self.clock.call_at(self.clock.now, lambda: self._end_call(
                        attempt, outcome, attempt.call_number if returned[0] else pending))
                attempt.call_number = self.ledger.call(attempt.demand.name, on_outcome)
                returned[0] = True
                number = attempt.call_number
                self.clock.call_at(self.clock.now + action.duration,
                                   lambda: self._end_call(attempt, Outcome.TIMEOUT, number))
            case ActionKind.SKIP:
                attempt.skipped, attempt.call_number = True, 0
                self._add_work(attempt, attempt.remaining_work)
                attempt.remaining_work = 0.0
            case ActionKind.HALT:
                if self.cores.remove(attempt.number, self.clock.now) or attempt.call_number or attempt.remaining_work:
                    if attempt.call_number:
                        self.ledger.abandon(attempt.call_number)
                        attempt.call_number = 0
                    attempt.remaining_work = 0.0
                    self.jobs.pop(attempt.number, None)
                    self.clock.call_at(self.clock.now, lambda: self._finish_run(attempt, Outcome.CANCELLED))
                    self._schedule_completion()
            case ActionKind.REJECT:
                self._record_answer(attempt, "pushed")
                if attempt.earlier_attempts < attempt.demand.max_retries and not action.flag:
                    delay = action.duration + int(self.rng.expovariate(1 / 50_000))
                    rpc_started_at, attempts, demand = (
                        attempt.rpc_started_at, attempt.earlier_attempts + 1, attempt.demand)
                    self.clock.call_at(self.clock.now + delay,
                                       lambda: self._send_attempt(demand, rpc_started_at, attempts))
            case ActionKind.ABORT:
                self._record_answer(attempt, "aborted")
            case _:
                pass

    def _add_work(self, attempt: Attempt, work: float) -> None:
        self.jobs[attempt.number] = attempt
        self.cores.add(attempt.number, work, self.clock.now)
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        self.completion_version += 1
        version = self.completion_version
        self.clock.call_at(self.cores.next_completion(), lambda: self._complete_work(version))

    def _complete_work(self, version: int) -> None:
        if version != self.completion_version:
            return
        for number in self.cores.take_completed(self.clock.now):
            attempt = self.jobs.pop(number)
            if attempt.remaining_work:
                self.control.at_call(attempt.rpc, self.clock.now)
            else:
                self._finish_run(attempt, Outcome.OK)
        self._schedule_completion()
        self._process_actions()

    def _end_call(self, attempt: Attempt, outcome: Outcome, number: int) -> None:
        if not attempt.call_number or attempt.call_number != number:
            return
        self.ledger.abandon(attempt.call_number)
        attempt.call_number = 0
        self.control.call_finished(attempt.rpc, outcome, self.clock.now - attempt.call_started_at, self.clock.now)
        if outcome is Outcome.OK:
            self._add_work(attempt, attempt.remaining_work)
            attempt.remaining_work = 0.0
        self._process_actions()

    def _finish_run(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.running:
            return
        attempt.running = False
        unanswered = not attempt.rpc.answered
        self.control.finished(attempt.rpc, outcome, self.clock.now - attempt.run_started_at, self.clock.now)
        if unanswered:
            self._record_answer(attempt, "served" if outcome is Outcome.OK else "aborted")
        self._process_actions()
        self.attempts.pop(attempt.rpc, None)

    def _record_answer(self, attempt: Attempt, result: str) -> None:
        if attempt.answered:
            return
        attempt.answered = True
        if not attempt.running:
            self.attempts.pop(attempt.rpc, None)
        results, name, method = self.current_results(), attempt.demand.name, attempt.demand.method
        match result:
            case "served" if self.clock.now - attempt.rpc_started_at <= method.latency_target:
                results.served[name] += 1
                results.worth += method.criticality * (method.skip_share if attempt.skipped else 1.0)
            case "served":
                results.late[name] += 1
            case "pushed":
                results.rejected[name] += 1
            case _:
                results.aborted[name] += 1

    def stop_callers(self) -> None:
        """Stops the callers, which have learned of the drain."""
        for demand in self.demands:
            demand.rate_factor = lambda _: 0.0

    def worth(self, start: int = 0, end: int = 1 << 30) -> float:
        """Returns the criticality served within target per second, from second `start` to before `end`."""
        values = [second.worth for at, second in self.results_by_second.items() if start <= at < end]
        last = min(end, max(self.results_by_second, default=0) + 1)
        return sum(values) / max(1, last - start)

    def worth_by_second(self, seconds: int) -> list[float]:
        """Returns the criticality served within target in each of the first seconds."""
        return [self.results_by_second[at].worth if at in self.results_by_second else 0.0 for at in range(seconds)]


def idempotent_method(**changes: object) -> Method:
    """Returns an idempotent method with some fields changed; times are microseconds."""
    fields: dict[str, object] = {"kind": MethodKind.IDEMPOTENT, "criticality": 1.0, "latency_target": 2_500_000,
                                 "deadline": 6_000_000, "skip_share": 0.3}
    return Method(**(fields | changes))  # type: ignore[arg-type]


def keyed_method(**changes: object) -> Method:
    """Returns a method with idempotency keys, with some fields changed; times are microseconds."""
    fields: dict[str, object] = {"kind": MethodKind.KEYED, "criticality": 2.0, "latency_target": 830_000,
                                 "deadline": 2_100_000, "window": 8_000_000}
    return Method(**(fields | changes))  # type: ignore[arg-type]
