"""Admission control and scheduling of one server instance, together with `policy`.

An adapter creates one Control for each process and reports events to it with the current time: arrived,
finished, at_call, call_finished, caller_disconnected, start_drain, tick. After each batch of events it calls
decide(), which returns the actions to carry out, in order. The types are in `interface`; all times are in
microseconds. docs/design.md describes the mechanism and where it departs from the paper that it follows.
"""
from __future__ import annotations

from heapq import heappop, heappush

from .decisions.calls.limits import CallResult
from .decisions.calls.pools import Pools
from .interface import Action, ActionKind, LoadSignal, MethodKind, Outcome, PoolConfig, Rpc, Settings, Tenant
from .policy.buckets import *
from .policy.lifecycle import Lifecycle

# largest value of the load signal WINDOW, as a multiple of the cores
MAX_WINDOW_FACTOR = 4.0
NARROW_WINDOW_FACTOR = 0.75  # the same while RPCs lie unread
# share of a latency target that the queueing time may reach before callers are asked to send less
LONG_QUEUE_SHARE = 0.25
MAX_REMEMBERED_CALLERS = 4096
MIN_QUOTA_VALUE = 0.05  # lower values of RPCs beyond quotas do not lower the tags of the others further
MIN_RECENT_RPCS = 0.01  # of each method, assumed in a mean over the RPCs that arrived recently
MIN_IDLE_LIMIT = 10_000  # shortest idle limit of connections, microseconds
# mean unread time as a share of the longest latency target: above the first value idle connections are kept
# for the configured time, even if the table of connections fills up, until it falls below the second value
READING_LATE_ABOVE = 0.3
READING_LATE_UNTIL = 0.01


class Control(Lifecycle):
    """The decision module of one instance; not thread-safe, does no I/O and reads no clock."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, now)
        if settings.pooling is not None:
            self.update_pools(settings.pooling, now)
        self.actions.append(Action(ActionKind.HEALTH, flag=True))
        # jitter for the timers of instances that start together: the high bits of one step of a linear
        # congruential generator
        jitter = (seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1) >> 33
        self.actions.append(Action(ActionKind.TIMER, duration=1 + (jitter * TICK >> 31)))
        # the same for their first downstream calls: a debt of up to half the shortest target, which is the
        # duration assumed for a call before any was made
        self.pacer.debt = float(jitter * (self.min_target // 2) >> 31)

    # Events

    def arrived(self, rpc: Rpc, now: int) -> None:
        """An RPC was read."""
        self.now = now
        self._check_suspension()
        method, read_at = rpc.method, now - rpc.unread_time
        rpc.due = now + rpc.timeout if rpc.timeout else max(now, read_at + method.deadline)
        if self.stop_at:
            rpc.due = max(now, min(rpc.due, self.stop_at - 3 * TICK))
        rpc.target = read_at + method.latency_target - self._age(rpc)
        self.likely_retries.add(rpc.is_retry or rpc.target < read_at + method.latency_target, now)
        if now - self.last_arrival_at > DECAY_SPAN:
            # the measured rates are out of date: the first RPCs are classified as after a start
            self.clients.clear()
            self.rates_updated_at = now
        self.last_arrival_at = now
        client = self.clients.get((rpc.tenant, method))
        if client is None:
            rho = (INITIAL_RATE * self.settings.cores / len(self.settings.methods)
                   / max(1, len(self.settings.tenants)))
            client = self.clients[rpc.tenant, method] = Client(rpc.tenant, method, rho, now)
        client.arrivals.add(1, now)
        if not self.state_counts[RUNNING]:
            self._note_progress()  # so that cores that hang while reading are detected too
        self.rejections.add(0, now)
        self.redirects.add(0, now)
        # an RPC on a connection that was kept counts under whatever number its caller gives itself
        seen_recently = now - self.last_seen.get(rpc.caller, -self.settings.max_idle) < self.settings.max_idle
        self.returning_callers.add(rpc.kept_connection or seen_recently, now)
        if len(self.last_seen) > MAX_REMEMBERED_CALLERS:
            self.last_seen.clear()  # bounds the memory where callers reconnect under new numbers
        self.last_seen[rpc.caller] = now
        self.unread_times.add(rpc.unread_time, now)
        rpc.level = client.classify(now)
        rpc.promised = self.calendar is not None and self.calendar.redeem(
            rpc.caller, self.method_numbers[method], now)
        if rpc.promised:
            rpc.level = 1
        # class spacing: the more valuable a client, the smaller the finish tags of its first class
        rpc.tag = read_at + int(
            client.deltas[rpc.level - 1] * (self._first_class_factor(client) if rpc.level == 1 else 1))
        if rpc.promised:
            rpc.tag = read_at + (rpc.tag - read_at) // 4  # capacity is reserved for it: ahead of its class
        self._push_due(rpc)
        rpc.pool_ref = self.pools.pool_ref(self.method_numbers[method]) if self.pools is not None else None
        rpc.lifecycle = self._run(rpc)
        self._resume(rpc, None)

    def finished(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        """A run or a joined run ended, `spent` microseconds after its start."""
        self.now = now
        self._check_suspension()
        self._note_progress()
        # runs on hung cores or over a suspension say nothing about costs; halted runs do count, since they
        # are the long ones
        if rpc.state == RUNNING and outcome != Outcome.MOOT and now - spent >= self.hang_ended_at:
            self.run_times[rpc.method].add(max(1, spent - rpc.off_core_time), now, outcome == Outcome.OK)
            self.off_core_times[rpc.method].add(rpc.off_core_time, now)
            if rpc.work_hint and outcome == Outcome.OK:
                self.work_per_hint.add(max(1, spent - rpc.off_core_time), now, rpc.work_hint)
        self._resume(rpc, outcome)

    def at_call(self, rpc: Rpc, now: int) -> None:
        """A run reached its downstream call and waits for it."""
        self.now = now
        self._note_progress()
        self._resume(rpc, AT_CALL)

    def call_finished(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        """A downstream call ended after `spent` microseconds."""
        self.now = now
        self._check_suspension()
        ok, usual = outcome == Outcome.OK, self.typical_call
        measured = now - spent >= self.suspended_until  # else the reply waited for this process
        slow_or_lost = measured and spent > SLOW_CALL_FACTOR * usual > 0 if ok else outcome in REPLY_LOST
        self.slow_or_lost_replies.add(slow_or_lost, now, outcome != Outcome.CANCELLED)
        if ok and measured:
            # rises slowly and falls quickly, to estimate the duration of a call when nothing is wrong
            self.typical_call += (spent - usual) * ((0.02 if spent > usual else 0.2) if usual else 1)
        elif outcome == Outcome.TIMEOUT:
            heappush(self.lingering_calls, now + self.settings.linger)
        bad = (not self._few_slow_or_lost_replies() if slow_or_lost
               else outcome not in (Outcome.OK, Outcome.CANCELLED))
        # the limit keeps all instances together from overloading the dependency, whatever makes calls slow
        calls = self.state_counts[CALLING] + len(self.lingering_calls)
        self.call_limit.on_call_end(
            result := CallResult(outcome, spent, calls, self.typical_call, slow_or_lost, bad, now))
        if self.pools is not None:
            self.pools.on_call_end(rpc, result)
        self._resume(rpc, outcome)

    def caller_disconnected(self, rpc: Rpc, now: int) -> None:
        """The caller of an RPC disconnected."""
        self.now = now
        self._resume(rpc, GONE)

    def update_pools(self, pooling: PoolConfig | None, now: int) -> None:
        """Replaces the pools; None removes them.

        Runs continue. RPCs that are queued or wait for a call go to the pool that takes over theirs: the one
        of the same name, else its heir.
        """
        self.now, previous, queues = now, self.pools, (*self.run_queues, *self.call_queues)
        if previous is not None and pooling is None:
            previous.close()
        self.pools = Pools(pooling, self.settings.calls_out, now, previous) if pooling is not None else None
        count = len(pooling.pools) + 1 if pooling else 1
        self.run_queues, self.call_queues = [[] for _ in range(count)], [[] for _ in range(count)]
        for rpc in {rpc: None for queue in queues for _, _, rpc in queue}:
            if rpc.state in (QUEUED, WAITING):
                self._enqueue(self.run_queues if rpc.state == QUEUED else self.call_queues, rpc)

    def start_drain(self, time_left: int, now: int) -> None:
        """Starts the drain: the process is killed in `time_left` microseconds."""
        self.now, self.stop_at, self.grace_ends_at = now, now + time_left, now + self.settings.drain_grace
        for _, _, rpc in self.due_queue:
            rpc.due = min(rpc.due, self.stop_at - 3 * TICK)
        self.due_queue = sorted((rpc.due, n, rpc) for _, n, rpc in self.due_queue)

    def tick(self, gauges: dict[str, float], now: int) -> None:
        """The timer fired. `gauges`: latest values of the configured gauges; empty if they are outdated."""
        self.now = now
        self._check_suspension()
        if self.stall_detector.on_timer(now, TICK):
            self.call_limit.on_stall(now)
        running, queued = self.state_counts[RUNNING], self.state_counts[QUEUED]
        busy = self.cpu_busy = gauges.get("cores", min(1.0, running / self.settings.cores))
        runnable = gauges.get("crowd", float(running))
        if queued and busy < HIGH_CPU and runnable < self.settings.cores and not self.cores_hung:
            self.run_limit += 1
        else:
            # more runs than keep the cores busy only slow each other down, and above an unknown number
            # throughput falls; harmful where runs wait for disk too briefly for the gauge to show it
            self.run_limit -= (self.run_limit - self.settings.cores) * 0.05
        self.run_limit = max(float(self.settings.cores), min(self.run_limit, self._max_in_progress()))
        if self.pools is not None:
            self.pools.max_in_progress = self._max_in_progress()
        self.other_runnable += (max(0.0, runnable - running) - self.other_runnable) * 0.2
        self.under_pressure = busy >= (LOW_CPU if self.under_pressure else HIGH_CPU) and queued > 0
        self._detect_hang(runnable)
        self._update_health()
        self._expire_rpcs()
        if now - self.rates_updated_at > 10 * TICK:
            self.rates_updated_at = now
            self._update_rates()
            self._update_idle_limit()
            if self.calendar is not None:
                self.calendar.update_rate(1e6 * self.run_limit / max(1.0, self._mean_cost()), now)
        self._update_load_signal()
        self.actions.append(Action(ActionKind.TIMER, duration=TICK))

    def decide(self, now: int) -> list[Action]:
        """Starts runs and calls that there is capacity for, and returns all new actions in order."""
        self.now = now
        self._dispatch()
        actions, self.actions = self.actions, []
        return actions

    def _check_suspension(self) -> None:
        """After a long suspension of this process, counts nothing that was in progress as hung or slow."""
        if self.stall_detector.lateness(self.now) > self.max_target:
            self.stall_detector.due = self.now + TICK
            self.call_limit.on_stall(self.now)
            self.progress_at = self.hang_ended_at = self.suspended_until = self.now

    def _note_progress(self) -> None:
        """Records that the cores made progress, which ends a hang."""
        self.hang_ended_at = self.now if self.cores_hung else self.hang_ended_at
        self.progress_at, self.cores_hung = self.now, False

    def _detect_hang(self, runnable: float) -> None:
        """Detects cores that make no progress and drops the RPCs that may be answered elsewhere."""
        if self.cores_hung or not self.state_counts[RUNNING] and runnable < 1:
            self.progress_at = self.now
        elif self.now - self.progress_at > max(
                self.max_target, HANG_FACTOR * max(map(self._usual_cost, self.run_times))) and (
                self.now - self.progress_at > HANG_FACTOR / 2 * max(
                    (self._expected_work(r) for _, _, r in self.due_queue
                     if r.work_hint and r.state == RUNNING), default=0.0)):
            # cores that take work and finish none count as hung; harmful where single RPCs run this long. It
            # takes at least the longest target, since on small or cold machines one long run, or a cost that
            # is not learned yet, looks like a hang
            self.cores_hung = True
            for _, _, rpc in list(self.due_queue):
                may_repeat = rpc.state == RUNNING and rpc.method.kind is MethodKind.IDEMPOTENT
                if (may_repeat or rpc.state == QUEUED) and not rpc.answered:
                    self._resume(rpc, DROP)

    def _update_health(self) -> None:
        """Reports the health of the instance if it changed."""
        if self.healthy is bool(self.stop_at or self.cores_hung):
            self.healthy = not self.healthy
            self.actions.append(Action(ActionKind.HEALTH, flag=self.healthy))

    def _expire_rpcs(self) -> None:
        """Ends overdue RPCs and queued ones that would miss their target; skips calls that come too late."""
        while self.due_queue and self.due_queue[0][0] <= self.now + TICK:
            rpc = heappop(self.due_queue)[2]
            if not rpc.answered and rpc.state != DONE:
                self._resume(rpc, OVERDUE)
        for _, _, rpc in [row for queue in self.run_queues for row in queue]:
            if rpc.state == QUEUED and self._misses_target(rpc):
                self._resume(rpc, DROP)
        for _, _, rpc in [row for queue in self.call_queues for row in queue]:
            if rpc.state == WAITING and not rpc.answered and (
                    self._time_for_call(rpc) < 0 < rpc.method.skip_share):
                self._resume(rpc, SKIP)
        for queue in self.call_queues:
            self._head(queue, WAITING)  # removes ended RPCs also while no call may be made

    def _update_rates(self) -> None:
        """Sets the rho of each client: its part of the capacity, which is `run_limit` runs at usual costs."""
        needs: list[tuple[Client, float, float, float]] = []
        arrivals: dict[Tenant | None, float] = {}
        for client in self.clients.values():
            arrivals[client.tenant] = arrivals.get(client.tenant, 0) + client.arrivals.read(self.now)
        for client in self.clients.values():
            rate, cost = (
                client.arrivals.read(self.now) * 1e6 / DECAY_SPAN, self._usual_cost(client.method) / 1e6)
            within = self._share_within_quota(client.tenant, arrivals[client.tenant])
            # RPCs beyond a tenant's quota are not marked: each RPC of the tenant counts with the mean value
            client.quota_value = within + (1 - within) * self.settings.over_quota_worth
            value = client.method.criticality * client.quota_value
            # per work: a second on the cores has the same value whatever an RPC costs
            value *= cost if self.settings.criticality_per_work else 1
            # twice the rate, since the rate of a few RPCs a second is a noisy sample
            needs.append((client, 2 * rate * cost + 0.01, value / cost, cost))
        self.min_quota_value = min((client.quota_value for client in self.clients.values()), default=1.0)
        rates = dict.fromkeys(self.clients.values(), 0.0)
        capacity = self.run_limit
        # water-filling: almost a strict priority order where criticality differs much, almost equal shares
        # where it hardly differs
        while capacity > 1e-3 and (total := sum(need * density ** 2 for _, need, density, _ in needs)) > 0:
            part = min(capacity / total, 1 / max(density for _, _, density, _ in needs) ** 2)
            for client, need, density, cost in needs:
                rates[client] += need * part * density ** 2 / cost
                capacity -= need * part * density ** 2
            needs = [(client, need * (1 - part * density ** 2), density, cost)
                     for client, need, density, cost in needs if need * (1 - part * density ** 2) > 1e-6]
        for client, rho in rates.items():
            client.rho = rho * (1 + max(0.0, capacity) / self.run_limit)
        if self.pools is not None:
            method_rates = {method: 0.0 for method in self.method_numbers}
            for client in self.clients.values():
                method_rates[client.method] += client.arrivals.read(self.now) * 1e6 / DECAY_SPAN
            costs = {m: self._usual_cost(m) + self.off_core_times[m].mean(self.now, weight=1)
                     for m in method_rates}
            self.pools.update_cheapest(
                [(self.method_numbers[m], rate, costs[m]) for m, rate in method_rates.items()],
                self.run_limit)

    def _first_class_factor(self, client: Client) -> float:
        """Factor of the finish tags of a client's first class, 1 for the least valuable client.

        Without it RPCs of tenants within their quotas would queue behind those of a tenant far beyond its own.
        """
        lowest = max(MIN_QUOTA_VALUE, self.min_quota_value)
        factor: float = (lowest / max(lowest, client.quota_value)) ** 0.5
        return self.criticality_factor[client.method] * factor

    def _share_within_quota(self, tenant: Tenant | None, arrivals: float) -> float:
        """Share of a tenant's recent arrivals that its quota covers; `arrivals` is their decayed count.

        RPCs of no known tenant are covered by none, so that they do not compete with those of the tenants.
        """
        if tenant is None:
            return 0.0 if self.settings.tenants else 1.0
        quota = tenant.quota_per_s / self.settings.peers * DECAY_SPAN / 1e6
        return min(1.0, quota / arrivals) if quota and arrivals else 1.0

    def _mean_cost(self) -> float:
        """Mean usual cost of the RPCs that arrived recently; of all methods if hardly any did."""
        counts = dict.fromkeys(self.method_numbers, MIN_RECENT_RPCS)
        for client in self.clients.values():
            counts[client.method] += client.arrivals.read(self.now)
        work = sum(count * self._usual_cost(method) for method, count in counts.items())
        return work / sum(counts.values())

    def _update_idle_limit(self) -> None:
        """Adapts how long idle connections are kept."""
        # keeps the table of connections from overflowing: where few RPCs come from callers that were seen
        # recently, a kept connection is seldom used again; harmful where callers come in bursts. A full table
        # refuses connections before their RPCs are read; while RPCs are read too late anyway, that costs less
        # than reading them
        self.reading_late = self.unread_times.mean(self.now) > (
            READING_LATE_UNTIL if self.reading_late else READING_LATE_ABOVE) * self.max_target
        factor = (1.0 if self.reading_late
                  else min(1.0, 1.25 * self.returning_callers.mean(self.now, 1, 1)) ** 12)
        limit = max(MIN_IDLE_LIMIT, int(self.settings.max_idle * factor))
        if self.settings.max_idle and abs(limit - self.idle_limit) > 0.2 * self.idle_limit:
            self.idle_limit = limit
            self.actions.append(Action(ActionKind.IDLE_LIMIT, duration=limit))

    def _update_load_signal(self) -> None:
        """Updates the load signal, so that callers send less while the queue is long."""
        if self.settings.load_signal is LoadSignal.NONE:
            return
        wait = sum(self._usual_cost(r.method) for queue in self.run_queues[:len(self.run_queues) - 1 or 1]
                   for _, _, r in queue if r.state == QUEUED) / self.run_limit
        # a threshold keeps out the least critical RPCs first, so its bound may follow the longest target; the
        # other kinds of signal affect all methods
        threshold = self.settings.load_signal is LoadSignal.THRESHOLD
        bound = LONG_QUEUE_SHARE * (self.max_target if threshold else self.min_target)
        # a window or a share keeps out RPCs of every criticality; worth it only if the cores are full and
        # reading uses a part of them. A short queue is no sign of capacity while most RPCs are rejected
        reading_costly = self.cpu_busy > HIGH_CPU and (
            self._reading_lags() or self.other_runnable > READING_CORE_SHARE * self.settings.cores)
        lower = (threshold or reading_costly) and (
            wait > bound or self._rejects_more_than(FLOOD_REJECT_SHARE))
        self.admit_level = max(0.02, self.admit_level * 0.95) if lower else min(1.0, self.admit_level * 1.03)
        level = 0.0 if self.cores_hung or self.stop_at else self.admit_level
        window = level * self.settings.cores * (
            NARROW_WINDOW_FACTOR if self._reading_lags() else MAX_WINDOW_FACTOR)
        # ranks from 0 to 1 are divided into equal bands, one for each method: the threshold stays below the
        # band of the most critical method, whose RPCs are rejected here instead of being kept out
        highest = 1 - 1 / len(self.settings.methods) if level else 1.0
        value = {LoadSignal.THRESHOLD: min(highest, 1 - level),
                 LoadSignal.WINDOW: window}.get(self.settings.load_signal, level)
        if abs(value - self.sent_signal) > 0.03 * max(self.sent_signal, 0.1):
            self.sent_signal = value
            self.actions.append(Action(ActionKind.LOAD_SIGNAL, value=value))

    def _skip_less_valuable_calls(self, max_calls: float) -> None:
        """Skips waiting calls that keep RPCs of more value waiting, where those cannot be answered without theirs.

        Without its call an RPC loses the part of its criticality that `skip_share` does not keep. Calls are the
        bottleneck only if there are more waiting ones than free slots.
        """
        free = max_calls - self.state_counts[CALLING] - len(self.lingering_calls)
        if self.state_counts[WAITING] <= max(0, free):
            return
        for queue in self.call_queues[:len(self.call_queues) - 1 or 1]:
            waiting = [rpc for _, _, rpc in queue if rpc.state == WAITING and not rpc.answered]
            needed = max((rpc.method.criticality for rpc in waiting if not rpc.method.skip_share), default=0.0)
            for rpc in waiting:
                if rpc.method.skip_share and rpc.method.criticality * (1 - rpc.method.skip_share) < needed:
                    self._resume(rpc, SKIP)

    def _make_waiting_calls(self) -> None:
        """Lets waiting RPCs call, in the order of their tags, as far as the limits and retry budgets allow."""
        refused: set[Rpc] = set()  # their retry budget does not allow the call
        set_aside: list[tuple[RpcQueue, QueueEntry]] = []
        max_calls = self.pacer.allowed(self.call_limit.value, self.now)
        self._skip_less_valuable_calls(max_calls)
        while self.now >= self.next_call_at and (
                queue := self._next_queue(self.call_queues, WAITING, max_calls,
                                          self.state_counts[CALLING] + len(self.lingering_calls))):
            entry = heappop(queue)
            rpc = entry[2]
            if rpc not in refused and (self.pools is None or self.pools.may_call(rpc, self.now)):
                self._resume(rpc, GO)
                continue
            rpc.uses_reserve = False
            if rpc.method.skip_share > 0:
                self._resume(rpc, SKIP)
            else:
                # each entry goes back to the queue that it was taken from: put in anew, an RPC of two queues
                # would have more entries after each dispatch
                refused.add(rpc)
                set_aside.append((queue, entry))
        for queue, entry in set_aside:
            heappush(queue, entry)

    def _dispatch(self) -> None:
        """Makes calls and starts runs as far as limits, memory and pools allow."""
        while self.lingering_calls and self.lingering_calls[0] <= self.now:
            heappop(self.lingering_calls)
        self._make_waiting_calls()
        self.pacer.in_flight = self.state_counts[CALLING] + len(self.lingering_calls)
        while not self.cores_hung and (queue := self._next_queue(
                self.run_queues, QUEUED, self._effective_run_limit(), self.state_counts[RUNNING])):
            rpc = queue[0][2]
            in_progress = self.state_counts[RUNNING] + self.state_counts[CALLING] + self.state_counts[WAITING]
            if in_progress + 1 > self._max_in_progress():
                break
            if self._memory_used() + rpc.size * (self.settings.run_factor - 1) > self.settings.memory * 0.95:
                break
            heappop(queue)
            idle = (rpc.state_since == self.now and self.state_counts[QUEUED] == 1 and self._has_idle_cores()
                    or self._has_own_slot(rpc))
            self._resume(rpc, START if idle or not self._misses_target(rpc) else DROP)
