"""Estimates of costs, waiting times and capacity, and the admission decision that is based on them."""
from __future__ import annotations

from heapq import heappop

from ..interface import Kind, Method, Rpc
from .buckets import *
from .lines import Lines

INSIDE = 0.75  # replaces STRICT_COST_FACTOR for RPCs within their tenant's quota
PASSED = 0.1  # share of the read RPCs that were rejected elsewhere above which peers count as overloaded


class Measures(Lines):
    """Estimates from what was measured; costs and waiting times are microseconds."""

    def _left(self, rpc: Rpc) -> float:
        """Time left for a further call: up to the target, less half of the run and one usual call."""
        return min(rpc.target, rpc.due) - self.now - self._work(rpc) / 2 - self.usual_call

    def _seldom(self) -> bool:
        """Whether few replies are slow or lost.

        Single ones must not lower the call limit or fail waiting RPCs: only many show a faulty dependency.
        """
        return self.odd.mean(self.now, weight=3) <= ODD

    def _unwanted(self, rpc: Rpc) -> str:
        """Reason why an arriving RPC is rejected; empty if it is admitted."""
        if self.stop and self.now - rpc.waited >= self.closing - TICK or self.stuck:
            return "away"
        key = self.set.key_size if rpc.method.kind is Kind.TOKENED else 0
        reserved = self.pools.memory(self.numbers[rpc.method]) if self.pools is not None else 0.0
        if self._taken() + rpc.size + key > (FULL - reserved) * self.set.memory:
            return "memory"
        idle = self._idle() and not self.places[HELD] or self._welcome(rpc)
        # with idle cores an RPC runs whatever its usual cost: a cost learned in a bad moment (cold, slow or
        # crowded cores) would reject all RPCs of the method and never be corrected; wastes one run at a time
        if self.now >= min(rpc.target, rpc.due) or not idle and self._hopeless(rpc):
            return "late"
        if self.pressed and rpc.level >= BUCKETS and not rpc.promised and not (
                self.pools is not None and self.pools.entitled(rpc, self._limit(), self.now)):
            return "pressed"
        return "slow" if not idle and not rpc.promised and self._hopeless(rpc, self._wait(rpc)) else ""

    def _welcome(self, rpc: Rpc) -> bool:
        """Whether its pool's guarantee or the reserve has a slot for it, independent of the other pools."""
        if self.pools is None:
            return False
        taken, heads = self.places[RUNNING], [self._head(queue, HELD) for queue in self.holds]
        return self.pools.welcome(rpc, self.numbers[rpc.method], self._limit(), taken, heads, self.now)

    def _bouncing(self, share: float) -> bool:
        """Whether more than `share` of the recently read RPCs were rejected."""
        return self.turned.mean(self.now) > share

    def _no_better_off(self) -> bool:
        """Whether other servers are likely overloaded too: many RPCs are rejected here, some were elsewhere.

        If the whole fleet is overloaded, callers must not retry elsewhere, or every server reads the same
        RPCs again and again. If one server alone is (popular subjects, a slow core), they should. If callers
        neither mark retries nor send their timeout, the two cases look alike: then only a part of the
        rejected RPCs goes elsewhere, too few to overload others further, enough to relieve a single server.
        """
        peers_overloaded = self.passed.mean(self.now) > PASSED or self.sent_on.mean(self.now) > BOUNCED
        return self._bouncing(BOUNCED) and peers_overloaded and not self.room_elsewhere

    def _in_share(self, rpc: Rpc) -> bool:
        """Whether the RPC is most likely within its tenant's quota and so has its full value.

        Tenants within their quotas are not rejected like one that sends far beyond its own. Does harm if the
        quotas together exceed the capacity.
        """
        return rpc.tenant is not None and rpc.level == 1

    def _reading_lags(self) -> bool:
        """Whether RPCs lie unread for a noticeable share of the shortest target."""
        return self.unread.mean(self.now) > UNREAD * self.shortest

    def _limit(self) -> float:
        """The run limit less the cores that other threads use, at least the number of cores."""
        # reading and runs together must not crowd the cores; does harm where the cores could take that many
        return max(self.lim - self.extra, float(self.set.cores))

    def _idle(self) -> bool:
        """Whether the run limit and the CPU both have capacity left."""
        return self.places[RUNNING] + 1 <= self.lim and self.busy < LOW

    def _age(self, rpc: Rpc) -> int:
        """How long the caller has already waited, microseconds, estimated from the timeout that it sent.

        First attempts come with one of a few timeouts, which are learned over all callers (each may be seen
        here only once); later attempts mostly come with whatever time is left.
        """
        # a marked retry was most likely rejected elsewhere at the age at which first attempts are here
        elsewhere = int(self.ends[rpc.method].mean(self.now, weight=1)) if rpc.further else 0
        if not rpc.patience:  # no timeout sent: that age is the only information
            return elsewhere
        sent, deadline, histogram = rpc.patience + rpc.waited, rpc.method.deadline, self.firsts[rpc.method]
        at = min(BINS, BINS * sent // deadline)
        if not rpc.further:
            histogram[:] = [count * STAY + (j == at) for j, count in enumerate(histogram)]
        if sum(histogram[at:at + 2]) <= COMMON * sum(histogram):
            return max(0, deadline - sent)
        return min(max(0, deadline - sent), elsewhere)  # a retry with the timeout of a first attempt

    def _hopeless(self, rpc: Rpc, wait: float = 0.0) -> bool:
        """Whether the time up to the target, after `wait`, does not suffice for the RPC.

        It needs its usual cost and, if its call cannot be skipped, the time off the cores that is usual for
        its method beyond the usual duration of one call.
        """
        # a run that may just fit is worth starting for a critical method; for the least critical one it is a
        # waste while many RPCs are rejected
        factor = self.rank[rpc.method]
        if self._bouncing(BOUNCED):
            factor *= INSIDE if self._in_share(rpc) else CHOOSY if factor >= 1 else 1
        call_wait = 0 if rpc.method.skip_share else self.offs[rpc.method].mean(self.now, 0, 1) - self.usual_call
        return self.now + wait + factor * self._work(rpc) + max(0, call_wait) > min(rpc.target, rpc.due)

    def _cost(self, method: Method) -> float:
        """Usual time of a run on the cores, including the slowdown by other runs."""
        # a part of a cheap run is mixed in: the cost of a method that has not run for a while is forgotten,
        # so that the method is admitted again
        return self.runs[method].mean(self.now, 1e6 / GENEROUS, FORGET)

    def _work(self, rpc: Rpc) -> float:
        """Expected time of this RPC on the cores: by its work hint, if any, else its method's usual cost."""
        return rpc.hint * self.pace.mean(self.now, 1.0, 1e6) if rpc.hint else self._cost(rpc.method)

    def _wait(self, rpc: Rpc) -> float:
        """Expected waiting time in the run queue."""
        number = rpc.seat.find() if rpc.seat is not None else 0
        ahead = [sum(self._work(r) for tag, _, r in queue if tag <= rpc.tag and r.place == HELD)
                 for queue in self.holds[:len(self.holds) - 1 or 1]]
        wait = ahead[0] / self._limit() if self.pools is None else self.pools.wait(
            rpc, ahead[number], sum(ahead), self._limit())
        return 1.5 * wait  # half as much again: RPCs with smaller tags will still arrive

    def _crowd(self) -> float:
        """How many RPCs may be started at once: running, waiting for a call or calling."""
        warm = min(1.0, (self.now - self.born) / max(1, self.set.warm_after)) if self.set.cold else 1.0
        speed = self.set.cold_from + (1 - self.set.cold_from) * warm
        return self.set.cores * max(1.0, HEADROOM * (1 + (self.set.fall_multiple - 1) * speed))

    def _taken(self) -> float:
        """Memory in use by RPCs and idempotency keys, kilobytes; forgets keys whose window has ended."""
        while self.key_expiries and self.key_expiries[0][0] < self.now:
            self.kept.discard(heappop(self.key_expiries)[2])
        return self.memory + len(self.kept) * self.set.key_size
