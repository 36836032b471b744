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
from ..decisions.leaving.notice import Notice
from ..interface import Action, Do, Outcome, Pooling, Rpc, Settings
from .counters import Counters
from .exchange import GONE, Ended, Exchange
from .tokens import Tokens

ASK_AHEAD = 10_000  # microseconds before the module's timer at which the gauges are requested
STALE = 1_000_000  # microseconds; older gauges are ignored
HEARD_S, LOOK_S = 0.5, 0.005  # limit and interval of the wait for a check for a pending drain signal


class Engine(Protocol):
    """Commands to the interpreter, which runs the RPCs. The methods only enqueue and never block."""

    def apply(self, request_id: str, method: str, payload: bytes) -> None: ...
    def halt(self, request_id: str) -> None: ...
    def resolve(self, request_id: str, payload: bytes) -> None: ...
    def stub(self, request_id: str, offset: int) -> None: ...
    def ask_gauges(self) -> None: ...


STARTED = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """Returns Unix time in microseconds, monotonic since the start: setting the clock must not stop the timer."""
    return (STARTED + time.monotonic_ns()) // 1000


class Steer(Protocol):
    """Information from outside the decision module: stored state, peers, budgets.

    The methods are called under the driver's lock and must not block.
    """

    until: int  # time at which the limit applied to the module expires, microseconds

    def begin(self, control: Control, now: int) -> None: ...
    def bind(self, control: Control, now: int) -> None: ...
    def tick(self, control: Control, calls: int, now: int) -> None: ...
    def doubted(self, exchange: Exchange, now: int) -> bool: ...


class Driver:
    """Thread-safe owner of one decision module; translates events into its calls and its actions into effects."""

    def __init__(self, settings: Settings, seed: int, counters: Counters) -> None:
        self.settings, self.seed, self.counters = settings, seed, counters
        self.lock = threading.Lock()
        self.engine: Engine
        self.exchanges: dict[str, Exchange] = {}
        self.of: dict[Rpc, Exchange] = {}
        self.tokens = Tokens(max(method.deadline for method in settings.methods))
        self.gauges: dict[str, float] = {}
        self.gauges_at = self.calls_ended = 0
        self.said: float | None = None  # sent to callers in X-Load-Signal
        self.healthy, self.idle, self.next_tick = True, settings.longest_idle, clock()
        self.changed = threading.Event()  # set when the health changes
        self.stopped = self.used = self.leaving = False
        self.notice: Notice | None = None  # set by the program that receives the signals, if any
        self.look: Callable[[], None] = lambda: None  # requests a check for a pending drain signal
        self.steer: Steer | None = None  # set if the plan enables peers or stored state
        self.control = Control(settings, seed, clock())
        self._settle(clock())

    # Events from the connection threads

    def arrived(self, exchange: Exchange) -> str:
        """Registers an RPC that was read and passes it to the module.

        Returns the reason if the RPC is invalid, in which case the module does not see it, else an empty string.
        """
        self._await_a_look(clock() - exchange.rpc.waited)
        with self.lock:
            if exchange.ident in self.exchanges:
                return "x-request-id belongs to an open RPC"
            rpc, self.used = exchange.rpc, True
            if exchange.token is not None:
                earlier = self.tokens.earlier(exchange.token)
                if earlier is not None and earlier.digest != exchange.digest:
                    return "idempotency-key was used with a different body"
                if earlier is not None and (earlier.rpc.ran or earlier.open):
                    rpc.earlier, exchange.earlier = earlier.rpc, earlier
                elif self.steer is not None and self.steer.doubted(exchange, clock()):
                    # a process before this one may have run it: it is aborted without running, since a
                    # rejection would state that it has not run
                    self.counters.add("rpc.doubted")
                    rpc.answered = True
                    exchange.post(Action(Do.ABORT, rpc))
                    return ""
            self.exchanges[exchange.ident] = self.of[rpc] = exchange
            now = clock()
            self.control.arrived(rpc, now)
            self._settle(now)
        return ""

    def _await_a_look(self, received_at: int) -> None:
        """Waits until it is known whether a drain signal was pending when the RPC was received.

        Without this wait, a process that was suspended could run RPCs past the grace period of a signal that it has
        not received yet. If the thread that receives signals is starved, an RPC is delayed by up to
        SIGNAL_CHECK_TIMEOUT_S.
        """
        if self.notice is None or self.leaving or not self.notice.in_doubt(received_at):
            return
        self.look()
        deadline = time.monotonic() + HEARD_S
        while not self.leaving and self.notice.in_doubt(received_at):
            if time.monotonic() > deadline:
                self.counters.add("instance.unheard")
                return
            time.sleep(LOOK_S)

    def gone(self, exchange: Exchange) -> None:
        """The caller closed its connection. Does nothing if the RPC was already answered."""
        with self.lock:
            if exchange.served and not exchange.rpc.answered:
                self.counters.add("rpc.gone")
                exchange.post(GONE)
                now = clock()
                self.control.gone(exchange.rpc, now)
                self._settle(now)

    def left(self, exchange: Exchange) -> None:
        """The thread that served the RPC has finished with it.

        The driver handles what is left in the mailbox and all later actions for the RPC.
        """
        with self.lock:
            exchange.served, exchange.cancel, exchange.earlier = False, None, None
            self._abandon(exchange)
            while not exchange.mailbox.empty():
                message = exchange.mailbox.get()
                if isinstance(message, Action) and message.do is Do.HALT:
                    self.engine.halt(exchange.ident)
            self._drop(exchange)

    def _abandon(self, exchange: Exchange) -> None:
        """Completes what a thread that failed or timed out left undone."""
        now, rpc = clock(), exchange.rpc
        unanswered, unstarted = not rpc.answered, rpc.ran and not exchange.applied and not exchange.ended
        if unanswered:
            self.control.gone(rpc, now)
        if unstarted:
            # the run was never requested from the interpreter: without this it would occupy its slot for ever
            self._finish(exchange, Outcome.MOOT, 0, b"", now)
        if unanswered or unstarted:
            self._settle(now)

    def calling(self, exchange: Exchange, cancel: Callable[[], None] | None) -> bool:
        """Registers the function that cancels the downstream call; None removes it.

        Returns False if another message for the RPC is already in the mailbox: the call must not be made then.
        """
        with self.lock:
            exchange.cancel = cancel if exchange.mailbox.empty() else None
            return exchange.cancel is not None

    def called(self, exchange: Exchange, outcome: Outcome, duration: int) -> bool:
        """A downstream call ended after `duration` microseconds.

        Returns False if the result is no longer needed because the run has ended or the RPC was answered.
        """
        with self.lock:
            if exchange.ended or exchange.rpc.answered or outcome is Outcome.MOOT:
                return False
            now = clock()
            self.calls_ended += 1
            self.control.called(exchange.rpc, outcome, duration, now)
            self._settle(now)
            return True

    def join(self, exchange: Exchange) -> None:
        """Lets the RPC wait for the result of the earlier RPC with the same idempotency key."""
        with self.lock:
            if exchange.rpc.answered or exchange.earlier is None:
                return
            end = self.tokens.join(exchange, exchange.earlier)
            if end is not None:
                self._joined(exchange, end)

    # Events from the interpreter link

    def up(self, cold: bool, age: int) -> None:
        """The interpreter accepts commands; it started `age` microseconds ago, `cold` if it is a new process."""
        with self.lock:
            if not self.used and not self.leaving:
                # warm-up counts from the start of the interpreter, which may differ from the start of this process
                self.settings.cold = cold
                now = clock()
                self.control = Control(self.settings, self.seed, now - age)
                if self.steer is not None:
                    self.steer.begin(self.control, now)
                self._settle(now)

    def at_call(self, request_id: str, offset: int, payload: bytes) -> None:
        """A run waits for the result of the downstream call that its notice at `offset` requests."""
        with self.lock:
            exchange = self._find(request_id)
            if exchange is not None:
                exchange.at_call = offset, payload
                now = clock()
                self.control.at_call(exchange.rpc, now)
                self._settle(now)

    def finished(self, request_id: str, outcome: Outcome, duration: int, result: bytes) -> None:
        """A run ended after `duration` microseconds."""
        with self.lock:
            exchange = self._find(request_id)
            if exchange is None:
                return
            now = clock()
            self._finish(exchange, outcome, duration, result, now)
            self._settle(now)
            self._drop(exchange)

    def measured(self, values: list[float]) -> None:
        """Stores the gauges of the interpreter, in the order of the settings."""
        with self.lock:
            self.gauges = dict(zip(self.settings.gauges, values, strict=False))
            self.gauges_at = clock()

    # Lifecycle of the instance

    def leave(self, stop_time: int, given_at: int) -> None:
        """Starts the drain.

        `stop_time`: microseconds from the signal to the kill; `given_at`: when the signal was given, which may be in
        the past.
        """
        with self.lock:
            self.control.leaving(stop_time, given_at)
            self.leaving = True
            self._settle(clock())

    def repool(self, pooling: Pooling | None) -> bool:
        """Replaces the pools at once. Returns False if they are unchanged."""
        with self.lock:
            if pooling == self.settings.pooling:
                return False
            self.settings.pooling = pooling  # also for the module that interpreter_started() creates
            now = clock()
            self.control.repool(pooling, now)
            self._settle(now)
            return True

    def figures(self) -> dict[str, float]:
        """Returns gauges of the pools and of the call limit, for the log."""
        with self.lock:
            control = self.control
            if control.pools is None:
                return {}
            return control.pools.figures() | {"calls.limit": round(control.below.value, 2)}

    def tick_forever(self) -> None:
        """Runs the module's timer until the driver is stopped; requests the gauges before each tick."""
        while not self.stopped:
            time.sleep(max(0, self.next_tick - ASK_AHEAD - clock()) / 1e6)
            self.engine.ask_gauges()
            time.sleep(max(0, self.next_tick - clock()) / 1e6)
            with self.lock:
                now = clock()
                if now < self.next_tick:
                    continue
                if self.notice is not None and not self.leaving:
                    self.notice.beat(now)
                if self.steer is not None:
                    self.steer.tick(self.control, self.calls_ended, now)
                self.control.tick(self.gauges if now - self.gauges_at < STALE else {}, now)
                self._settle(now)
                self.tokens.expire(now)

    # Called with the lock held

    def _settle(self, now: int) -> None:
        """Dispatches the actions of the decision module."""
        if self.steer is not None and now >= self.steer.until:
            self.steer.bind(self.control, now)
        for action in self.control.decide(now):
            if action.rpc is None:
                self._turn(action, now)
                continue
            exchange = self.of.get(action.rpc)
            if exchange is None:
                continue
            if action.do is Do.KEEP:
                self.tokens.keep(exchange, action.span, now)
            elif action.do is Do.FORGET:
                self.tokens.forget(exchange)
            elif exchange.served:
                exchange.post(action)
            elif action.do is Do.HALT:
                self.engine.halt(exchange.ident)

    def _turn(self, action: Action, now: int) -> None:
        """Carries out an action that belongs to no RPC."""
        if action.do is Do.TIMER:
            self.next_tick = now + action.span
        elif action.do is Do.SAY:
            self.said = action.value
        elif action.do is Do.IDLE:
            self.idle = action.span
        elif action.do is Do.HEALTH and self.healthy is not action.flag:
            self.healthy = action.flag
            self.changed.set()

    def _joined(self, exchange: Exchange, end: Ended) -> None:
        if exchange.rpc.answered:
            return
        now = clock()
        # a run that did not succeed has no result for the RPCs that joined it
        outcome = Outcome.OK if end.outcome is Outcome.OK else Outcome.ERROR
        self.control.finished(exchange.rpc, outcome, now - exchange.rpc.since, now)
        exchange.post(Ended(outcome, end.result))
        self._settle(now)

    def _finish(self, exchange: Exchange, outcome: Outcome, duration: int, result: bytes, now: int) -> None:
        """Reports the end of a run to the module, to the RPC's thread and to the repeats that joined it."""
        exchange.ended, unanswered = True, not exchange.rpc.answered
        end = Ended(outcome, result)
        self.control.finished(exchange.rpc, outcome, duration, now)
        if unanswered:
            exchange.post(end)
        for waiting in self.tokens.ended(exchange, end):
            self._joined(waiting, end)

    def _find(self, request_id: str) -> Exchange | None:
        """Returns the exchange of a run that has not ended; counts notices for others."""
        exchange = self.exchanges.get(request_id)
        if exchange is None or exchange.ended:
            self.counters.add("interpreter.unknown")
            return None
        return exchange

    def _drop(self, exchange: Exchange) -> None:
        """Forgets the exchange once its thread has released it and the module has finished with it."""
        if not exchange.served and not exchange.open:
            self.exchanges.pop(exchange.ident, None)
            self.of.pop(exchange.rpc, None)
