"""The driver of the decision module. It owns the module and its lock, and knows no protocol and no socket.

Each event acquires the lock, is passed to the module, and the module's actions are dispatched: to the mailbox of
the RPC's thread, to the interpreter link or to the driver's own state. An exchange whose run outlives its answer
is kept until the run ends.
"""
from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Protocol

from ..control import Control
from ..decisions.draining.drain_notice import DrainNotice
from ..decisions.recent_ids import RecentIds
from ..interface import Action, ActionKind, MethodKind, Outcome, PoolConfig, Rpc, Settings
from .counters import Counters
from .exchange import CALLER_DISCONNECTED, Exchange, RunResult
from .idempotency import IdempotencyTable

GAUGE_LEAD_TIME = 10_000  # microseconds before the module's timer at which the gauges are requested
MAX_GAUGE_AGE = 1_000_000  # microseconds; older gauges are ignored
# microseconds past the longest deadline for which the id of a run is kept; RPCs that were sent earlier are refused
STARTED_ID_RETENTION = 40_000_000
# longest wait for the check whether a drain signal is pending; interval between two polls of its result
SIGNAL_CHECK_TIMEOUT_S, SIGNAL_CHECK_POLL_S = 0.5, 0.005


class InterpreterCommands(Protocol):
    """Commands to the interpreter, which runs the RPCs. The methods only enqueue and never block."""

    def halt(self, request_id: str) -> None: ...
    def request_gauges(self) -> None: ...


CLOCK_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """Returns Unix time in microseconds, monotonic since the start: setting the clock must not stop the timer."""
    return (CLOCK_OFFSET_NS + time.monotonic_ns()) // 1000


class Recovery(Protocol):
    """Information from outside the decision module: stored state, peers, budgets.

    The methods are called under the driver's lock and must not block.
    """

    limit_expires_at: int  # time at which the limit applied to the module expires, microseconds

    def initialize(self, control: Control, now: int) -> None: ...
    def update_limit(self, control: Control, now: int) -> None: ...
    def tick(self, control: Control, calls: int, now: int) -> None: ...
    def may_have_run(self, exchange: Exchange, now: int) -> bool: ...


class Driver:
    """Thread-safe owner of one decision module; translates events into its calls and its actions into effects."""

    def __init__(self, settings: Settings, seed: int, counters: Counters) -> None:
        self.settings, self.seed, self.counters = settings, seed, counters
        self.lock = threading.Lock()
        self.interpreter: InterpreterCommands
        self.exchanges: dict[str, Exchange] = {}
        self.exchange_by_rpc: dict[Rpc, Exchange] = {}
        longest_deadline = max(method.deadline for method in settings.methods)
        self.idempotency_table = IdempotencyTable(longest_deadline)
        # runs of methods that may not run twice
        self.started_ids = RecentIds(longest_deadline + STARTED_ID_RETENTION, clock())
        self.gauges: dict[str, float] = {}
        self.gauges_at = self.calls_ended = 0
        self.load_signal: float | None = None  # sent to callers in X-Load-Signal
        self.healthy, self.idle_limit, self.next_tick = True, settings.max_idle, clock()
        self.health_changed = threading.Event()  # set when the health changes
        self.stopped = self.has_received_rpc = self.draining = False
        self.drain_notice: DrainNotice | None = None  # set by the program that receives the signals, if any
        self.check_signals: Callable[[], None] = lambda: None  # requests a check for a pending drain signal
        self.recovery: Recovery | None = None  # set if the plan enables peers or stored state
        self.control = Control(settings, seed, clock())
        self._process_actions(clock())

    # Events from the connection threads

    def arrived(self, exchange: Exchange) -> str:
        """Registers an RPC that was read and passes it to the module.

        Returns an empty string, or the reason if the RPC is invalid; an invalid RPC is not passed to the module.
        """
        self._await_signal_check(clock() - exchange.rpc.unread_time)
        with self.lock:
            if exchange.request_id in self.exchanges:
                return "x-request-id belongs to an open RPC"
            rpc, self.has_received_rpc = exchange.rpc, True
            if exchange.idempotency_key is not None:
                earlier = self.idempotency_table.find(exchange.idempotency_key)
                if earlier is not None and earlier.body_digest != exchange.body_digest:
                    return "idempotency-key was used with a different body"
                if earlier is not None and (earlier.rpc.ran or earlier.is_open):
                    rpc.earlier, exchange.earlier = earlier.rpc, earlier
                elif self.recovery is not None and self.recovery.may_have_run(exchange, clock()):
                    # a process before this one may have run it: it is aborted without running, since a
                    # rejection would state that it has not run
                    self.counters.add("rpc.doubted")
                    rpc.answered = True
                    exchange.post(Action(ActionKind.ABORT, rpc))
                    return ""
            if rpc.earlier is None and exchange.id_number in self.started_ids:
                return "x-request-id belongs to an RPC that has run"
            self.exchanges[exchange.request_id] = self.exchange_by_rpc[rpc] = exchange
            now = clock()
            self.control.arrived(rpc, now)
            self._process_actions(now)
        return ""

    def _await_signal_check(self, received_at: int) -> None:
        """Waits until it is known whether a drain signal was pending when the RPC was received.

        Without this wait, a process that was suspended could run RPCs past the grace period of a signal that it has
        not received yet. If the thread that receives signals is starved, an RPC is delayed by up to
        SIGNAL_CHECK_TIMEOUT_S.
        """
        if self.drain_notice is None or self.draining or not self.drain_notice.in_doubt(received_at):
            return
        self.check_signals()
        deadline = time.monotonic() + SIGNAL_CHECK_TIMEOUT_S
        while not self.draining and self.drain_notice.in_doubt(received_at):
            if time.monotonic() > deadline:
                self.counters.add("instance.unheard")
                return
            time.sleep(SIGNAL_CHECK_POLL_S)

    def caller_disconnected(self, exchange: Exchange) -> None:
        """The caller closed its connection. Does nothing if the RPC was already answered."""
        with self.lock:
            if exchange.has_thread and not exchange.rpc.answered:
                self.counters.add("rpc.gone")
                exchange.post(CALLER_DISCONNECTED)
                now = clock()
                self.control.caller_disconnected(exchange.rpc, now)
                self._process_actions(now)

    def release(self, exchange: Exchange) -> None:
        """The thread that served the RPC has finished with it.

        The driver handles what is left in the mailbox and all later actions for the RPC.
        """
        with self.lock:
            if exchange.earlier is not None:
                self.idempotency_table.leave(exchange, exchange.earlier)
            exchange.has_thread, exchange.cancel_call, exchange.earlier = False, None, None
            self._abandon(exchange)
            while not exchange.mailbox.empty():
                message = exchange.mailbox.get()
                if isinstance(message, Action) and message.kind is ActionKind.HALT:
                    self.interpreter.halt(exchange.request_id)
            self._remove_if_done(exchange)

    def _abandon(self, exchange: Exchange) -> None:
        """Completes what a thread that failed or timed out left undone."""
        now, rpc = clock(), exchange.rpc
        unanswered, unstarted = not rpc.answered, rpc.ran and not exchange.run_requested and not exchange.run_ended
        if unanswered:
            self.control.caller_disconnected(rpc, now)
        if unstarted:
            # the run was never requested from the interpreter: without this it would occupy a run slot forever
            self._finish_run(exchange, Outcome.MOOT, 0, b"", now)
        if unanswered or unstarted:
            self._process_actions(now)

    def register_cancel(self, exchange: Exchange, cancel: Callable[[], None] | None) -> bool:
        """Registers the function that cancels the downstream call; None removes it.

        Returns False if another message for the RPC is already in the mailbox: the call must not be made then.
        """
        with self.lock:
            exchange.cancel_call = cancel if exchange.mailbox.empty() else None
            return exchange.cancel_call is not None

    def call_finished(self, exchange: Exchange, outcome: Outcome, duration: int) -> bool:
        """A downstream call ended after `duration` microseconds.

        Returns False if the result is no longer needed because the run has ended or the RPC was answered.
        """
        with self.lock:
            if exchange.run_ended or exchange.rpc.answered or outcome is Outcome.MOOT:
                return False
            now = clock()
            self.calls_ended += 1
            self.control.call_finished(exchange.rpc, outcome, duration, now)
            self._process_actions(now)
            return True

    def join(self, exchange: Exchange) -> None:
        """Lets the RPC wait for the result of the earlier RPC with the same idempotency key."""
        with self.lock:
            if exchange.rpc.answered or exchange.earlier is None:
                return
            result = self.idempotency_table.join(exchange, exchange.earlier)
            if result is not None:
                self._finish_join(exchange, result)

    # Events from the interpreter link

    def interpreter_started(self, cold: bool, age: int) -> None:
        """The interpreter accepts commands; it started `age` microseconds ago, `cold` if it is a new process."""
        with self.lock:
            if not self.has_received_rpc and not self.draining:
                # warm-up counts from the start of the interpreter, which may differ from the start of this process
                self.settings.cold = cold
                now = clock()
                self.control = Control(self.settings, self.seed, now - age)
                if self.recovery is not None:
                    self.recovery.initialize(self.control, now)
                self._process_actions(now)

    def at_call(self, request_id: str, offset: int, payload: bytes) -> None:
        """A run waits for the result of the downstream call that its notice at `offset` requests."""
        with self.lock:
            exchange = self._find_open_run(request_id)
            if exchange is not None:
                exchange.pending_call = offset, payload
                now = clock()
                self.control.at_call(exchange.rpc, now)
                self._process_actions(now)

    def finished(self, request_id: str, outcome: Outcome, duration: int, result: bytes) -> None:
        """A run ended after `duration` microseconds."""
        with self.lock:
            exchange = self._find_open_run(request_id)
            if exchange is None:
                return
            now = clock()
            self._finish_run(exchange, outcome, duration, result, now)
            self._process_actions(now)
            self._remove_if_done(exchange)

    def update_gauges(self, values: list[float]) -> None:
        """Stores the gauges of the interpreter, in the order of the settings."""
        with self.lock:
            self.gauges = dict(zip(self.settings.gauges, values, strict=False))
            self.gauges_at = clock()

    # Lifecycle of the instance

    def start_drain(self, stop_time: int, given_at: int) -> None:
        """Starts the drain.

        `stop_time`: microseconds from the signal to the kill; `given_at`: when the signal was given, which may be in
        the past.
        """
        with self.lock:
            self.control.start_drain(stop_time, given_at)
            self.draining = True
            self._process_actions(clock())

    def update_pools(self, pooling: PoolConfig | None) -> bool:
        """Replaces the pools at once. Returns False if they are unchanged."""
        with self.lock:
            if pooling == self.settings.pooling:
                return False
            self.settings.pooling = pooling  # also for the module that interpreter_started() creates
            now = clock()
            self.control.update_pools(pooling, now)
            self._process_actions(now)
            return True

    def metrics(self) -> dict[str, float]:
        """Returns gauges of the pools and of the call limit, for the log."""
        with self.lock:
            control = self.control
            if control.pools is None:
                return {}
            return control.pools.metrics() | {"calls.limit": round(control.call_limit.value, 2)}

    def run_timer(self) -> None:
        """Runs the module's timer until the driver is stopped; requests the gauges before each tick."""
        while not self.stopped:
            time.sleep(max(0, self.next_tick - GAUGE_LEAD_TIME - clock()) / 1e6)
            self.interpreter.request_gauges()
            time.sleep(max(0, self.next_tick - clock()) / 1e6)
            with self.lock:
                now = clock()
                if now < self.next_tick:
                    continue
                if self.drain_notice is not None and not self.draining:
                    self.drain_notice.heartbeat(now)
                if self.recovery is not None:
                    self.recovery.tick(self.control, self.calls_ended, now)
                self.control.tick(self.gauges if now - self.gauges_at < MAX_GAUGE_AGE else {}, now)
                self._process_actions(now)
                self.idempotency_table.expire(now)

    # Called with the lock held

    def _process_actions(self, now: int) -> None:
        """Dispatches the actions of the decision module."""
        if self.recovery is not None and now >= self.recovery.limit_expires_at:
            self.recovery.update_limit(self.control, now)
        for action in self.control.decide(now):
            if action.rpc is None:
                self._apply_instance_action(action, now)
                continue
            exchange = self.exchange_by_rpc.get(action.rpc)
            if exchange is None:
                continue
            if action.kind is ActionKind.START and action.rpc.method.kind is not MethodKind.IDEMPOTENT:
                self.started_ids.add(exchange.id_number, now)
            if action.kind is ActionKind.KEEP:
                self.idempotency_table.add(exchange, action.duration, now)
            elif action.kind is ActionKind.FORGET:
                self.idempotency_table.remove(exchange)
            elif exchange.has_thread:
                exchange.post(action)
            elif action.kind is ActionKind.HALT:
                self.interpreter.halt(exchange.request_id)

    def _apply_instance_action(self, action: Action, now: int) -> None:
        """Carries out an action that belongs to no RPC."""
        if action.kind is ActionKind.TIMER:
            self.next_tick = now + action.duration
        elif action.kind is ActionKind.LOAD_SIGNAL:
            self.load_signal = action.value
        elif action.kind is ActionKind.IDLE_LIMIT:
            self.idle_limit = action.duration
        elif action.kind is ActionKind.HEALTH and self.healthy is not action.flag:
            self.healthy = action.flag
            self.health_changed.set()

    def _finish_join(self, exchange: Exchange, result: RunResult) -> None:
        """Reports the end of the earlier run to an RPC that joined it."""
        if exchange.rpc.answered:
            return
        now = clock()
        # a run that did not succeed has no result for the RPCs that joined it
        outcome = Outcome.OK if result.outcome is Outcome.OK else Outcome.ERROR
        self.control.finished(exchange.rpc, outcome, now - exchange.rpc.state_since, now)
        exchange.post(RunResult(outcome, result.result))
        self._process_actions(now)

    def _finish_run(self, exchange: Exchange, outcome: Outcome, duration: int, result: bytes, now: int) -> None:
        """Reports the end of a run to the module, to the RPC's thread and to the repeats that joined it."""
        exchange.run_ended, unanswered = True, not exchange.rpc.answered
        if outcome is Outcome.MOOT:
            self.started_ids.discard(exchange.id_number)  # it never ran
        run_result = RunResult(outcome, result)
        self.control.finished(exchange.rpc, outcome, duration, now)
        if unanswered:
            exchange.post(run_result)
        for waiting in self.idempotency_table.complete(exchange, run_result):
            self._finish_join(waiting, run_result)

    def _find_open_run(self, request_id: str) -> Exchange | None:
        """Returns the exchange of a run that has not ended; counts notices for others."""
        exchange = self.exchanges.get(request_id)
        if exchange is None or exchange.run_ended:
            self.counters.add("interpreter.unknown")
            return None
        return exchange

    def _remove_if_done(self, exchange: Exchange) -> None:
        """Forgets the exchange once its thread has released it and the module has finished with it."""
        if not exchange.has_thread and not exchange.is_open:
            self.exchanges.pop(exchange.request_id, None)
            self.exchange_by_rpc.pop(exchange.rpc, None)
