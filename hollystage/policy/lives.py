"""Lifecycle of one RPC: a generator that yields actions and is resumed with events and outcomes."""
from __future__ import annotations

from collections.abc import Generator
from typing import Any

from ..interface import Action, Do, Halt, Kind, Outcome, Rpc
from .buckets import *
from .measures import Measures


class Lives(Measures):
    """Carries each RPC from its arrival to its end."""

    def _life(self, rpc: Rpc) -> Generator[Action | None, Any, None]:
        """Yields the next action for the RPC, or None to wait; `_resume` sends it events and outcomes."""
        method = rpc.method
        keyed = method.kind is Kind.TOKENED
        if rpc.earlier is not None and rpc.earlier.ran:
            self._move(rpc, JOINED)
            event = yield Action(Do.JOIN, rpc)
            if event in (OVERDUE, DROP):
                yield Action(Do.ABORT, rpc)
            return
        reason = self._unwanted(rpc)
        if reason:
            self.turned.add(1, self.now, 0)
            last = reason == "late" or not self._in_share(rpc) and self._no_better_off()
            self.sent_on.add(not last, self.now, 0)
            yield self._push_back(rpc, last=last)
            return
        if rpc.earlier is not None and rpc.earlier.place == HELD and keyed:
            # the newer attempt replaces the queued one, which its caller has most likely given up
            rpc.tag = min(rpc.tag, rpc.earlier.tag)
            self.kept.discard(rpc.earlier)
            self._resume(rpc.earlier, DROP)
        if keyed:
            self.kept.add(rpc)
            self._line_up(self.key_expiries, self.now + method.window, rpc)
            yield Action(Do.KEEP, rpc, method.window)
        self._move(rpc, HELD)
        self._queue(self.holds, rpc)
        event = yield None
        if event is not START:
            if keyed and rpc in self.kept and event is not GONE:
                self.kept.discard(rpc)
                yield Action(Do.FORGET, rpc)
            if event is not GONE:
                yield self._push_back(rpc, last=True)
            return
        rpc.ran = True
        self._move(rpc, RUNNING)
        event = yield Action(Do.START, rpc)
        while not isinstance(event, Outcome):
            if event is AT_CALL and not rpc.answered:
                event = yield from self._below(rpc)
                continue
            # an RPC that ran is rejected only if it may run again; work is halted unless a repeat may join it
            if not rpc.answered and event is not GONE:
                may_repeat = event is DROP and method.kind is Kind.IDEMPOTENT
                self.out.append(self._push_back(rpc, last=False) if may_repeat else Action(Do.ABORT, rpc))
            rpc.answered = True
            may_halt = self.set.halt is not Halt.NONE and not keyed and event is not DROP
            event = yield Action(Do.HALT, rpc) if may_halt else None

    def _below(self, rpc: Rpc) -> Generator[Action | None, Any, Any]:
        """The attempts of one downstream call; returns the event with which the run goes on or ends."""
        method, idempotent, may_call = rpc.method, rpc.method.kind is Kind.IDEMPOTENT, True
        while True:
            event: Any = SKIP
            saturated = self.places[WAITING] >= self.set.cores or (
                self.pools is not None and self.pools.choked(rpc))
            if may_call and not (method.skip_share > 0 and saturated):
                self._move(rpc, WAITING)
                self._queue(self.waits, rpc)
                event = yield None
            if event is SKIP:
                self._move(rpc, RUNNING)
                rpc.answered = not method.skip_share
                return (yield Action(Do.ABORT if rpc.answered else Do.SKIP, rpc))
            if event is not GO:
                return event
            self._move(rpc, CALLING)
            rpc.called += 1
            # a call that cannot end before the target may take until the due time: a shorter timeout would
            # only waste the work
            half_work = int(self._work(rpc) / 2)
            fits_target = rpc.target - self.now - half_work > SLOW * self.usual_call
            timeout = (rpc.target if fits_target else rpc.due) - self.now - half_work
            loss_timeout = int(SILENT * self.usual_call) if idempotent and self._seldom() else 0
            event = yield Action(Do.CALL, rpc, max(TICK, min(timeout, loss_timeout or timeout, self.pacer.longest)))
            if event is Outcome.OK:
                self._move(rpc, RUNNING)
                return (yield None)
            if not isinstance(event, Outcome) or event in (Outcome.CANCELLED, Outcome.MOOT):
                return event
            # a call is retried only if it provably did not run or may run again
            lost = event in LOST and self._seldom() and self._left(rpc) > 0
            may_call = idempotent and lost if method.skip_share > 0 else idempotent or event in UNSEEN

    def _push_back(self, rpc: Rpc, last: bool) -> Action:
        """Answers the RPC as rejected; `last` advises the caller not to retry elsewhere."""
        rpc.answered = True
        if not rpc.further:
            self.ends[rpc.method].add(self.now - rpc.target + rpc.method.latency_target, self.now)
        # advice when to retry: the time until the next run is likely to have ended
        retry_after = self.set.longest_advice if self.stuck or self.stop else self._cost(rpc.method) / self._limit()
        if self.calendar is not None and rpc.promised:
            self.calendar.broke()
        if self.calendar is not None and last and not self.stuck and not self.stop:
            latest = int(min(rpc.target, rpc.due) - 2 * self._work(rpc))
            retry_after = self.calendar.promise(rpc.caller, self.numbers[rpc.method], self.now, latest) or 1e9
        return Action(Do.PUSH_BACK, rpc, int(min(retry_after, self.set.longest_advice)), last)
