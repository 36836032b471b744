"""What the module makes of itself: costs, waits and bounds, and whether an RPC is wanted here."""
from __future__ import annotations

from heapq import heappop

from ..interface import Kind, Method, Rpc
from .buckets import *
from .lines import Lines

INSIDE = 0.75  # in place of the former for what lies in a tenant's share
PASSED = 0.1  # share of what is read that others turned away before: they are pressed too


class Measures(Lines):
    def _left(self, rpc: Rpc) -> float:
        return min(rpc.target, rpc.due) - self.now - self._work(rpc) / 2 - self.usual_call

    def _seldom(self) -> bool:
        """Guards the window, and what waits, against single odd replies: only many mean trouble below."""
        return self.odd.mean(self.now, weight=3) <= ODD

    def _unwanted(self, rpc: Rpc) -> str:
        if self.stop and self.now - rpc.waited >= self.closing - TICK or self.stuck:
            return "away"
        key = self.set.key_size if rpc.method.kind is Kind.TOKENED else 0
        apart = self.pools.memory(self.numbers[rpc.method]) if self.pools is not None else 0.0
        if self._taken() + rpc.size + key > (FULL - apart) * self.set.memory:
            return "memory"
        idle = self._idle() and not self.places[HELD] or self._welcome(rpc)
        # with cores idle it is tried whatever its usual cost: guards against costs learned in a bad moment
        # (cold, slow, crowded) that turn all away and so are never learned anew; wastes one run at a time
        if self.now >= min(rpc.target, rpc.due) or not idle and self._hopeless(rpc):
            return "late"
        if self.pressed and rpc.level >= BUCKETS and not rpc.promised and not (
                self.pools is not None and self.pools.entitled(rpc, self._limit(), self.now)):
            return "pressed"
        return "slow" if not idle and not rpc.promised and self._hopeless(rpc, self._wait(rpc)) else ""

    def _welcome(self, rpc: Rpc) -> bool:
        """Whether its pool, or the reserve, has a place for it whatever the others do."""
        if self.pools is None:
            return False
        taken, heads = self.places[RUNNING], [self._head(line, HELD) for line in self.holds]
        return self.pools.welcome(rpc, self.numbers[rpc.method], self._limit(), taken, heads, self.now)

    def _bouncing(self, share: float) -> bool:
        return self.turned.mean(self.now) > share

    def _no_better_off(self) -> bool:
        """Whether other servers are likely as pressed: much bounces here, and a part of it did elsewhere.

        Guards a fleet that is pressed as a whole against reading again and again what it turns away; one box
        under more than the others (popular subjects, a slow core) sends its callers on. Where callers neither
        mark further tries nor tell their patience the two look alike: there a part of what is read is sent
        on, too little to drown the others if they are pressed too, enough to relieve a box that alone is."""
        pressed_too = self.passed.mean(self.now) > PASSED or self.sent_on.mean(self.now) > BOUNCED
        return self._bouncing(BOUNCED) and pressed_too and not self.room_elsewhere

    def _in_share(self, rpc: Rpc) -> bool:
        """Most likely worth its method's criticality in full. Guards the tenants within their shares against
        being turned away like one that sends far beyond its own; harms where they add up to too much."""
        return rpc.tenant is not None and rpc.level == 1

    def _reading_lags(self) -> bool:
        return self.unread.mean(self.now) > UNREAD * self.shortest

    def _limit(self) -> float:
        # guards against reading and runs together crowding the cores; harms where these would take the crowd
        return max(self.lim - self.extra, float(self.set.cores))

    def _idle(self) -> bool:
        return self.places[RUNNING] + 1 <= self.lim and self.busy < LOW

    def _age(self, rpc: Rpc) -> int:
        """How long the client has waited already: first tries come with one of a few patiences, learned over
        all callers (each may be seen here once only), later ones mostly with all that is left."""
        # marked as a further one: most likely turned away elsewhere at the age at which first tries are here
        elsewhere = int(self.ends[rpc.method].mean(self.now, weight=1)) if rpc.further else 0
        if not rpc.patience:  # callers that tell nothing: that age is all there is
            return elsewhere
        seen, deadline, firsts = rpc.patience + rpc.waited, rpc.method.deadline, self.firsts[rpc.method]
        at = min(BINS, BINS * seen // deadline)
        if not rpc.further:
            firsts[:] = [count * STAY + (j == at) for j, count in enumerate(firsts)]
        if sum(firsts[at:at + 2]) <= COMMON * sum(firsts):
            return max(0, deadline - seen)
        return min(max(0, deadline - seen), elsewhere)  # a further one, yet with a first one's patience

    def _hopeless(self, rpc: Rpc, wait: float = 0.0) -> bool:
        """Whether what is left before the target no longer fits the RPC's usual cost and, where it cannot
        do without a call, what such RPCs wait for theirs beyond a usual one."""
        # a run that may just fit is worth the try for the critical, waste for the least where much bounces
        costs = self.rank[rpc.method]
        if self._bouncing(BOUNCED):
            costs *= INSIDE if self._in_share(rpc) else CHOOSY if costs >= 1 else 1
        waits = 0 if rpc.method.skip_share else self.offs[rpc.method].mean(self.now, 0, 1) - self.usual_call
        return self.now + wait + costs * self._work(rpc) + max(0, waits) > min(rpc.target, rpc.due)

    def _cost(self, method: Method) -> float:
        """Usual time on the cores, as it is with the present crowd on them."""
        # part of a generous run is mixed in: what is not run for a while is forgotten and tried again
        return self.runs[method].mean(self.now, 1e6 / GENEROUS, FORGET)

    def _work(self, rpc: Rpc) -> float:
        """Its own time on the cores, microseconds: its hint at the pace measured here, else its method's."""
        return rpc.hint * self.pace.mean(self.now, 1.0, 1e6) if rpc.hint else self._cost(rpc.method)

    def _wait(self, rpc: Rpc) -> float:
        number = rpc.seat.find() if rpc.seat is not None else 0
        ahead = [sum(self._work(r) for tag, _, r in line if tag <= rpc.tag and r.place == HELD)
                 for line in self.holds[:len(self.holds) - 1 or 1]]
        wait = ahead[0] / self._limit() if self.pools is None else self.pools.wait(
            rpc, ahead[number], sum(ahead), self._limit())
        return 1.5 * wait  # half as much again: others that are due sooner will yet come

    def _crowd(self) -> float:
        warm = min(1.0, (self.now - self.born) / max(1, self.set.warm_after)) if self.set.cold else 1.0
        speed = self.set.cold_from + (1 - self.set.cold_from) * warm
        return self.set.cores * max(1.0, HEADROOM * (1 + (self.set.fall_multiple - 1) * speed))

    def _taken(self) -> float:
        while self.keys and self.keys[0][0] < self.now:
            self.kept.discard(heappop(self.keys)[2])
        return self.memory + len(self.kept) * self.set.key_size
