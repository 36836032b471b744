"""Pools of methods share the slots on the cores and the slots for downstream calls: guarantees, ceilings, lending and
the reserve.

Within a pool the tags of the cascade decide the order; this module sees only the smallest tag of each pool. Between
pools:

1. A pool with queued RPCs that uses less than its guarantee precedes all pools that would borrow.
2. Otherwise the smallest tag wins among the pools that may borrow: those below their ceiling, as long as the unused
   guarantees of pools that do not lend stay free.
3. If no slot is free, the cheapest methods may still use the reserve.

Running RPCs are never stopped: a lender that needs its guarantee takes the next free slot, so it has its share back
within the duration of a typical run. A guarantee of less than one slot is kept in the mean, by the time for which
slots were used.
"""
from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from math import ceil, exp, floor

from ...interface import Pool, Pooling, Rpc, Seat
from .further import Budget
from .limits import Ended, Limit, limit_of

MEMORY = 1_000_000  # microseconds; time constant of the usage that fractional guarantees are compared with
FEWER = 0.8  # a method replaces one that has the reserve only if its cost is below this share of the other's
NOWHERE = -1
OUT, CORES, WAITS, CALLS = range(4)  # where an RPC is, as far as slots are concerned


@dataclass(slots=True)
class Use:
    """Usage of the slots of one kind by one pool."""

    held: int = 0  # slots
    time: float = 0.0  # slot-microseconds, exponentially decaying
    at: int = 0
    lent: int = 0  # starts beyond the guarantee
    needed: int = 0  # starts within the guarantee


class Places:
    """Allocates the slots of one kind, cores or calls, to the pools and to the reserve."""

    def __init__(self, pools: Sequence[Pool], reserve: float, now: int) -> None:
        self.pools, self.reserve = pools, reserve
        self.uses = [Use(at=now) for _ in pools]
        self.apart = [number for number, pool in enumerate(pools) if not pool.lends]
        self.limit = 0.0
        self.spare = Use(at=now)

    def add(self, pool: int, slots: int, now: int, reserve: bool = False) -> None:
        """Adds slots to the usage of a pool or of the reserve; a negative number frees slots."""
        use = self.spare if reserve else self.uses[pool]
        use.time = self._passed(use.time, use.held, use.at, now)
        use.held, use.at = use.held + slots, now

    @staticmethod
    def _passed(slot_time: float, in_use: float, updated_at: int, now: int) -> float:
        decay = exp((updated_at - now) / MEMORY) if now > updated_at else 1.0
        return slot_time * decay + in_use * MEMORY * (1 - decay)

    def had(self, pool: int, limit: float, now: int) -> float:
        """Returns the recent usage of a pool as a multiple of its guarantee."""
        use = self.uses[pool]
        return self._passed(use.time, use.held, use.at, now) / max(
            1e-9, self.pools[pool].guaranteed * limit * MEMORY)

    def needs(self, pool: int, limit: float, now: int) -> bool:
        """Returns whether one more slot is within the pool's guarantee; a fraction of a slot counts in the mean."""
        guarantee, in_use = self.pools[pool].guaranteed * limit, self.uses[pool].held
        return in_use + 1 <= guarantee or in_use < guarantee and self.had(pool, limit, now) < 1

    def kept(self, limit: float) -> int:
        """Number of whole slots that only the reserve may use."""
        return floor(self.reserve * limit + 1e-9)

    @property
    def reserved(self) -> int:
        """Number of slots that the reserve uses."""
        return self.spare.held

    def spare_open(self, limit: float, now: int) -> bool:
        """Returns whether the reserve has a free slot.

        A fraction of a slot is available in the mean only: a whole slot beyond the limit, always used under load,
        would slow all other work (measured: 2% less served).
        """
        slots = self.reserve * limit
        if self.spare.held + 1 <= slots:
            return True
        slot_time = self._passed(self.spare.time, self.spare.held, self.spare.at, now)
        return self.spare.held + 1 <= ceil(slots - 1e-9) and slot_time < slots * MEMORY

    def choose(self, limit: float, heads: Sequence[int | None], taken: int, now: int) -> int:
        """Returns the queue whose first RPC may start: the number of a pool, the number of pools for the reserve's
        queue, or NO_POOL.

        `head_tags`: the smallest tag of each pool, then that of the cheapest methods; None for an empty queue.
        `in_use`: all used slots, including those of RPCs without a pool, which started before pools were configured.
        """
        count, self.limit = len(self.pools), limit
        free = limit - self.kept(limit) - (taken - self.reserved)
        if free >= 1 or not taken and not self.kept(limit):
            chosen = self._least(heads, lambda pool: self.uses[pool].held + 1 <= self.pools[pool].guaranteed * limit)
            if chosen == NOWHERE:
                chosen = self._furthest_behind(heads, limit, now)
            if chosen != NOWHERE:
                self.uses[chosen].needed += 1
                return chosen
            borrower = self._least(heads, lambda pool: self._may_borrow(pool, limit, free))
            if borrower != NOWHERE:
                self.uses[borrower].lent += 1
                return borrower
        if heads[count] is not None and self.spare_open(limit, now):
            return count
        return NOWHERE

    def _furthest_behind(self, head_tags: Sequence[int | None], limit: float, now: int) -> int:
        """Returns the pool that used the smallest part of its guarantee, of those with a fraction of a slot left.

        If tags decided here, the first few of many small pools would each overdraw a little and the last pools would
        get nothing.
        """
        candidates = [(self.had(pool, limit, now), tag, pool) for pool, (spec, tag) in enumerate(
            zip(self.pools, head_tags, strict=False))
            if tag is not None and self.uses[pool].held < spec.guaranteed * limit]
        lowest = min(candidates, default=(1.0, 0, NOWHERE))
        return lowest[2] if lowest[0] < 1 else NOWHERE

    def _least(self, head_tags: Sequence[int | None], is_eligible: Callable[[int], bool]) -> int:
        best, best_tag = NOWHERE, 0
        for pool in range(len(self.pools)):
            tag = head_tags[pool]
            if tag is not None and (best == NOWHERE or tag < best_tag) and is_eligible(pool):
                best, best_tag = pool, tag
        return best

    def _may_borrow(self, pool: int, limit: float, free: float) -> bool:
        if self.uses[pool].held + 1 > max(1.0, self.pools[pool].ceiling * limit):
            return False
        unlent = sum(max(0, floor(self.pools[other].guaranteed * limit) - self.uses[other].held)
                     for other in self.apart if other != pool)
        return free - unlent >= 1


@dataclass(slots=True)
class Cheapest:
    """The methods that may use the reserve: the cheapest ones, as many as the reserve can serve."""

    methods: frozenset[int] = frozenset()
    costs: dict[int, float] = field(default_factory=dict)

    def learn(self, rows: Sequence[tuple[int, float, float]], room: float) -> None:
        """Selects the methods; at least one, as long as any method is requested.

        `rows`: method, RPCs per second, and cost of an RPC on the cores and downstream, in microseconds. `capacity`:
        seconds of work per second that the reserve has.
        """
        self.costs = {method: cost for method, _, cost in rows}
        # costs are noisy: a method keeps the reserve until another one is clearly cheaper
        ranked = sorted(rows, key=lambda row: row[2] * (FEWER if row[0] in self.methods else 1.0))
        chosen: list[int] = []
        remaining = room
        for method, rate, cost in ranked:
            load = rate * cost / 1e6
            if chosen and load > remaining:
                break
            chosen.append(method)
            remaining -= load
            if remaining <= 0:
                break
        # a method of about average cost is not cheap: with it the reserve would be a pool like any other
        mean = sum(rate * cost for _, rate, cost in rows) / max(1e-9, sum(rate for _, rate, _ in rows))
        self.methods = frozenset(method for method in chosen if method == chosen[0]
                                 or self.costs[method] <= mean)


class Pools:
    """The pools of one instance: slots, retry budgets and call limits.

    `calls` is the instance's share of concurrent calls. The state of the earlier pools, `previous`, is taken over.
    All times are in microseconds.
    """

    def __init__(self, plan: Pooling, calls: float, now: int, before: Pools | None = None) -> None:
        self.plan = plan
        self.cores = Places(plan.pools, plan.reserve.running, now)
        self.calls = Places(plan.pools, plan.reserve.calls, now)
        self.budgets = [Budget(pool.retries, pool.floor, now=now) for pool in plan.pools]
        self.cheapest = Cheapest()
        self.limits: list[Limit | None] = [limit_of(pool.limit, max(1.0, calls / 2), 1.0, max(1.0, calls))
                                           if pool.limit else None for pool in plan.pools]
        self.seats = [Seat(number) for number in range(len(plan.pools))]
        self.begun = [0] * len(plan.pools)  # on the cores, waiting for a call or in one
        self.crowd = 1e9  # upper bound on their sum; the decision module updates it at each tick
        if before is not None:
            self._take_over(before, now)

    def _take_over(self, before: Pools, now: int) -> None:
        """Transfers the state of each earlier pool to the pool of the same name, else to its heir, else to the last
        pool. A pool that became smaller drains by itself, since it starts nothing beyond its ceiling."""
        names = [pool.name for pool in self.plan.pools]
        for old, pool_ref in enumerate(before.seats):
            new = before.heir(before.plan.pools[old].name, names)
            pool_ref.heir = self.seats[new]
            self.cores.add(new, before.cores.uses[old].held, now)
            self.calls.add(new, before.calls.uses[old].held, now)
            self.begun[new] += before.begun[old]
            if names[new] == before.plan.pools[old].name:
                self.budgets[new].earned = before.budgets[old].earned
                new_limit, old_limit = self.limits[new], before.limits[old]
                if new_limit is not None and old_limit is not None:
                    new_limit.value = old_limit.value
                    new_limit.bound(1.0, max(1.0, new_limit.value * 2))
        self.cores.spare, self.calls.spare = before.cores.spare, before.calls.spare
        self.cheapest, self.crowd = before.cheapest, before.crowd

    def heir(self, name: str, known: Sequence[str]) -> int:
        """Returns the index in `known` of the pool that takes over from `name`: the pool itself, its heir, the heir's
        heir and so on; else the last one.

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
        """Detaches all RPCs from the pools, when pools are no longer configured."""
        for pool_ref in self.seats:
            pool_ref.number = NOWHERE

    @property
    def count(self) -> int:
        """Number of pools."""
        return len(self.plan.pools)

    def called(self, rpc: Rpc, end: Ended) -> None:
        """Reports the result of a call to the limit of the RPC's pool, if the pool has one."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        pool_limit = self.limits[number] if number != NOWHERE else None
        if pool_limit is not None:
            pool_limit.ended(replace(end, open=self.calls.uses[number].held))

    def learn(self, rows: Sequence[tuple[int, float, float]], limit: float) -> None:
        """Selects the methods that may use the reserve; for `rows` see `CheapestMethods.update`."""
        self.cheapest.learn([row for row in rows if row[1] > 0.01], self.plan.reserve.running * limit)

    def seat(self, method: int) -> Seat:
        """Returns a reference to the pool of a method; methods without a pool belong to the last one."""
        return self.seats[self.plan.of[method] if method < len(self.plan.of) else -1]

    def is_cheap(self, method: int) -> bool:
        """Returns whether the method may use the reserve."""
        return self.plan.reserve.running > 0 and method in self.cheapest.methods

    def choked(self, rpc: Rpc) -> bool:
        """Returns whether RPCs that wait for calls or are in calls occupy the slots that the pool needs for running.

        An RPC that can continue without its call should then do so: a pool with all its slots in calls runs nothing.
        """
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return False
        off_cores = self.begun[number] - self.cores.uses[number].held
        others = sum(spec.guaranteed for other, spec in enumerate(self.plan.pools) if other != number)
        run_slots = max(1.0, (1 - others) * self.cores.limit)  # while the other pools use their guarantees
        return off_cores + 1 + run_slots > self._room(number, self.crowd, self._apart())

    def start(self, limit: float, head_tags: Sequence[int | None], in_use: int, now: int) -> int:
        """Returns the queue whose first RPC may run; the arguments and the result are those of
        `SlotAllocator.choose`."""
        total = sum(self.begun)
        if total + 1 > self.crowd or all(tag is None for tag in head_tags):
            return NOWHERE
        demand = self._apart()  # computed once, since there may be many pools
        allowed = [tag if tag is not None and self.begun[pool] + 1 <= self._room(pool, self.crowd, demand) else None
                   for pool, tag in enumerate(head_tags[:-1])]
        return self.cores.choose(limit, [*allowed, head_tags[-1]], in_use, now)

    def call(self, limit: float, head_tags: Sequence[int | None], in_use: int, now: int) -> int:
        """Returns the queue whose first RPC may call; the arguments and the result are those of
        `SlotAllocator.choose`. A pool at its own limit is skipped and does not block the other pools."""
        if all(tag is None for tag in head_tags):
            return NOWHERE
        allowed = [None if pool_limit is not None and self.calls.uses[pool].held + 1 > max(1.0, pool_limit.value)
                   else tag for pool, (pool_limit, tag) in enumerate(zip(self.limits, head_tags, strict=False))]
        return self.calls.choose(limit, [*allowed, head_tags[-1]], in_use, now)

    def moved(self, rpc: Rpc, before: int, after: int, now: int) -> None:
        """Accounts for an RPC that moves between NOT_STARTED, ON_CORES, AWAITING_CALL and IN_CALL.

        A slot of the reserve returns to the reserve: an RPC that started on a slot of the reserve counts there until
        it leaves the slot.
        """
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE or before == after:
            return
        for slots, kind in ((self.cores, CORES), (self.calls, CALLS)):
            if before == kind:
                slots.add(number, -1, now, rpc.spare)
                rpc.spare = False
        if before == OUT:
            self.begun[number] += 1
        elif after == OUT:
            self.begun[number] -= 1
        for slots, kind in ((self.cores, CORES), (self.calls, CALLS)):
            if after == kind:
                slots.add(number, 1, now, rpc.spare)

    def crowd_open(self, number: int, crowd: float, begun: int) -> bool:
        """Returns whether one more RPC of this pool may be in progress: on the cores, waiting for a call or in one.

        Of the RPCs in progress each pool keeps as many as its guarantee on the cores. These are not lent, since an
        RPC that waits for a slow ledger stays in progress for as long as the call takes. Without this rule a ledger
        that becomes slow fills all of `max_in_progress` with calls, and methods without calls cannot even start.
        """
        return begun + 1 <= crowd and self.begun[number] + 1 <= self._room(number, crowd, self._apart())

    def _asks(self, number: int) -> float:
        """Number of RPCs that a pool has in progress, plus those that its guarantee still allows it to run."""
        running = self.cores.uses[number].held
        return self.begun[number] - running + max(
            float(running), self.plan.pools[number].guaranteed * self.cores.limit)

    def _apart(self) -> float:
        return sum(self._asks(number) for number in range(self.count))

    def _room(self, number: int, crowd: float, apart: float) -> float:
        """Returns how many RPCs one pool may have in progress if each other pool gets its demand."""
        return max(1.0, crowd - (apart - self._asks(number)))

    def again(self, rpc: Rpc, now: int) -> bool:
        """Returns whether a call may be made now: the first one always, another one if the pool's retry budget
        allows it."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return True
        if rpc.called:
            return self.budgets[number].take(now)
        self.budgets[number].first(now)
        return True

    def entitled(self, rpc: Rpc, limit: float, now: int) -> bool:
        """Returns whether the RPC's pool is below its guarantee. Only RPCs of pools that borrow are rejected by their
        latency class."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        return number != NOWHERE and self.cores.needs(number, limit, now)

    def wait(self, rpc: Rpc, own: float, all_lines: float, limit: float) -> float:
        """Returns how long the RPC will be queued, in microseconds.

        It waits for the work queued in its pool, done on the guaranteed slots, or for all queued work with smaller
        tags, done on all slots, whichever is shorter. `pool_work`, `total_work`: that work, in microseconds.
        """
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return all_lines / limit
        guaranteed = self.plan.pools[number].guaranteed * limit
        return min(all_lines / limit, own / guaranteed) if guaranteed else all_lines / limit

    def welcome(self, rpc: Rpc, method: int, limit: float, in_use: int, head_tags: Sequence[int | None],
                now: int) -> bool:
        """Returns whether a slot is free for this RPC regardless of other pools: of its own pool, or of the
        reserve."""
        number = rpc.seat.find() if rpc.seat is not None else NOWHERE
        if number == NOWHERE:
            return False
        if not self.crowd_open(number, self.crowd, sum(self.begun)):
            return False
        if head_tags[number] is None and self.cores.needs(number, limit, now) and in_use + 1 <= limit:
            return True
        return self.is_cheap(method) and head_tags[-1] is None and self.cores.spare_open(limit, now)

    def memory(self, method: int) -> float:
        """Returns the share of the memory that this method may not use."""
        return 0.0 if self.is_cheap(method) else self.plan.reserve.memory

    def figures(self) -> dict[str, float]:
        """Returns gauges and counters of each pool and of the reserve."""
        values: dict[str, float] = {}
        for number, pool in enumerate(self.plan.pools):
            cores, calls, pool_limit = self.cores.uses[number], self.calls.uses[number], self.limits[number]
            values |= {f"pool.{pool.name}.running": cores.held, f"pool.{pool.name}.calling": calls.held,
                       f"pool.{pool.name}.started_in_need": cores.needed, f"pool.{pool.name}.borrowed": cores.lent,
                       f"pool.{pool.name}.retries_refused": self.budgets[number].refused}
            if pool_limit is not None:
                values[f"pool.{pool.name}.limit"] = round(pool_limit.value, 2)
        return values | {"reserve.running": self.cores.reserved, "reserve.calling": self.calls.reserved}


__all__ = ["CALLS", "CORES", "NOWHERE", "OUT", "WAITS", "Cheapest", "Places", "Pools"]
