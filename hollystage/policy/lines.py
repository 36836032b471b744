"""State of the decision module, its queues, and the transitions of an RPC between states."""
from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

from ..decisions.calls.limits import limit_of
from ..decisions.calls.pacing import Pacer
from ..decisions.calls.pools import CALLS, CORES, NOWHERE, OUT, WAITS, Pools
from ..decisions.comeback.calendar import Calendar
from ..decisions.stalls import Stalls
from ..interface import Action, Method, Rpc, Settings, Tenant
from .buckets import *

# default bounds of the call limit, as shares of the concurrent calls that this instance may make
LEAST, MOST = 0.1, 0.9
BOOKS = {RUNNING: CORES, WAITING: WAITS, CALLING: CALLS}  # states in which an RPC takes a slot of its pool


class Lines:
    """State of the decision module and its basic operations on queues and states."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.set, self.born, self.now = settings, now, now
        self.out: list[Action] = []
        self.dues: Line = []
        self.key_expiries: Line = []
        self.numbers = {method: number for number, method in enumerate(settings.methods)}
        self.pools: Pools | None = None
        self.calendar = Calendar(settings.longest_advice) if settings.promises else None
        self.room_elsewhere = False  # whether peers report spare capacity
        # queues for the cores and for downstream calls: one for each pool, then one more with the cheapest
        # work of all pools, which is also in the queue of its pool
        self.holds: list[Line] = [[]]
        self.waits: list[Line] = [[]]
        self.kept: set[Rpc] = set()
        self.places = dict.fromkeys((HELD, RUNNING, CALLING, WAITING, JOINED, OVER), 0)
        self.memory = self.extra = self.busy = self.usual_call = 0.0
        self.lim = float(settings.cores)
        self.clients: dict[tuple[Tenant | None, Method], Client] = {}
        self.runs, self.ends, self.offs = ({m: Decaying(now) for m in settings.methods} for _ in range(3))
        self.firsts = {m: [0.0] * (BINS + 1) for m in settings.methods}
        self.pressed, self.stuck, self.drowned, self.healthy = False, False, False, True
        self.seen: dict[int, int] = {}
        self.idle, self.known = settings.longest_idle, Decaying(now, max(SPAN, settings.longest_idle))
        self.unread, self.turned, self.odd, self.passed, self.sent_on = (
            Decaying(now, RECENT) for _ in range(5))
        targets = [m.latency_target for m in settings.methods]
        self.shortest, self.longest = min(targets), max(targets)
        lowest = min(m.criticality for m in settings.methods)
        self.rank = {m: (lowest / m.criticality) ** 0.5 if m.criticality else 1.0 for m in settings.methods}
        self.progress = self.planned = self.freed = self.cut_at = self.next_call = now
        self.stop = self.closing = self.sequence = 0
        self.admit_level, self.said = 0.3 if settings.cold else 1.0, -1.0
        # a tier of servers limits its own load and announces no share: the number of calls is bounded by the
        # number of RPCs that this instance may start
        concurrency = settings.cores * settings.fall_multiple
        share, config = concurrency if settings.tier_below else max(0.01, settings.calls_out), settings.below
        max_limit = config.most or share * MOST
        min_limit = min(max_limit, config.least or share * LEAST)
        self.below = limit_of(config.policy, min(max_limit, share / 2), min_limit, max_limit, now)
        self.stalls = Stalls(LATE)
        self.pace = Decaying(now)  # time on the cores for each microsecond of hinted work
        self.lingering: list[int] = []
        self.pacer = Pacer(now, 0.0, settings.calls_over)

    def _move(self, rpc: Rpc, state: str) -> None:
        """Changes the state of an RPC and the counts, memory and pool slots that depend on it."""
        if rpc.place in (WAITING, CALLING):
            rpc.off_cores += self.now - rpc.since
        if rpc.place == CALLING and state == OVER:
            heappush(self.lingering, self.now + self.set.linger)
        for changed, sign in ((rpc.place, -1), (state, 1)):
            if changed:
                self.places[changed] += sign
                weight = self.set.run_factor if changed in (RUNNING, CALLING, WAITING) else changed != OVER
                self.memory += sign * weight * rpc.size
        if self.pools is not None:
            self.pools.moved(rpc, BOOKS.get(rpc.place, OUT), BOOKS.get(state, OUT), self.now)
        rpc.place, rpc.since = state, self.now

    def _line_up(self, queue: Line, at: int, rpc: Rpc) -> None:
        """Puts an RPC on a heap; equal keys keep their order of arrival."""
        self.sequence += 1
        heappush(queue, (at, self.sequence, rpc))

    def _resume(self, rpc: Rpc, event: Any) -> None:
        """Sends `event` to the lifecycle of the RPC and runs it until it waits for the next event.

        Events for an RPC that is over are ignored.
        """
        if rpc.life is None:
            return
        try:
            while True:
                action = rpc.life.send(event)
                if action is None:
                    return
                self.out.append(action)
                if rpc.place in (RUNNING, CALLING, WAITING, JOINED):
                    return
                event = None
        except StopIteration:
            rpc.life, rpc.answered, rpc.earlier = None, True, None
            self._move(rpc, OVER)

    def _head(self, queue: Line, state: str) -> int | None:
        """Smallest finish tag of the queue, after removing RPCs that are answered or no longer in `state`."""
        while queue and (queue[0][2].place != state or queue[0][2].answered):
            heappop(queue)
        return queue[0][0] if queue else None

    def _next(self, queues: list[Line], state: str, limit: float, taken: int) -> Line | None:
        """The queue whose first RPC may go on, or None. `taken` slots of `limit` are in use."""
        heads = [self._head(queue, state) for queue in queues]
        if self.pools is None:
            return queues[0] if heads[0] is not None and taken + 1 <= limit else None
        chosen = (self.pools.start if state == HELD else self.pools.call)(limit, heads, taken, self.now)
        if chosen == NOWHERE:
            return None
        queues[chosen][0][2].spare = chosen == self.pools.count
        return queues[chosen]

    def _queue(self, queues: list[Line], rpc: Rpc) -> None:
        """Puts an RPC into the queue of its pool and, if its method is cheap, also into the last queue."""
        number = rpc.seat.find() if rpc.seat is not None and self.pools is not None else 0
        self._line_up(queues[number], rpc.tag, rpc)
        if self.pools is not None and self.pools.is_cheap(self.numbers[rpc.method]):
            self._line_up(queues[-1], rpc.tag, rpc)
