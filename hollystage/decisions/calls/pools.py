"""Pools of methods share the slots on the cores and the slots for downstream calls.

Within a pool, RPCs start in the order of their tags, which the decision module computes; this module sees only the
smallest tag of each pool. Between pools:

1. A pool with queued RPCs that uses less than its guarantee precedes all pools that would borrow.
2. Otherwise the smallest tag wins among the pools that may borrow: those below their ceiling, as long as the unused
   guarantees of pools that do not lend stay free.
3. If no slot is free, the cheapest methods may still use the reserve.

Running RPCs are never stopped: a lender that needs its guarantee gets the next free slot, so it has its share back
within the duration of a typical run. A guarantee of less than one slot is met in the mean, measured by the time for
which slots were used.
"""
from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from math import ceil, exp, floor

from ...interface import Pool, PoolConfig, PoolRef, Rpc
from .limits import CallResult, Limit, make_limit
from .retry_budget import RetryBudget

USAGE_DECAY_TIME = 1_000_000  # microseconds; time constant of the mean usage, which is compared with guarantees
COST_HYSTERESIS = 0.8  # a method replaces another in the reserve only if its cost is below this share of the other's
NO_POOL = -1
# states of an RPC that differ in the slots they use; an RPC that has ended counts as NOT_STARTED
NOT_STARTED, ON_CORES, AWAITING_CALL, IN_CALL = range(4)


@dataclass(slots=True)
class SlotUsage:
    """Usage of the slots of one kind by one pool."""

    in_use: int = 0  # slots
    slot_time: float = 0.0  # slot-microseconds, exponentially decaying
    updated_at: int = 0
    borrowed_starts: int = 0  # starts beyond the guarantee
    guaranteed_starts: int = 0  # starts within the guarantee


class SlotAllocator:
    """Allocates the slots of one kind, cores or calls, to the pools and to the reserve.

    `within_limit`: whether a fraction of a slot for the reserve is taken from the pools, so that the limit holds at
    any time. Else it comes on top, so that the limit holds in the mean.
    """

    def __init__(self, pools: Sequence[Pool], reserve: float, now: int, within_limit: bool = False) -> None:
        self.pools, self.reserve_share, self.within_limit = pools, reserve, within_limit
        self.usage = [SlotUsage(updated_at=now) for _ in pools]
        self.non_lending = [number for number, pool in enumerate(pools) if not pool.lends]
        self.limit = 0.0
        self.reserve_usage = SlotUsage(updated_at=now)

    def add(self, pool: int, slots: int, now: int, reserve: bool = False) -> None:
        """Adds slots to the usage of a pool or of the reserve; a negative number frees slots."""
        use = self.reserve_usage if reserve else self.usage[pool]
        use.slot_time = self._decayed(use.slot_time, use.in_use, use.updated_at, now)
        use.in_use, use.updated_at = use.in_use + slots, now

    @staticmethod
    def _decayed(slot_time: float, in_use: float, updated_at: int, now: int) -> float:
        """Returns `slot_time` after its decay since `updated_at`, with the time of the slots used since then."""
        decay = exp((updated_at - now) / USAGE_DECAY_TIME) if now > updated_at else 1.0
        return slot_time * decay + in_use * USAGE_DECAY_TIME * (1 - decay)

    def guarantee_used(self, pool: int, limit: float, now: int) -> float:
        """Returns the recent usage of a pool as a multiple of its guarantee."""
        use = self.usage[pool]
        return self._decayed(use.slot_time, use.in_use, use.updated_at, now) / max(
            1e-9, self.pools[pool].guaranteed * limit * USAGE_DECAY_TIME)

    def below_guarantee(self, pool: int, limit: float, now: int) -> bool:
        """Returns whether one more slot is within the pool's guarantee; a fraction of a slot is met in the mean."""
        guarantee, in_use = self.pools[pool].guaranteed * limit, self.usage[pool].in_use
        return in_use + 1 <= guarantee or in_use < guarantee and self.guarantee_used(pool, limit, now) < 1

    def reserved_slots(self, limit: float) -> int:
        """Returns the number of whole slots that only the reserve may use."""
        return floor(self.reserve_share * limit + 1e-9)

    @property
    def reserve_in_use(self) -> int:
        """Number of slots that the reserve uses."""
        return self.reserve_usage.in_use

    def reserve_available(self, limit: float, now: int) -> bool:
        """Returns whether the reserve has a free slot.

        A fraction of a slot is available only in the mean: a whole slot beyond the limit, which is always in use
        under load, would slow down all other work (measured: 2% less served).
        """
        slots = self.reserve_share * limit
        if self.reserve_usage.in_use + 1 <= slots:
            return True
        slot_time = self._decayed(
            self.reserve_usage.slot_time, self.reserve_usage.in_use, self.reserve_usage.updated_at, now)
        return self.reserve_usage.in_use + 1 <= ceil(slots - 1e-9) and slot_time < slots * USAGE_DECAY_TIME

    def choose(self, limit: float, head_tags: Sequence[int | None], in_use: int, now: int) -> int:
        """Returns the queue whose first RPC may start: the number of a pool, the number of pools for the reserve's
        queue, or NO_POOL.

        `head_tags`: the smallest tag of each pool, then that of the cheapest methods; None for an empty queue.
        `in_use`: all used slots, including those of RPCs without a pool, which started before pools were configured.
        """
        count, self.limit = len(self.pools), limit
        reserve_may_start = head_tags[count] is not None and self.reserve_available(limit, now)
        reserved = self.reserved_slots(limit)
        if self.within_limit and reserve_may_start:
            reserved = max(reserved, self.reserve_in_use + 1)
        free = limit - reserved - (in_use - self.reserve_in_use)
        if self.within_limit:
            free = min(free, limit - in_use)
        if free >= 1 or not in_use and not reserved:
            chosen = self._smallest_tag(
                head_tags, lambda pool: self.usage[pool].in_use + 1 <= self.pools[pool].guaranteed * limit)
            if chosen == NO_POOL:
                chosen = self._most_underserved(head_tags, limit, now)
            if chosen != NO_POOL:
                self.usage[chosen].guaranteed_starts += 1
                return chosen
            borrower = self._smallest_tag(head_tags, lambda pool: self._may_borrow(pool, limit, free))
            if borrower != NO_POOL:
                self.usage[borrower].borrowed_starts += 1
                return borrower
        if reserve_may_start and (in_use + 1 <= limit or not self.within_limit):
            return count
        return NO_POOL

    def _most_underserved(self, head_tags: Sequence[int | None], limit: float, now: int) -> int:
        """Returns the pool that used the smallest part of its guarantee, of those with a fraction of a slot left.

        If tags decided here, the first few of many small pools would each exceed their guarantee a little and the
        last pools would get nothing.
        """
        candidates = [(self.guarantee_used(pool, limit, now), tag, pool) for pool, (spec, tag) in enumerate(
            zip(self.pools, head_tags, strict=False))
            if tag is not None and self.usage[pool].in_use < spec.guaranteed * limit]
        lowest = min(candidates, default=(1.0, 0, NO_POOL))
        return lowest[2] if lowest[0] < 1 else NO_POOL

    def _smallest_tag(self, head_tags: Sequence[int | None], is_eligible: Callable[[int], bool]) -> int:
        """Returns the eligible pool with the smallest tag; NO_POOL if there is none."""
        best, best_tag = NO_POOL, 0
        for pool in range(len(self.pools)):
            tag = head_tags[pool]
            if tag is not None and (best == NO_POOL or tag < best_tag) and is_eligible(pool):
                best, best_tag = pool, tag
        return best

    def _may_borrow(self, pool: int, limit: float, free: float) -> bool:
        if self.usage[pool].in_use + 1 > max(1.0, self.pools[pool].ceiling * limit):
            return False
        unlent = sum(max(0, floor(self.pools[other].guaranteed * limit) - self.usage[other].in_use)
                     for other in self.non_lending if other != pool)
        return free - unlent >= 1


@dataclass(slots=True)
class CheapestMethods:
    """The methods that may use the reserve: the cheapest ones, as many as it has capacity for."""

    methods: frozenset[int] = frozenset()
    costs: dict[int, float] = field(default_factory=dict)

    def update(self, rows: Sequence[tuple[int, float, float]], capacity: float) -> None:
        """Selects the methods; at least one if `rows` is not empty.

        `rows`: method, RPCs per second, and cost of one RPC on the cores and downstream, in microseconds. `capacity`:
        seconds of work that the reserve can do per second.
        """
        self.costs = {method: cost for method, _, cost in rows}
        # estimated costs are noisy, so a method keeps the reserve until another one is clearly cheaper
        ranked = sorted(rows, key=lambda row: row[2] * (COST_HYSTERESIS if row[0] in self.methods else 1.0))
        chosen: list[int] = []
        remaining = capacity
        for method, rate, cost in ranked:
            load = rate * cost / 1e6
            if chosen and load > remaining:
                break
            chosen.append(method)
            remaining -= load
            if remaining <= 0:
                break
        # a method of about average cost is not cheap: with it, the reserve would be a pool like any other
        mean = sum(rate * cost for _, rate, cost in rows) / max(1e-9, sum(rate for _, rate, _ in rows))
        self.methods = frozenset(method for method in chosen if method == chosen[0]
                                 or self.costs[method] <= mean)


class Pools:
    """The pools of one instance: slots, retry budgets and call limits.

    `calls` is the instance's share of concurrent calls. The state of `previous`, the pools before a change of
    configuration, is taken over. All times are in microseconds.
    """

    def __init__(self, pooling: PoolConfig, calls: float, now: int, previous: Pools | None = None) -> None:
        self.pooling = pooling
        self.cores = SlotAllocator(pooling.pools, pooling.reserve.running, now)
        # the limit on calls protects the dependency and may be this instance's part of a budget: never exceeded
        self.calls = SlotAllocator(pooling.pools, pooling.reserve.calls, now, within_limit=True)
        self.retry_budgets = [RetryBudget(pool.retry_ratio, pool.min_retries_per_s, now=now)
                              for pool in pooling.pools]
        self.cheapest = CheapestMethods()
        self.limits: list[Limit | None] = [make_limit(pool.limit_policy, max(1.0, calls / 2), 1.0, max(1.0, calls))
                                           if pool.limit_policy else None for pool in pooling.pools]
        self.pool_refs = [PoolRef(number) for number in range(len(pooling.pools))]
        self.in_progress = [0] * len(pooling.pools)  # RPCs of each pool: on the cores, waiting for a call or in one
        self.max_in_progress = 1e9  # bound on their sum; the decision module updates it at each tick
        if previous is not None:
            self._take_over(previous, now)

    def _take_over(self, previous: Pools, now: int) -> None:
        """Transfers the state of each previous pool to the pool of its name, else to its heir, else to the last pool.

        A pool that became smaller needs no special treatment: it starts nothing beyond its new ceiling.
        """
        names = [pool.name for pool in self.pooling.pools]
        for old, pool_ref in enumerate(previous.pool_refs):
            new = previous.heir(previous.pooling.pools[old].name, names)
            pool_ref.successor = self.pool_refs[new]
            self.cores.add(new, previous.cores.usage[old].in_use, now)
            self.calls.add(new, previous.calls.usage[old].in_use, now)
            self.in_progress[new] += previous.in_progress[old]
            if names[new] == previous.pooling.pools[old].name:
                self.retry_budgets[new].balance = previous.retry_budgets[old].balance
                new_limit, old_limit = self.limits[new], previous.limits[old]
                if new_limit is not None and old_limit is not None:
                    new_limit.value = old_limit.value
                    new_limit.set_bounds(1.0, max(1.0, new_limit.value * 2))
        self.cores.reserve_usage, self.calls.reserve_usage = (
            previous.cores.reserve_usage, previous.calls.reserve_usage)
        self.cheapest, self.max_in_progress = previous.cheapest, previous.max_in_progress

    def heir(self, name: str, known: Sequence[str]) -> int:
        """Returns the index in `known` of the pool that takes over from the pool `name`.

        This is the first one in `known` of the pool itself, its heir, the heir's heir and so on; else the last one.

        >>> old = Pools(PoolConfig((Pool("a", .5, heir="b"), Pool("b", .2, heir="c"))), 1.0, 0)
        >>> old.heir("a", ["c", "d"]), old.heir("a", ["b", "a"]), old.heir("b", ["x", "y"])
        (0, 1, 1)
        """
        heirs = {pool.name: pool.heir for pool in self.pooling.pools}
        seen: set[str] = set()
        while name and name not in seen:
            if name in known:
                return list(known).index(name)
            seen.add(name)
            name = heirs.get(name, "")
        return len(known) - 1

    def close(self) -> None:
        """Detaches all RPCs from the pools, which are no longer configured."""
        for pool_ref in self.pool_refs:
            pool_ref.number = NO_POOL

    @property
    def count(self) -> int:
        """Number of pools."""
        return len(self.pooling.pools)

    def on_call_end(self, rpc: Rpc, result: CallResult) -> None:
        """Reports the result of a call to the limit of the RPC's pool, if the pool has one."""
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        pool_limit = self.limits[number] if number != NO_POOL else None
        if pool_limit is not None:
            pool_limit.on_call_end(replace(result, in_flight=self.calls.usage[number].in_use))

    def update_cheapest(self, rows: Sequence[tuple[int, float, float]], limit: float) -> None:
        """Selects the methods that may use the reserve.

        `rows`: see `CheapestMethods.update`; `limit`: the limit on concurrent runs.
        """
        self.cheapest.update([row for row in rows if row[1] > 0.01], self.pooling.reserve.running * limit)

    def pool_ref(self, method: int) -> PoolRef:
        """Returns a reference to the pool of a method; methods without a pool belong to the last one."""
        return self.pool_refs[
            self.pooling.pool_of_method[method] if method < len(self.pooling.pool_of_method) else -1]

    def adopt(self, rpc: Rpc, method: int, state: int, now: int) -> None:
        """Assigns an RPC without a pool to that of its method and counts what it uses in `state`."""
        rpc.pool_ref = self.pool_ref(method)
        self.on_move(rpc, NOT_STARTED, state, now)

    def is_cheap(self, method: int) -> bool:
        """Returns whether the method may use the reserve."""
        return self.pooling.reserve.running > 0 and method in self.cheapest.methods

    def calls_starve_runs(self, rpc: Rpc) -> bool:
        """Returns whether the RPCs of a pool that wait for calls or are in calls leave too few slots for its runs.

        An RPC of this pool that can continue without its call should then do so: a pool with all its RPCs in calls
        runs nothing. `rpc`: any RPC of the pool.
        """
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        if number == NO_POOL:
            return False
        off_cores = self.in_progress[number] - self.cores.usage[number].in_use
        others = sum(spec.guaranteed for other, spec in enumerate(self.pooling.pools) if other != number)
        run_slots = max(1.0, (1 - others) * self.cores.limit)  # while the other pools use their guarantees
        return off_cores + 1 + run_slots > self._capacity_for(number, self.max_in_progress, self._total_demand())

    def next_to_start(self, limit: float, head_tags: Sequence[int | None], in_use: int, now: int) -> int:
        """Returns the queue whose first RPC may run; for arguments and result see `SlotAllocator.choose`."""
        total = sum(self.in_progress)
        if total + 1 > self.max_in_progress or all(tag is None for tag in head_tags):
            return NO_POOL
        demand = self._total_demand()  # computed once, since there may be many pools
        allowed = [tag if tag is not None and self.in_progress[pool] + 1 <= self._capacity_for(
            pool, self.max_in_progress, demand) else None for pool, tag in enumerate(head_tags[:-1])]
        return self.cores.choose(limit, [*allowed, head_tags[-1]], in_use, now)

    def next_to_call(self, limit: float, head_tags: Sequence[int | None], in_use: int, now: int) -> int:
        """Returns the queue whose first RPC may call; for arguments and result see `SlotAllocator.choose`.

        A pool at its own limit is skipped, so that it does not block the other pools.
        """
        if all(tag is None for tag in head_tags):
            return NO_POOL
        allowed = [None if pool_limit is not None and self.calls.usage[pool].in_use + 1 > max(1.0, pool_limit.value)
                   else tag for pool, (pool_limit, tag) in enumerate(zip(self.limits, head_tags, strict=False))]
        return self.calls.choose(limit, [*allowed, head_tags[-1]], in_use, now)

    def on_move(self, rpc: Rpc, before: int, after: int, now: int) -> None:
        """Updates the slots in use when an RPC changes between NOT_STARTED, ON_CORES, AWAITING_CALL and IN_CALL.

        An RPC that got a slot of the reserve counts there until it leaves the slot; the slot then returns to the
        reserve.
        """
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        if number == NO_POOL or before == after:
            return
        for slots, kind in ((self.cores, ON_CORES), (self.calls, IN_CALL)):
            if before == kind:
                slots.add(number, -1, now, rpc.uses_reserve)
                rpc.uses_reserve = False
        if before == NOT_STARTED:
            self.in_progress[number] += 1
        elif after == NOT_STARTED:
            self.in_progress[number] -= 1
        for slots, kind in ((self.cores, ON_CORES), (self.calls, IN_CALL)):
            if after == kind:
                slots.add(number, 1, now, rpc.uses_reserve)

    def has_room(self, number: int, max_in_progress: float, in_progress: int) -> bool:
        """Returns whether one more RPC of this pool may be in progress: on the cores, waiting for a call or in one.

        Part of `max_in_progress` is set aside for each pool, equal to its guarantee on the cores. This part is not
        lent, since an RPC that waits for a slow ledger stays in progress for as long as the call takes. Without this
        rule a slow ledger would fill all of `max_in_progress` with calls, and methods without calls could not start.
        """
        return in_progress + 1 <= max_in_progress and self.in_progress[number] + 1 <= self._capacity_for(
            number, max_in_progress, self._total_demand())

    def _demand(self, number: int) -> float:
        """Returns how many RPCs a pool has in progress, plus how many more its guarantee allows to run."""
        running = self.cores.usage[number].in_use
        return self.in_progress[number] - running + max(
            float(running), self.pooling.pools[number].guaranteed * self.cores.limit)

    def _total_demand(self) -> float:
        return sum(self._demand(number) for number in range(self.count))

    def _capacity_for(self, number: int, max_in_progress: float, total_demand: float) -> float:
        """Returns how many RPCs one pool may have in progress if each other pool gets its demand."""
        return max(1.0, max_in_progress - (total_demand - self._demand(number)))

    def may_call(self, rpc: Rpc, now: int) -> bool:
        """Returns whether the RPC may call now: always for its first call, then if its pool's retry budget allows."""
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        if number == NO_POOL:
            return True
        if rpc.calls_made:
            return self.retry_budgets[number].try_spend(now)
        self.retry_budgets[number].record_first_attempt(now)
        return True

    def below_guarantee(self, rpc: Rpc, limit: float, now: int) -> bool:
        """Returns whether the RPC's pool is below its guarantee.

        RPCs are rejected for their class level only if their pool is not.
        """
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        return number != NO_POOL and self.cores.below_guarantee(number, limit, now)

    def estimated_wait(self, rpc: Rpc, pool_work: float, total_work: float, limit: float) -> float:
        """Returns how long the RPC will be queued, in microseconds.

        This is the shorter of two times: `pool_work` divided by the guaranteed slots, and `total_work` divided by all
        slots. `pool_work`, `total_work`: work queued ahead of the RPC in its pool and in all pools, in microseconds.
        """
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        if number == NO_POOL:
            return total_work / limit
        guaranteed = self.pooling.pools[number].guaranteed * limit
        return min(total_work / limit, pool_work / guaranteed) if guaranteed else total_work / limit

    def has_own_slot(self, rpc: Rpc, method: int, limit: float, in_use: int, head_tags: Sequence[int | None],
                     now: int) -> bool:
        """Returns whether a slot of the RPC's pool or of the reserve is free for it, whatever other pools do."""
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else NO_POOL
        if number == NO_POOL:
            return False
        if not self.has_room(number, self.max_in_progress, sum(self.in_progress)):
            return False
        if head_tags[number] is None and self.cores.below_guarantee(number, limit, now) and in_use + 1 <= limit:
            return True
        return self.is_cheap(method) and head_tags[-1] is None and self.cores.reserve_available(limit, now)

    def reserved_memory(self, method: int) -> float:
        """Returns the share of the memory that this method may not use."""
        return 0.0 if self.is_cheap(method) else self.pooling.reserve.memory

    def metrics(self) -> dict[str, float]:
        """Returns gauges and counters of each pool and of the reserve."""
        values: dict[str, float] = {}
        for number, pool in enumerate(self.pooling.pools):
            cores, calls, pool_limit = self.cores.usage[number], self.calls.usage[number], self.limits[number]
            values |= {f"pool.{pool.name}.running": cores.in_use, f"pool.{pool.name}.calling": calls.in_use,
                       f"pool.{pool.name}.started_in_need": cores.guaranteed_starts,
                       f"pool.{pool.name}.borrowed": cores.borrowed_starts,
                       f"pool.{pool.name}.retries_refused": self.retry_budgets[number].refused}
            if pool_limit is not None:
                values[f"pool.{pool.name}.limit"] = round(pool_limit.value, 2)
        return values | {"reserve.running": self.cores.reserve_in_use, "reserve.calling": self.calls.reserve_in_use}


__all__ = ["AWAITING_CALL", "IN_CALL", "NOT_STARTED", "NO_POOL", "ON_CORES", "CheapestMethods", "Pools",
           "SlotAllocator"]
