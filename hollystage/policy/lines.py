"""What the module holds, the lines that RPCs stand in, and how one is moved along."""
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

LEAST, MOST = 0.1, 0.9  # bounds of that window, as shares of what this server may have in hand below
BOOKS = {RUNNING: CORES, WAITING: WAITS, CALLING: CALLS}  # places that pools keep books of


class Lines:
    def __init__(self, settings: Settings, now: int) -> None:
        self.set, self.born, self.now = settings, now, now
        self.out: list[Action] = []
        self.dues: Line = []
        self.keys: Line = []
        self.numbers = {method: number for number, method in enumerate(settings.methods)}
        self.pools: Pools | None = None
        self.calendar = Calendar(settings.longest_advice) if settings.promises else None
        self.room_elsewhere = False  # as far as peers tell
        self.holds: list[Line] = [[]]  # a line for each pool, and behind them the cheapest of all once more
        self.waits: list[Line] = [[]]  # for a call
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
        least = min(m.criticality for m in settings.methods)
        self.rank = {m: (least / m.criticality) ** 0.5 if m.criticality else 1.0 for m in settings.methods}
        self.progress = self.planned = self.freed = self.cut_at = self.next_call = now
        self.stop = self.closing = self.count = 0
        self.open, self.said = 0.3 if settings.cold else 1.0, -1.0
        # a tier of servers below guards itself and tells no share: calls are bounded by our own crowd
        crowd = settings.cores * settings.fall_multiple
        share, given = crowd if settings.tier_below else max(0.01, settings.calls_out), settings.below
        most = given.most or share * MOST
        least = min(most, given.least or share * LEAST)
        self.below = limit_of(given.policy, min(most, share / 2), least, most, now)
        self.stalls = Stalls(LATE)
        self.pace = Decaying(now)  # time on the cores over the hints of the RPCs that took it
        self.lingering: list[int] = []
        self.pacer = Pacer(now, 0.0, settings.calls_over)

    def _move(self, rpc: Rpc, place: str) -> None:
        if rpc.place in (WAITING, CALLING):
            rpc.off_cores += self.now - rpc.since
        if rpc.place == CALLING and place == OVER:
            heappush(self.lingering, self.now + self.set.linger)
        for old, sign in ((rpc.place, -1), (place, 1)):
            if old:
                self.places[old] += sign
                weight = self.set.run_factor if old in (RUNNING, CALLING, WAITING) else old != OVER
                self.memory += sign * weight * rpc.size
        if self.pools is not None:
            self.pools.moved(rpc, BOOKS.get(rpc.place, OUT), BOOKS.get(place, OUT), self.now)
        rpc.place, rpc.since = place, self.now

    def _line_up(self, line: Line, at: int, rpc: Rpc) -> None:
        self.count += 1
        heappush(line, (at, self.count, rpc))

    def _resume(self, rpc: Rpc, word: Any) -> None:
        """Lets the RPC go on with `word` until it waits again; words for what is over are dropped."""
        if rpc.life is None:
            return
        try:
            while True:
                action = rpc.life.send(word)
                if action is None:
                    return
                self.out.append(action)
                if rpc.place in (RUNNING, CALLING, WAITING, JOINED):
                    return
                word = None
        except StopIteration:
            rpc.life, rpc.answered, rpc.earlier = None, True, None
            self._move(rpc, OVER)

    def _head(self, line: Line, place: str) -> int | None:
        while line and (line[0][2].place != place or line[0][2].answered):
            heappop(line)
        return line[0][0] if line else None

    def _next(self, lines: list[Line], place: str, limit: float, taken: int) -> Line | None:
        """The line whose first may go on, if any may."""
        heads = [self._head(line, place) for line in lines]
        if self.pools is None:
            return lines[0] if heads[0] is not None and taken + 1 <= limit else None
        at = (self.pools.start if place == HELD else self.pools.call)(limit, heads, taken, self.now)
        if at == NOWHERE:
            return None
        lines[at][0][2].spare = at == self.pools.count
        return lines[at]

    def _queue(self, lines: list[Line], rpc: Rpc) -> None:
        number = rpc.seat.find() if rpc.seat is not None and self.pools is not None else 0
        self._line_up(lines[number], rpc.tag, rpc)
        if self.pools is not None and self.pools.is_cheap(self.numbers[rpc.method]):
            self._line_up(lines[-1], rpc.tag, rpc)
