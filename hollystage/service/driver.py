"""The sole owner of the decision module and of its lock; nothing here knows a protocol or touches a socket.

Every event takes the lock, tells the module, takes its actions and hands them on: to the mailbox of the RPC's
thread, to the link's queue or to the state below. A run that outlives its answer stays here until it ends.
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

ASK_AHEAD = 10_000  # the gauges are asked for so long before the module's timer
STALE = 1_000_000  # gauges older than this tell nothing
HEARD_S, LOOK_S = 0.5, 0.005  # longest wait for a look whether a notice to leave has come; between two checks


class Engine(Protocol):
    """Where RPCs run; commands only join a queue."""

    def apply(self, ident: str, method: str, payload: bytes) -> None: ...
    def halt(self, ident: str) -> None: ...
    def resolve(self, ident: str, payload: bytes) -> None: ...
    def stub(self, ident: str, offset: int) -> None: ...
    def ask_gauges(self) -> None: ...


STARTED = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """Microseconds of the Unix clock as at the start: one that is set must not stop the timer."""
    return (STARTED + time.monotonic_ns()) // 1000


class Steer(Protocol):
    """What is known beside the module's own experience; asked under the driver's lock, so that nothing may wait."""

    until: int  # what was told to the module ends then

    def begin(self, control: Control, now: int) -> None: ...
    def bind(self, control: Control, now: int) -> None: ...
    def tick(self, control: Control, calls: int, now: int) -> None: ...
    def doubted(self, exchange: Exchange, now: int) -> bool: ...


class Driver:
    def __init__(self, settings: Settings, seed: int, counters: Counters) -> None:
        self.settings, self.seed, self.counters = settings, seed, counters
        self.lock = threading.Lock()
        self.engine: Engine
        self.exchanges: dict[str, Exchange] = {}
        self.of: dict[Rpc, Exchange] = {}
        self.tokens = Tokens(max(method.deadline for method in settings.methods))
        self.gauges: dict[str, float] = {}
        self.gauges_at = self.calls_ended = 0
        self.said: float | None = None  # the free value
        self.healthy, self.idle, self.next_tick = True, settings.longest_idle, clock()
        self.changed = threading.Event()  # health
        self.stopped = self.used = self.leaving = False
        self.notice: Notice | None = None  # kept by whoever hears the signals, where somebody does
        self.look: Callable[[], None] = lambda: None  # has them look for a notice now
        self.steer: Steer | None = None  # what peers and stored state tell the module, where the plan has them
        self.control = Control(settings, seed, clock())
        self._settle(clock())

    # What the connection threads tell

    def arrived(self, exchange: Exchange) -> str:
        """Why the RPC cannot be taken, where it cannot; the module does not hear of it then."""
        self._await_a_look(clock() - exchange.rpc.waited)
        with self.lock:
            if exchange.ident in self.exchanges:
                return "x-request-id is that of an open RPC"
            rpc, self.used = exchange.rpc, True
            if exchange.token is not None:
                earlier = self.tokens.earlier(exchange.token)
                if earlier is not None and earlier.digest != exchange.digest:
                    return "idempotency-key is that of another body"
                if earlier is not None and (earlier.rpc.ran or earlier.open):
                    rpc.earlier, exchange.earlier = earlier.rpc, earlier
                elif self.steer is not None and self.steer.doubted(exchange, clock()):
                    # it may have run before this process's start: it is not run, and the answer says so
                    self.counters.add("rpc.doubted")
                    rpc.answered = True
                    exchange.post(Action(Do.ABORT, rpc))
                    return ""
            self.exchanges[exchange.ident] = self.of[rpc] = exchange
            now = clock()
            self.control.arrived(rpc, now)
            self._settle(now)
        return ""

    def _await_a_look(self, came: int) -> None:
        """Guards the grace of a drain where the process slept: a notice may lie there unheard. Harms where the
        thread that hears is starved: what comes then is late by half a second at the most."""
        if self.notice is None or self.leaving or not self.notice.in_doubt(came):
            return
        self.look()
        until = time.monotonic() + HEARD_S
        while not self.leaving and self.notice.in_doubt(came):
            if time.monotonic() > until:
                self.counters.add("instance.unheard")
                return
            time.sleep(LOOK_S)

    def gone(self, exchange: Exchange) -> None:
        with self.lock:
            if exchange.served and not exchange.rpc.answered:
                self.counters.add("rpc.gone")
                exchange.post(GONE)
                now = clock()
                self.control.gone(exchange.rpc, now)
                self._settle(now)

    def left(self, exchange: Exchange) -> None:
        """The thread is done with the RPC; what its mailbox still holds and all that follows is done here."""
        with self.lock:
            exchange.served, exchange.cancel, exchange.earlier = False, None, None
            self._abandon(exchange)
            while not exchange.mailbox.empty():
                word = exchange.mailbox.get()
                if isinstance(word, Action) and word.do is Do.HALT:
                    self.engine.halt(exchange.ident)
            self._drop(exchange)

    def _abandon(self, exchange: Exchange) -> None:
        """What a thread that failed, or waited in vain, leaves undone."""
        now, rpc = clock(), exchange.rpc
        unanswered, unstarted = not rpc.answered, rpc.ran and not exchange.applied and not exchange.ended
        if unanswered:
            self.control.gone(rpc, now)
        if unstarted:
            # guards the running limit: a run that nobody asked for would hold its place for good
            self._finish(exchange, Outcome.MOOT, 0, b"", now)
        if unanswered or unstarted:
            self._settle(now)

    def calling(self, exchange: Exchange, cancel: Callable[[], None] | None) -> bool:
        """Names what gives up the call below; False where the RPC has got other news already."""
        with self.lock:
            exchange.cancel = cancel if exchange.mailbox.empty() else None
            return exchange.cancel is not None

    def called(self, exchange: Exchange, outcome: Outcome, spent: int) -> bool:
        """False where the call no longer matters: its run or its RPC is over."""
        with self.lock:
            if exchange.ended or exchange.rpc.answered or outcome is Outcome.MOOT:
                return False
            now = clock()
            self.calls_ended += 1
            self.control.called(exchange.rpc, outcome, spent, now)
            self._settle(now)
            return True

    def join(self, exchange: Exchange) -> None:
        with self.lock:
            if exchange.rpc.answered or exchange.earlier is None:
                return
            end = self.tokens.join(exchange, exchange.earlier)
            if end is not None:
                self._joined(exchange, end)

    # What the link tells

    def up(self, cold: bool, age: int) -> None:
        with self.lock:
            if not self.used and not self.leaving:
                # what the cores are counts from their start, which may be long after this process's
                self.settings.cold = cold
                now = clock()
                self.control = Control(self.settings, self.seed, now - age)
                if self.steer is not None:
                    self.steer.begin(self.control, now)
                self._settle(now)

    def at_call(self, ident: str, offset: int, payload: bytes) -> None:
        with self.lock:
            exchange = self._find(ident)
            if exchange is not None:
                exchange.at_call = offset, payload
                now = clock()
                self.control.at_call(exchange.rpc, now)
                self._settle(now)

    def finished(self, ident: str, outcome: Outcome, spent: int, result: bytes) -> None:
        with self.lock:
            exchange = self._find(ident)
            if exchange is None:
                return
            now = clock()
            self._finish(exchange, outcome, spent, result, now)
            self._settle(now)
            self._drop(exchange)

    def measured(self, values: list[float]) -> None:
        with self.lock:
            self.gauges = dict(zip(self.settings.gauges, values, strict=False))
            self.gauges_at = clock()

    # The life of the process

    def leave(self, left: int, given: int) -> None:
        """`left`: from the notice to the kill; `given`: the notice's time, which may lie behind."""
        with self.lock:
            self.control.leaving(left, given)
            self.leaving = True
            self._settle(clock())

    def repool(self, pooling: Pooling | None) -> bool:
        """Takes other pools at once; False where they are what they were."""
        with self.lock:
            if pooling == self.settings.pooling:
                return False
            self.settings.pooling = pooling  # also for a module that is made anew when the cores come up
            now = clock()
            self.control.repool(pooling, now)
            self._settle(now)
            return True

    def figures(self) -> dict[str, float]:
        """What the module believes of its pools and its limit on calls, for the log."""
        with self.lock:
            control = self.control
            if control.pools is None:
                return {}
            return control.pools.figures() | {"calls.limit": round(control.below.value, 2)}

    def tick_forever(self) -> None:
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

    # Under the lock

    def _settle(self, now: int) -> None:
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
        # a run that was stopped serves nobody who waits for it
        outcome = Outcome.OK if end.outcome is Outcome.OK else Outcome.ERROR
        self.control.finished(exchange.rpc, outcome, now - exchange.rpc.since, now)
        exchange.post(Ended(outcome, end.result))
        self._settle(now)

    def _finish(self, exchange: Exchange, outcome: Outcome, spent: int, result: bytes, now: int) -> None:
        """The end of a run, for the module, its own thread and the repeats that wait for it."""
        exchange.ended, owed = True, not exchange.rpc.answered
        end = Ended(outcome, result)
        self.control.finished(exchange.rpc, outcome, spent, now)
        if owed:
            exchange.post(end)
        for waiting in self.tokens.ended(exchange, end):
            self._joined(waiting, end)

    def _find(self, ident: str) -> Exchange | None:
        exchange = self.exchanges.get(ident)
        if exchange is None or exchange.ended:
            self.counters.add("interpreter.unknown")
            return None
        return exchange

    def _drop(self, exchange: Exchange) -> None:
        if not exchange.served and not exchange.open:
            self.exchanges.pop(exchange.ident, None)
            self.of.pop(exchange.rpc, None)
