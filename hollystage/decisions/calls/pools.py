"""Who may run and who may be at a call, where methods are in pools: guarantees, ceilings, lending, the reserve.

Within a pool the order is the cascade's: this module sees but the smallest tag of each. Between pools:

1. A pool in need, one that holds something and runs less than its guarantee, goes before all that borrow.
2. Else the smallest tag of those that may borrow: under their ceiling, and not on what a pool that does not lend
   has left.
3. Where no place is free, the cheapest work may still use the reserve.

Nothing that runs is stopped: a lender in need takes the next place that comes free, so it has its share back within
one usual run. Where a guarantee is less than one place, it is kept in the mean, by the time that places were held.
"""
from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from math import ceil, exp, floor

from ...interface import Pool, Pooling, Rpc, Seat
from .further import Budget
from .limits import Ended, Limit, limit_of

MEMORY = 1_000_000  # over which the use of fractional guarantees is remembered
FEWER = 0.8  # a method must be so much cheaper to take the reserve from the one that has it
NOWHERE = -1
OUT, CORES, WAITS, CALLS = range(4)  # where an RPC is: in none of the places, or in one of them


@dataclass(slots=True)
class Use:
    """What one pool has of one kind of place."""

    held: int = 0  # places
    time: float = 0.0  # places times time, decaying
    at: int = 0
    lent: int = 0  # starts beyond its guarantee
    needed: int = 0  # starts within it


class Places:
    """The places of one kind, cores or calls, over all pools; the last of `extra` is the reserve's."""

    def __init__(self, pools: Sequence[Pool], reserve: float, now: int) -> None:
        self.pools, self.reserve = pools, reserve
        self.uses = [Use(at=now) for _ in pools]
        self.apart = [at for at, pool in enumerate(pools) if not pool.lends]
        self.limit = 0.0
        self.spare = Use(at=now)  # what the reserve's work has

    def add(self, pool: int, many: int, now: int, reserve: bool = False) -> None:
        use = self.spare if reserve else self.uses[pool]
        use.time = self._passed(use.time, use.held, use.at, now)
        use.held, use.at = use.held + many, now

    @staticmethod
    def _passed(time: float, held: float, at: int, now: int) -> float:
        left = exp((at - now) / MEMORY) if now > at else 1.0
        return time * left + held * MEMORY * (1 - left)

    def had(self, pool: int, limit: float, now: int) -> float:
        """The pool's places over the last while, as a multiple of its guarantee."""
        use = self.uses[pool]
        return self._passed(use.time, use.held, use.at, now) / max(
            1e-9, self.pools[pool].guaranteed * limit * MEMORY)

    def needs(self, pool: int, limit: float, now: int) -> bool:
        """Whether one more would be within the pool's guarantee; of a part of a place, in the mean."""
        share, held = self.pools[pool].guaranteed * limit, self.uses[pool].held
        return held + 1 <= share or held < share and self.had(pool, limit, now) < 1

    def kept(self, limit: float) -> int:
        """Places that are not given to others than the reserve's work."""
        return floor(self.reserve * limit + 1e-9)

    @property
    def reserved(self) -> int:
        return self.spare.held

    def spare_open(self, limit: float, now: int) -> bool:
        """Whether the reserve has a place. A part of one is there in the mean only: a whole place beyond the limit,
        always taken under load, slows all the others (2% of what was served, measured)."""
        places = self.reserve * limit
        if self.spare.held + 1 <= places:
            return True
        had = self._passed(self.spare.time, self.spare.held, self.spare.at, now)
        return self.spare.held + 1 <= ceil(places - 1e-9) and had < places * MEMORY

    def choose(self, limit: float, heads: Sequence[int | None], taken: int, now: int) -> int:
        """Which line may send its first: a pool's number, their count for the reserve's line, or NOWHERE.

        `heads`: the smallest tag of each pool, and last that of the cheapest work; None where there is none.
        `taken`: places that are taken in all, those of RPCs without a pool (from before there were any) too.
        """
        count, self.limit = len(self.pools), limit
        free = limit - self.kept(limit) - (taken - self.reserved)
        if free >= 1 or not taken and not self.kept(limit):
            needy = self._least(heads, lambda pool: self.uses[pool].held + 1 <= self.pools[pool].guaranteed * limit)
            if needy == NOWHERE:
                needy = self._furthest_behind(heads, limit, now)
            if needy != NOWHERE:
                self.uses[needy].needed += 1
                return needy
            borrower = self._least(heads, lambda pool: self._may_borrow(pool, limit, free))
            if borrower != NOWHERE:
                self.uses[borrower].lent += 1
                return borrower
        if heads[count] is not None and self.spare_open(limit, now):
            return count
        return NOWHERE

    def _furthest_behind(self, heads: Sequence[int | None], limit: float, now: int) -> int:
        """Of the pools whose guarantee has a part of a place left: the one that had the least of it. By tags the
        first few of many small pools would each overdraw a little, and the last get nothing."""
        behind = [(self.had(pool, limit, now), tag, pool) for pool, (spec, tag) in enumerate(
            zip(self.pools, heads, strict=False))
            if tag is not None and self.uses[pool].held < spec.guaranteed * limit]
        least = min(behind, default=(1.0, 0, NOWHERE))
        return least[2] if least[0] < 1 else NOWHERE

    def _least(self, heads: Sequence[int | None], may: Callable[[int], bool]) -> int:
        best, found = NOWHERE, 0
        for pool in range(len(self.pools)):
            tag = heads[pool]
            if tag is not None and (best == NOWHERE or tag < found) and may(pool):
                best, found = pool, tag
        return best

    def _may_borrow(self, pool: int, limit: float, free: float) -> bool:
        if self.uses[pool].held + 1 > max(1.0, self.pools[pool].ceiling * limit):
            return False
        apart = sum(max(0, floor(self.pools[at].guaranteed * limit) - self.uses[at].held)
                    for at in self.apart if at != pool)
        return free - apart >= 1


@dataclass(slots=True)
class Cheapest:
    """Which methods the reserve is for: the cheapest, by what they cost, as far as the reserve can serve them."""

    methods: frozenset[int] = frozenset()
    costs: dict[int, float] = field(default_factory=dict)

    def learn(self, rows: Sequence[tuple[int, float, float]], room: float) -> None:
        """`rows`: method, RPCs a second, cost of one in microseconds, on the cores and below; `room`: how many
        seconds of work a second the reserve has. At least one method, as long as one is asked for."""
        self.costs = {method: cost for method, _, cost in rows}
        # who has the reserve keeps it until another is clearly cheaper: costs are noisy
        ranked = sorted(rows, key=lambda row: row[2] * (FEWER if row[0] in self.methods else 1.0))
        chosen: list[int] = []
        left = room
        for method, rate, cost in ranked:
            need = rate * cost / 1e6
            if chosen and need > left:
                break
            chosen.append(method)
            left -= need
            if left <= 0:
                break
        # what costs about as much as all is not cheap: the reserve would be a pool like any other
        mean = sum(rate * cost for _, rate, cost in rows) / max(1e-9, sum(rate for _, rate, _ in rows))
        self.methods = frozenset(method for method in chosen if method == chosen[0]
                                 or self.costs[method] <= mean)


class Pools:
    """The state of all pools of one instance."""

    def __init__(self, plan: Pooling, calls: float, now: int, before: Pools | None = None) -> None:
        self.plan = plan
        self.cores = Places(plan.pools, plan.reserve.running, now)
        self.calls = Places(plan.pools, plan.reserve.calls, now)
        self.budgets = [Budget(pool.retries, pool.floor, now=now) for pool in plan.pools]
        self.cheapest = Cheapest()
        self.limits: list[Limit | None] = [limit_of(pool.limit, max(1.0, calls / 2), 1.0, max(1.0, calls))
                                           if pool.limit else None for pool in plan.pools]
        self.seats = [Seat(number) for number in range(len(plan.pools))]
        self.begun = [0] * len(plan.pools)  # on the cores, waiting or at a call
        self.crowd = 1e9  # how many of those there may be in all; told at each tick
        if before is not None:
            self._take_over(before, now)

    def _take_over(self, before: Pools, now: int) -> None:
        """What a pool has goes to the pool of its name, else to its heir, else to the last; a pool that is smaller
        now drains by itself, since it starts nothing beyond its ceiling."""
        names = [pool.name for pool in self.plan.pools]
        for at, seat in enumerate(before.seats):
            to = before.heir(before.plan.pools[at].name, names)
            seat.heir = self.seats[to]
            self.cores.add(to, before.cores.uses[at].held, now)
            self.calls.add(to, before.calls.uses[at].held, now)
            self.begun[to] += before.begun[at]
            if names[to] == before.plan.pools[at].name:
                self.budgets[to].earned = before.budgets[at].earned
                own, old = self.limits[to], before.limits[at]
                if own is not None and old is not None:
                    own.value = old.value
                    own.bound(1.0, max(1.0, own.value * 2))
        self.cores.spare, self.calls.spare = before.cores.spare, before.calls.spare
        self.cheapest, self.crowd = before.cheapest, before.crowd

    def heir(self, name: str, known: Sequence[str]) -> int:
        """Which of `known` has what the pool `name` had: itself, its heir, its heir's; else the last.

        >>> old = Pools(Pooling((Pool("a", .5, heir="b"), Pool("b", .2, heir="c"))), 1.0, 0)
        >>> old.heir("a", ["c", "d"]), old.heir("a", ["b", "a"]), old.heir("b", ["x", "y"])
        (0, 1, 1)
        """
        heirs = {pool.name: pool.heir for pool in self.plan.pools}
        seen: set[str] = set()
        while name and name not in seen:
            if name in known:
                return list(known).index(name)
            seen.add(name)
            name = heirs.get(name, "")
        return len(known) - 1

    def close(self) -> None:
        """There are no pools any more: what they had belongs to none."""
        for seat in self.seats:
            seat.number = NOWHERE

    @property
    def count(self) -> int:
        return len(self.plan.pools)

    def called(self, rpc: Rpc, end: Ended) -> None:
        """A pool's own limit learns from its own calls."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        own = self.limits[number] if number != NOWHERE else None
        if own is not None:
            own.ended(replace(end, open=self.calls.uses[number].held))

    def learn(self, rows: Sequence[tuple[int, float, float]], limit: float) -> None:
        self.cheapest.learn([row for row in rows if row[1] > 0.01], self.plan.reserve.running * limit)

    def seat(self, method: int) -> Seat:
        return self.seats[self.plan.of[method] if method < len(self.plan.of) else -1]

    def is_cheap(self, method: int) -> bool:
        return self.plan.reserve.running > 0 and method in self.cheapest.methods

    def choked(self, rpc: Rpc) -> bool:
        """Whether what waits for calls, or is at them, takes the places that the pool's own runs need.

        Who can go on without its call should: a pool whose every place waits below runs nothing.
        """
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return False
        below = self.begun[number] - self.cores.uses[number].held
        others = sum(spec.guaranteed for at, spec in enumerate(self.plan.pools) if at != number)
        own = max(1.0, (1 - others) * self.cores.limit)  # what it runs on while the others have their guarantees
        return below + 1 + own > self._room(number, self.crowd, self._apart())

    def start(self, limit: float, heads: Sequence[int | None], taken: int, now: int) -> int:
        begun = sum(self.begun)
        if begun + 1 > self.crowd or all(head is None for head in heads):
            return NOWHERE
        apart = self._apart()  # once for all: their number may be large
        allowed = [head if head is not None and self.begun[at] + 1 <= self._room(at, self.crowd, apart) else None
                   for at, head in enumerate(heads[:-1])]
        return self.cores.choose(limit, [*allowed, heads[-1]], taken, now)

    def call(self, limit: float, heads: Sequence[int | None], taken: int, now: int) -> int:
        """A pool at its own limit is passed over, it does not hold up the others."""
        if all(head is None for head in heads):
            return NOWHERE
        allowed = [None if own is not None and self.calls.uses[at].held + 1 > max(1.0, own.value) else head
                   for at, (own, head) in enumerate(zip(self.limits, heads, strict=False))]
        return self.calls.choose(limit, [*allowed, heads[-1]], taken, now)

    def moved(self, rpc: Rpc, before: int, after: int, now: int) -> None:
        """Keeps the books of places: from OUT, CORES, WAITS or CALLS to another of them.

        A place on the reserve is left with it; what began on the reserve counts there until it is over.
        """
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE or before == after:
            return
        for places, kind in ((self.cores, CORES), (self.calls, CALLS)):
            if before == kind:
                places.add(number, -1, now, rpc.spare)
                rpc.spare = False
        if before == OUT:
            self.begun[number] += 1
        elif after == OUT:
            self.begun[number] -= 1
        for places, kind in ((self.cores, CORES), (self.calls, CALLS)):
            if after == kind:
                places.add(number, 1, now, rpc.spare)

    def crowd_open(self, number: int, crowd: float, begun: int) -> bool:
        """Whether one more of this pool may be under way, on the cores, waiting or at a call.

        Of these places each pool keeps as many as its guarantee on the cores; they are not lent, since one that
        waits for a slow ledger has its place for as long as the call takes. Without this a ledger that slows fills
        the crowd with calls, and methods that make none do not even start.
        """
        return begun + 1 <= crowd and self.begun[number] + 1 <= self._room(number, crowd, self._apart())

    def _asks(self, number: int) -> float:
        """What a pool has of the crowd, and what it must be able to run beside that."""
        held = self.cores.uses[number].held
        return self.begun[number] - held + max(float(held), self.plan.pools[number].guaranteed * self.cores.limit)

    def _apart(self) -> float:
        return sum(self._asks(number) for number in range(self.count))

    def _room(self, number: int, crowd: float, apart: float) -> float:
        """What of the crowd is left for one pool when each other has what it asks for; `apart`: all that is asked."""
        return max(1.0, crowd - (apart - self._asks(number)))

    def again(self, rpc: Rpc, now: int) -> bool:
        """Whether a call may be made now: a first one always, a further one where the pool's budget pays for it."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return True
        if rpc.called:
            return self.budgets[number].take(now)
        self.budgets[number].first(now)
        return True

    def entitled(self, rpc: Rpc, limit: float, now: int) -> bool:
        """Whether its pool has not got its guarantee: pushing back by class is for what borrows."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        return number != NOWHERE and self.cores.needs(number, limit, now)

    def wait(self, rpc: Rpc, own: float, all_lines: float, limit: float) -> float:
        """How long it will be held: behind its own pool's line on the guaranteed places, or behind all with a
        sooner tag on all places, whichever is sooner. `own`, `all_lines`: usual costs ahead, microseconds."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return all_lines / limit
        guaranteed = self.plan.pools[number].guaranteed * limit
        return min(all_lines / limit, own / guaranteed) if guaranteed else all_lines / limit

    def welcome(self, rpc: Rpc, method: int, limit: float, taken: int, heads: Sequence[int | None],
                now: int) -> bool:
        """Whether a place waits for this RPC whatever the others do: its pool's own, or the reserve's."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return False
        if not self.crowd_open(number, self.crowd, sum(self.begun)):
            return False
        if heads[number] is None and self.cores.needs(number, limit, now) and taken + 1 <= limit:
            return True
        return self.is_cheap(method) and heads[-1] is None and self.cores.spare_open(limit, now)

    def memory(self, method: int) -> float:
        """The share of the memory that this method may not take up."""
        return 0.0 if self.is_cheap(method) else self.plan.reserve.memory

    def figures(self) -> dict[str, float]:
        """For the counters: what each pool has and what became of its tries."""
        found: dict[str, float] = {}
        for at, pool in enumerate(self.plan.pools):
            cores, calls, own = self.cores.uses[at], self.calls.uses[at], self.limits[at]
            found |= {f"pool.{pool.name}.running": cores.held, f"pool.{pool.name}.calling": calls.held,
                      f"pool.{pool.name}.started_in_need": cores.needed, f"pool.{pool.name}.borrowed": cores.lent,
                      f"pool.{pool.name}.retries_refused": self.budgets[at].refused}
            if own is not None:
                found[f"pool.{pool.name}.limit"] = round(own.value, 2)
        return found | {"reserve.running": self.cores.reserved, "reserve.calling": self.calls.reserved}


__all__ = ["CALLS", "CORES", "NOWHERE", "OUT", "WAITS", "Cheapest", "Places", "Pools"]
