"""One RPC, from top to bottom: a generator that yields what it wants done and is resumed with the result."""
from __future__ import annotations

from collections.abc import Generator
from typing import Any

from ..interface import Action, Do, Halt, Kind, Outcome, Rpc
from .buckets import *
from .measures import Measures


class Lives(Measures):
    def _life(self, rpc: Rpc) -> Generator[Action | None, Any, None]:
        method = rpc.method
        tokened = method.kind is Kind.TOKENED
        if rpc.earlier is not None and rpc.earlier.ran:
            self._move(rpc, JOINED)
            word = yield Action(Do.JOIN, rpc)
            if word in (OVERDUE, DROP):
                yield Action(Do.ABORT, rpc)
            return
        unwanted = self._unwanted(rpc)
        if unwanted:
            self.turned.add(1, self.now, 0)
            stay = unwanted == "late" or not self._in_share(rpc) and self._no_better_off()
            self.sent_on.add(not stay, self.now, 0)
            yield self._push_back(rpc, last=stay)
            return
        if rpc.earlier is not None and rpc.earlier.place == HELD and tokened:
            # the newer try takes the place of the held one: its caller has most likely given the older up
            rpc.tag = min(rpc.tag, rpc.earlier.tag)
            self.kept.discard(rpc.earlier)
            self._resume(rpc.earlier, DROP)
        if tokened:
            self.kept.add(rpc)
            self._line_up(self.keys, self.now + method.window, rpc)
            yield Action(Do.KEEP, rpc, method.window)
        self._move(rpc, HELD)
        self._queue(self.holds, rpc)
        word = yield None
        if word is not START:
            if tokened and rpc in self.kept and word is not GONE:
                self.kept.discard(rpc)
                yield Action(Do.FORGET, rpc)
            if word is not GONE:
                yield self._push_back(rpc, last=True)
            return
        rpc.ran = True
        self._move(rpc, RUNNING)
        word = yield Action(Do.START, rpc)
        while not isinstance(word, Outcome):
            if word is AT_CALL and not rpc.answered:
                word = yield from self._below(rpc)
                continue
            # what ran is pushed back only where it may run again; work is stopped unless a repeat may join it
            if not rpc.answered and word is not GONE:
                again = word is DROP and method.kind is Kind.IDEMPOTENT
                self.out.append(self._push_back(rpc, last=False) if again else Action(Do.ABORT, rpc))
            rpc.answered = True
            stoppable = self.set.halt is not Halt.NONE and not tokened and word is not DROP
            word = yield Action(Do.HALT, rpc) if stoppable else None

    def _below(self, rpc: Rpc) -> Generator[Action | None, Any, Any]:
        """The calls of one run; returns the word that ended the wait."""
        method, free, again = rpc.method, rpc.method.kind is Kind.IDEMPOTENT, True
        while True:
            word: Any = SKIP
            choked = self.places[WAITING] >= self.set.cores or (
                self.pools is not None and self.pools.choked(rpc))
            if again and not (method.skip_share > 0 and choked):
                self._move(rpc, WAITING)
                self._queue(self.waits, rpc)
                word = yield None
            if word is SKIP:
                self._move(rpc, RUNNING)
                rpc.answered = not method.skip_share
                return (yield Action(Do.ABORT if rpc.answered else Do.SKIP, rpc))
            if word is not GO:
                return word
            self._move(rpc, CALLING)
            rpc.called += 1
            # a call that cannot end before the target is given until the due time; a shorter wastes work
            half = int(self._work(rpc) / 2)
            soon = rpc.target - self.now - half > SLOW * self.usual_call
            span = (rpc.target if soon else rpc.due) - self.now - half
            brief = int(SILENT * self.usual_call) if free and self._seldom() else 0
            word = yield Action(Do.CALL, rpc, max(TICK, min(span, brief or span, self.pacer.longest)))
            if word is Outcome.OK:
                self._move(rpc, RUNNING)
                return (yield None)
            if not isinstance(word, Outcome) or word in (Outcome.CANCELLED, Outcome.MOOT):
                return word
            # a call is repeated only where it is proven not to have run, or may run again
            lost = word in LOST and self._seldom() and self._left(rpc) > 0
            again = free and lost if method.skip_share > 0 else free or word in UNSEEN

    def _push_back(self, rpc: Rpc, last: bool) -> Action:
        rpc.answered = True
        if not rpc.further:
            self.ends[rpc.method].add(self.now - rpc.target + rpc.method.latency_target, self.now)
        # a time to come back: when the next run is likely to have ended
        soon = self.set.longest_advice if self.stuck or self.stop else self._cost(rpc.method) / self._limit()
        if self.calendar is not None and rpc.promised:
            self.calendar.broke()
        if self.calendar is not None and last and not self.stuck and not self.stop:
            latest = int(min(rpc.target, rpc.due) - 2 * self._work(rpc))
            soon = self.calendar.promise(rpc.caller, self.numbers[rpc.method], self.now, latest) or 1e9
        return Action(Do.PUSH_BACK, rpc, int(min(soon, self.set.longest_advice)), last)
