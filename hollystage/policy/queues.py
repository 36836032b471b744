"""State of the decision module, its queues, and the transitions of an RPC between states."""
from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

from ..decisions.calls.limits import make_limit
from ..decisions.calls.pacing import Pacer
from ..decisions.calls.pools import AWAITING_CALL, IN_CALL, NO_POOL, NOT_STARTED, ON_CORES, Pools
from ..decisions.heaps import drop_outdated
from ..decisions.recovery.retry_calendar import RetryCalendar
from ..decisions.stall_detector import StallDetector
from ..interface import Action, Method, Rpc, Settings, Tenant
from .buckets import *

# default bounds of the call limit, as shares of the concurrent calls that this instance may make
MIN_LIMIT_SHARE = 0.1
MAX_LIMIT_SHARE = 0.9
# states that the pools track
POOL_STATES = {RUNNING: ON_CORES, WAITING: AWAITING_CALL, CALLING: IN_CALL}


class Queues:
    """State of the decision module and its basic operations on queues and states."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.settings, self.started_at, self.now = settings, now, now
        self.actions: list[Action] = []
        self.due_queue: RpcQueue = []  # all RPCs that are not over by due time
        self.key_expiries: RpcQueue = []  # RPCs by the time when their idempotency key is forgotten
        self.method_numbers = {method: number for number, method in enumerate(settings.methods)}
        self.pools: Pools | None = None
        self.calendar = RetryCalendar(settings.max_retry_after) if settings.promises else None
        self.capacity_elsewhere = False  # whether peers report spare capacity
        # queues for the cores and for downstream calls: one for each pool, then one more with the cheapest
        # work of all pools, whose RPCs are also in the queue of their pool
        self.run_queues: list[RpcQueue] = [[]]
        self.call_queues: list[RpcQueue] = [[]]
        self.live_keys: set[Rpc] = set()  # RPCs whose idempotency key is remembered
        self.state_counts = dict.fromkeys((QUEUED, RUNNING, CALLING, WAITING, JOINED, DONE), 0)
        self.memory = self.other_runnable = self.cpu_busy = self.typical_call = 0.0
        self.run_limit = float(settings.cores)
        self.clients: dict[tuple[Tenant | None, Method], Client] = {}
        self.min_quota_value = 1.0  # lowest `quota_value` of a client
        # by method: times on the cores, ages at which first attempts were rejected, times off the cores
        self.run_times, self.reject_ages, self.off_core_times = (
            {m: DecayingSum(now) for m in settings.methods} for _ in range(3))
        self.timeout_histograms = {m: [0.0] * (TIMEOUT_BINS + 1) for m in settings.methods}
        self.under_pressure, self.cores_hung, self.reading_late, self.healthy = False, False, False, True
        self.last_seen: dict[int, int] = {}  # time of the last RPC of each caller
        self.idle_limit, self.returning_callers = (
            settings.max_idle, DecayingSum(now, max(DECAY_SPAN, settings.max_idle)))
        # means over the read RPCs or, for slow or lost replies, over the downstream calls
        self.unread_times, self.rejections, self.slow_or_lost_replies, self.likely_retries, self.redirects = (
            DecayingSum(now, RECENT_SPAN) for _ in range(5))
        targets = [m.latency_target for m in settings.methods]
        self.min_target, self.max_target = min(targets), max(targets)
        lowest = min(m.criticality for m in settings.methods)
        self.criticality_factor = {
            m: (lowest / m.criticality) ** 0.5 if m.criticality else 1.0 for m in settings.methods}
        # no call starts before `next_call_at`; the adapter may set a later time
        self.progress_at = self.rates_updated_at = self.hang_ended_at = self.cut_at = self.next_call_at = now
        self.suspended_until, self.last_arrival_at = 0, now  # end of the last long suspension; last RPC read
        self.stop_at = self.grace_ends_at = self.sequence = 0
        # share of their load that callers may send; the last load signal, -1 before the first one
        self.admit_level, self.sent_signal = 0.3 if settings.cold else 1.0, -1.0
        # a tier of servers limits its own load and announces no share of calls: there the bound is the number
        # of started RPCs at which the throughput of this instance collapses
        concurrency = settings.cores * settings.fall_multiple
        share, config = (
            concurrency if settings.downstream_tier else max(0.01, settings.calls_out), settings.call_limit)
        max_limit = config.max_limit or share * MAX_LIMIT_SHARE
        min_limit = min(max_limit, config.min_limit or share * MIN_LIMIT_SHARE)
        self.call_limit = make_limit(config.policy, min(max_limit, share / 2), min_limit, max_limit, now)
        self.stall_detector = StallDetector(STALL_THRESHOLD)
        self.work_per_hint = DecayingSum(now)  # time on the cores for each microsecond of hinted work
        self.lingering_calls: list[int] = []  # a heap of the times until which abandoned calls still count
        self.pacer = Pacer(now, 0.0, settings.call_averaging_span)

    def _set_state(self, rpc: Rpc, state: str) -> None:
        """Changes the state of an RPC and the counts, memory and pool slots that depend on it."""
        if rpc.state in (WAITING, CALLING):
            rpc.off_core_time += self.now - rpc.state_since
        if rpc.state == CALLING and state == DONE:
            heappush(self.lingering_calls, self.now + self.settings.linger)
        for changed, sign in ((rpc.state, -1), (state, 1)):
            if changed:
                self.state_counts[changed] += sign
                weight = (self.settings.run_factor if changed in (RUNNING, CALLING, WAITING)
                          else changed != DONE)
                self.memory += sign * weight * rpc.size
        if self.pools is not None:
            self.pools.on_move(
                rpc, POOL_STATES.get(rpc.state, NOT_STARTED), POOL_STATES.get(state, NOT_STARTED), self.now)
        rpc.state, rpc.state_since = state, self.now

    def _push_due(self, rpc: Rpc) -> None:
        """Puts an RPC into the queue by due time."""
        not_over = sum(self.state_counts.values()) - self.state_counts[DONE]
        drop_outdated(self.due_queue, not_over, lambda entry: entry[2].state != DONE)
        self._push(self.due_queue, rpc.due, rpc)

    def _remember_key(self, rpc: Rpc) -> None:
        """Counts the idempotency key of an RPC for the window of its method."""
        self.live_keys.add(rpc)
        drop_outdated(self.key_expiries, len(self.live_keys), lambda entry: entry[2] in self.live_keys)
        self._push(self.key_expiries, self.now + rpc.method.window, rpc)

    def _push(self, queue: RpcQueue, key: int, rpc: Rpc) -> None:
        """Puts an RPC on a heap with the key `key`; RPCs with equal keys keep their order of insertion."""
        self.sequence += 1
        heappush(queue, (key, self.sequence, rpc))

    def _resume(self, rpc: Rpc, event: Any) -> None:
        """Sends `event` to the lifecycle of the RPC and runs it until it waits for the next event.

        Events for an RPC that has ended are ignored.
        """
        if rpc.lifecycle is None:
            return
        try:
            while True:
                action = rpc.lifecycle.send(event)
                if action is None:
                    return
                self.actions.append(action)
                if rpc.state in (RUNNING, CALLING, WAITING, JOINED):
                    return
                event = None
        except StopIteration:
            rpc.lifecycle, rpc.answered, rpc.earlier = None, True, None
            self._set_state(rpc, DONE)

    @staticmethod
    def _is_current(entry: QueueEntry, state: str) -> bool:
        """Whether the RPC of an entry is in `state` because of this entry, and not answered."""
        _, sequence, rpc = entry
        return rpc.state == state and rpc.queue_entry == sequence and not rpc.answered

    def _head(self, queue: RpcQueue, state: str) -> int | None:
        """Smallest finish tag of the queue, after removing the entries before it that are out of date."""
        while queue and not self._is_current(queue[0], state):
            heappop(queue)
        return queue[0][0] if queue else None

    def _next_queue(self, queues: list[RpcQueue], state: str, limit: float, taken: int) -> RpcQueue | None:
        """The queue whose first RPC may start or call, or None. `taken` slots of `limit` are in use."""
        heads = [self._head(queue, state) for queue in queues]
        if self.pools is None:
            return queues[0] if heads[0] is not None and taken + 1 <= limit else None
        if state == WAITING and taken + 1 > limit:
            return None  # no pool and no reserve may call beyond the limit, which others share
        chosen = (self.pools.next_to_start if state == QUEUED else self.pools.next_to_call)(
            limit, heads, taken, self.now)
        if chosen == NO_POOL:
            return None
        queues[chosen][0][2].uses_reserve = chosen == self.pools.count
        return queues[chosen]

    def _enqueue(self, queues: list[RpcQueue], rpc: Rpc) -> None:
        """Puts an RPC into the queue of its pool and, if its method is cheap, also into the last queue.

        Its earlier entries, which may still be in these queues, are then out of date. Behind the head they would
        stay until the head is taken, and each arrival reads all of them.
        """
        self.sequence += 1
        rpc.queue_entry = self.sequence
        chosen = [queues[self._pool_number(rpc)]]
        if self.pools is not None and self.pools.is_cheap(self.method_numbers[rpc.method]):
            chosen.append(queues[-1])
        for queue in chosen:
            drop_outdated(queue, self.state_counts[rpc.state], lambda entry: self._is_current(entry, rpc.state))
            heappush(queue, (rpc.tag, rpc.queue_entry, rpc))

    def _pool_number(self, rpc: Rpc) -> int:
        """Number of the RPC's pool, 0 without pools. Assigns a pool if it has none, or if its pool was removed."""
        if self.pools is None:
            return 0
        if rpc.pool_ref is None or rpc.pool_ref.find() == NO_POOL:
            self.pools.adopt(rpc, self.method_numbers[rpc.method], POOL_STATES.get(rpc.state, NOT_STARTED), self.now)
        assert rpc.pool_ref is not None
        return rpc.pool_ref.find()
