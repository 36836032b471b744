"""Admission control and scheduling of one server instance, together with `policy`.

An adapter creates one Control for each process and reports events to it with the current time: arrived,
finished, at_call, call_finished, caller_disconnected, start_drain, tick. After each batch of events decide()
returns the actions to carry out, in order. The types are in `interface`; all times are microseconds. The
mechanism and each departure from it are described in docs/design.md.
"""
from __future__ import annotations

from heapq import heappop, heappush

from .decisions.calls.limits import Ended
from .decisions.calls.pools import NOWHERE, Pools
from .interface import Action, Do, Kind, Outcome, Pooling, Rpc, Say, Settings, Tenant
from .policy.buckets import *
from .policy.lives import Lives

# largest load signal of LoadSignal.WINDOW as a multiple of the cores: usual; while RPCs lie unread
WIDE, NARROW = 4.0, 0.75
FULL_HOLD = 0.25  # share of a target that the queueing time may reach before callers are asked to send less
CALLERS, SHORTEST = 4096, 10_000  # callers remembered; shortest idle limit of connections, microseconds
# share of the longest target that RPCs lie unread: above the first value connections are kept even if the
# table of connections fills up, until the share falls below the second
DROWNED, CLEAR = 0.3, 0.01


class Control(Lives):
    """The decision module of one instance; not thread-safe, does no I/O and reads no clock."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, now)
        if settings.pooling is not None:
            self.repool(settings.pooling, now)
        self.out.append(Action(Do.HEALTH, flag=True))
        # jitter for the timers of instances that start together: the high bits of one step of a linear
        # congruential generator
        jitter = (seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1) >> 33
        self.out.append(Action(Do.TIMER, span=1 + (jitter * TICK >> 31)))
        # and for their first downstream calls, over the time that one is assumed to take before any was made
        self.pacer.debt = float(jitter * (self.shortest // 2) >> 31)

    # Events

    def arrived(self, rpc: Rpc, now: int) -> None:
        """An RPC was read."""
        self.now = now
        method, read_at = rpc.method, now - rpc.waited
        rpc.due = now + rpc.patience if rpc.patience else max(now, read_at + method.deadline)
        if self.stop:
            rpc.due = max(now, min(rpc.due, self.stop - 3 * TICK))
        rpc.target = read_at + method.latency_target - self._age(rpc)
        self.passed.add(rpc.further or rpc.target < read_at + method.latency_target, now)
        client = self.clients.get((rpc.tenant, method))
        if client is None:
            rho = GENEROUS * self.set.cores / len(self.set.methods) / max(1, len(self.set.tenants))
            client = self.clients[rpc.tenant, method] = Client(rpc.tenant, method, rho, now)
        client.arrivals.add(1, now)
        if not self.places[RUNNING]:
            self._progress()  # so that cores that hang while reading are detected too
        self.turned.add(0, now)
        self.sent_on.add(0, now)
        self.known.add(now - self.seen.get(rpc.caller, -self.set.longest_idle) < self.set.longest_idle, now)
        if len(self.seen) > CALLERS:
            self.seen.clear()  # bounds the memory where callers reconnect under new numbers
        self.seen[rpc.caller] = now
        self.unread.add(rpc.waited, now)
        rpc.level = client.classify(now)
        rpc.promised = self.calendar is not None and self.calendar.came(rpc.caller, self.numbers[method], now)
        if rpc.promised:
            rpc.level = 1
        # class spacing: the more critical a method, the smaller the finish tags of its first class
        rpc.tag = read_at + int(client.deltas[rpc.level - 1] * (self.rank[method] if rpc.level == 1 else 1))
        if rpc.promised:
            rpc.tag = read_at + (rpc.tag - read_at) // 4  # capacity was reserved: ahead of others of its class
        self._line_up(self.dues, rpc.due, rpc)
        rpc.seat = self.pools.seat(self.numbers[method]) if self.pools is not None else None
        rpc.life = self._life(rpc)
        self._resume(rpc, None)

    def finished(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        """A run or a joined run ended, `spent` microseconds after its start."""
        self.now = now
        self._progress()
        # runs on hung cores are no measure of costs; halted runs do count, since they are the long ones
        if rpc.place == RUNNING and outcome != Outcome.MOOT and now - spent >= self.freed:
            self.runs[rpc.method].add(max(1, spent - rpc.off_cores), now, outcome == Outcome.OK)
            self.offs[rpc.method].add(rpc.off_cores, now)
            if rpc.hint and outcome == Outcome.OK:
                self.pace.add(max(1, spent - rpc.off_cores), now, rpc.hint)
        self._resume(rpc, outcome)

    def at_call(self, rpc: Rpc, now: int) -> None:
        """A run reached its downstream call and waits for it."""
        self.now = now
        self._progress()
        self._resume(rpc, AT_CALL)

    def called(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        """A downstream call ended after `spent` microseconds."""
        self.now = now
        ok, usual = outcome == Outcome.OK, self.usual_call
        odd = spent > SLOW * usual > 0 if ok else outcome in LOST
        self.odd.add(odd, now, outcome != Outcome.CANCELLED)
        if ok:
            # follows increases slowly and decreases quickly: the duration of a call when nothing is wrong
            self.usual_call += (spent - usual) * ((0.02 if spent > usual else 0.2) if usual else 1)
        elif outcome == Outcome.TIMEOUT:
            heappush(self.lingering, now + self.set.linger)
        bad = not self._seldom() if odd else outcome not in (Outcome.OK, Outcome.CANCELLED)
        # keeps all instances together from overloading the dependency, whatever made the calls slow
        calls = self.places[CALLING] + len(self.lingering)
        self.below.ended(ended := Ended(outcome, spent, calls, self.usual_call, odd, bad, now))
        if self.pools is not None:
            self.pools.called(rpc, ended)
        self._resume(rpc, outcome)

    def gone(self, rpc: Rpc, now: int) -> None:
        """The caller of an RPC disconnected."""
        self.now = now
        self._resume(rpc, GONE)

    def repool(self, pooling: Pooling | None, now: int) -> None:
        """Replaces the pools; None removes them. Runs continue; queued RPCs go to the heir of their pool."""
        self.now, previous, queues = now, self.pools, (*self.holds, *self.waits)
        if previous is not None and pooling is None:
            previous.close()
        self.pools = Pools(pooling, self.set.calls_out, now, previous) if pooling is not None else None
        count = len(pooling.pools) + 1 if pooling else 1
        self.holds, self.waits = [[] for _ in range(count)], [[] for _ in range(count)]
        for rpc in {rpc: None for queue in queues for _, _, rpc in queue}:
            if rpc.place in (HELD, WAITING):
                if self.pools is not None and (rpc.seat is None or rpc.seat.find() == NOWHERE):
                    rpc.seat = self.pools.seat(self.numbers[rpc.method])
                self._queue(self.holds if rpc.place == HELD else self.waits, rpc)

    def leaving(self, left: int, now: int) -> None:
        """Starts the drain: the process is killed in `left` microseconds."""
        self.now, self.stop, self.closing = now, now + left, now + self.set.drain_grace
        for _, _, rpc in self.dues:
            rpc.due = min(rpc.due, self.stop - 3 * TICK)
        self.dues = sorted((rpc.due, n, rpc) for _, n, rpc in self.dues)

    def tick(self, gauges: dict[str, float], now: int) -> None:
        """The timer fired; `gauges`: latest values of the configured gauges, empty if they are outdated."""
        self.now = now
        if self.stalls.woke(now, TICK):
            self.below.stalled(now)
        running, queued = self.places[RUNNING], self.places[HELD]
        busy = self.busy = gauges.get("cores", min(1.0, running / self.set.cores))
        crowd = gauges.get("crowd", float(running))
        if queued and busy < HIGH and crowd < self.set.cores and not self.stuck:
            self.lim += 1
        else:
            # more runs than keep the cores busy only slow each other down, and above some unknown number
            # throughput falls; does harm where runs wait for disk too briefly for the gauge to show it
            self.lim -= (self.lim - self.set.cores) * 0.05
        self.lim = max(float(self.set.cores), min(self.lim, self._crowd()))
        if self.pools is not None:
            self.pools.crowd = self._crowd()
        self.extra += (max(0.0, crowd - running) - self.extra) * 0.2
        self.pressed = busy >= (LOW if self.pressed else HIGH) and queued > 0
        self._watch_cores(crowd)
        self._health()
        self._sweep()
        if now - self.planned > 10 * TICK:
            self.planned = now
            self._plan()
            self._idle_limit()
            if self.calendar is not None:
                costs = [(c.arrivals.read(now), self._cost(c.method)) for c in self.clients.values()]
                work = sum(count * cost for count, cost in costs) / max(1e-9, sum(n for n, _ in costs))
                self.calendar.learn(1e6 * self.lim / max(1.0, work), now)
        self._say()
        self.out.append(Action(Do.TIMER, span=TICK))

    def decide(self, now: int) -> list[Action]:
        """Starts runs and calls that there is capacity for, and returns all new actions in order."""
        self.now = now
        self._pump()
        out, self.out = self.out, []
        return out

    def _progress(self) -> None:
        """Records that the cores made progress, which ends a hang."""
        self.freed = self.now if self.stuck else self.freed
        self.progress, self.stuck = self.now, False

    def _watch_cores(self, runnable: float) -> None:
        """Detects cores that make no progress and drops the RPCs that may be answered elsewhere."""
        if self.stuck or not self.places[RUNNING] and runnable < 1:
            self.progress = self.now
        elif self.now - self.progress > max(self.longest, HANG * max(map(self._cost, self.runs))) and (
                self.now - self.progress > HANG / 2 * max((self._work(r) for _, _, r in self.dues
                                                           if r.hint and r.place == RUNNING), default=0.0)):
            # cores that take work and finish none count as hung; does harm where single RPCs run this long
            # (at least the longest target, since on small or cold machines one long run, or a cost that is
            # not learned yet, looks like a hang)
            self.stuck = True
            for _, _, rpc in list(self.dues):
                may_repeat = rpc.place == RUNNING and rpc.method.kind is Kind.IDEMPOTENT
                if (may_repeat or rpc.place == HELD) and not rpc.answered:
                    self._resume(rpc, DROP)

    def _health(self) -> None:
        """Reports a change of health."""
        if self.healthy is bool(self.stop or self.stuck):
            self.healthy = not self.healthy
            self.out.append(Action(Do.HEALTH, flag=self.healthy))

    def _sweep(self) -> None:
        """Ends overdue RPCs and queued ones that miss their target; skips calls that would be too late."""
        while self.dues and self.dues[0][0] <= self.now + TICK:
            rpc = heappop(self.dues)[2]
            if not rpc.answered and rpc.place != OVER:
                self._resume(rpc, OVERDUE)
        for _, _, rpc in [row for queue in self.holds for row in queue]:
            if rpc.place == HELD and self._hopeless(rpc):
                self._resume(rpc, DROP)
        for _, _, rpc in [row for queue in self.waits for row in queue]:
            if rpc.place == WAITING and not rpc.answered and self._left(rpc) < 0 < rpc.method.skip_share:
                self._resume(rpc, SKIP)

    def _plan(self) -> None:
        """Divides the capacity, run_limit runs at their usual costs, between the clients: sets their rho."""
        needs: list[tuple[Client, float, float, float]] = []
        arrivals: dict[Tenant | None, float] = {}
        for client in self.clients.values():
            arrivals[client.tenant] = arrivals.get(client.tenant, 0) + client.arrivals.read(self.now)
        for client in self.clients.values():
            rate, cost = client.arrivals.read(self.now) * 1e6 / SPAN, self._cost(client.method) / 1e6
            quota = client.tenant.quota_per_s / self.set.peers * SPAN / 1e6 if client.tenant else 0.0
            within = min(1.0, quota / arrivals[client.tenant]) if quota and arrivals[client.tenant] else 1.0
            # RPCs beyond a tenant's quota cannot be told from the others: each counts with the mean value
            value = client.method.criticality * (within + (1 - within) * self.set.over_share)
            value *= cost if self.set.by_work else 1  # value of core time independent of the cost
            # twice the rate, since the rate of a few RPCs a second is a noisy sample
            needs.append((client, 2 * rate * cost + 0.01, value / cost, cost))
        rates = dict.fromkeys(self.clients.values(), 0.0)
        capacity = self.lim
        # water-filling: nearly a strict order where criticality differs much, else nearly equal shares
        while capacity > 1e-3 and (total := sum(need * density ** 2 for _, need, density, _ in needs)) > 0:
            part = min(capacity / total, 1 / max(density for _, _, density, _ in needs) ** 2)
            for client, need, density, cost in needs:
                rates[client] += need * part * density ** 2 / cost
                capacity -= need * part * density ** 2
            needs = [(client, need * (1 - part * density ** 2), density, cost)
                     for client, need, density, cost in needs if need * (1 - part * density ** 2) > 1e-6]
        for client, rho in rates.items():
            client.rho = rho * (1 + max(0.0, capacity) / self.lim)
        if self.pools is not None:
            method_rates = {method: 0.0 for method in self.numbers}
            for client in self.clients.values():
                method_rates[client.method] += client.arrivals.read(self.now) * 1e6 / SPAN
            costs = {m: self._cost(m) + self.offs[m].mean(self.now, weight=1) for m in method_rates}
            self.pools.learn([(self.numbers[m], rate, costs[m]) for m, rate in method_rates.items()], self.lim)

    def _idle_limit(self) -> None:
        """Adapts how long idle connections are kept."""
        # keeps the table of connections from overflowing: where few RPCs come from callers that were seen
        # lately, a kept connection is seldom used again; does harm where callers come in bursts. A full table
        # refuses attempts unread, which costs something, but less than reading RPCs that are too late
        self.drowned = self.unread.mean(self.now) > (CLEAR if self.drowned else DROWNED) * self.longest
        factor = 1.0 if self.drowned else min(1.0, 1.25 * self.known.mean(self.now, 1, 1)) ** 12
        limit = max(SHORTEST, int(self.set.longest_idle * factor))
        if self.set.longest_idle and abs(limit - self.idle) > 0.2 * self.idle:
            self.idle = limit
            self.out.append(Action(Do.IDLE, span=limit))

    def _say(self) -> None:
        """Updates the load signal: lowers what callers may send while the queue is long."""
        if self.set.say is Say.NONE:
            return
        wait = sum(self._cost(r.method) for queue in self.holds[:len(self.holds) - 1 or 1] for _, _, r in queue
                   if r.place == HELD) / self.lim
        # a threshold keeps out the least critical RPCs first and may wait for the longest target; the other
        # kinds of signal affect all methods
        threshold = self.set.say is Say.THRESHOLD
        bound = FULL_HOLD * (self.longest if threshold else self.shortest)
        # a window or a share keeps out RPCs of every criticality, which pays only if the cores are full and
        # reading uses a part of them; a short queue is no sign of capacity where most RPCs are rejected
        reading_costly = self.busy > HIGH and (self._reading_lags() or self.extra > BLIND * self.set.cores)
        lower = (threshold or reading_costly) and (wait > bound or self._bouncing(FLOOD))
        self.admit_level = max(0.02, self.admit_level * 0.95) if lower else min(1.0, self.admit_level * 1.03)
        level = 0.0 if self.stuck or self.stop else self.admit_level
        window = level * self.set.cores * (NARROW if self._reading_lags() else WIDE)
        # ranks form one band of equal width for each method: RPCs in the band of the most critical method are
        # rejected here instead of being kept out
        highest = 1 - 1 / len(self.set.methods) if level else 1.0
        value = {Say.THRESHOLD: min(highest, 1 - level), Say.WINDOW: window}.get(self.set.say, level)
        if abs(value - self.said) > 0.03 * max(self.said, 0.1):
            self.said = value
            self.out.append(Action(Do.SAY, value=value))

    def _pump(self) -> None:
        """Makes calls and starts runs as far as limits, memory and pools allow."""
        while self.lingering and self.lingering[0] <= self.now:
            heappop(self.lingering)
        deferred: list[Rpc] = []
        max_calls = self.pacer.allowed(self.below.value, self.now)
        while self.now >= self.next_call and (
                queue := self._next(self.waits, WAITING, max_calls, self.places[CALLING] + len(self.lingering))):
            rpc = heappop(queue)[2]
            if self.pools is None or self.pools.again(rpc, self.now):
                self._resume(rpc, GO)
            else:
                deferred.append(rpc)
        for rpc in deferred:  # retries that the retry budget does not allow
            rpc.spare = False
            if rpc.method.skip_share > 0:
                self._resume(rpc, SKIP)
            else:
                self._queue(self.waits, rpc)
        self.pacer.open = self.places[CALLING] + len(self.lingering)
        while not self.stuck and (queue := self._next(self.holds, HELD, self._limit(), self.places[RUNNING])):
            rpc = queue[0][2]
            in_progress = self.places[RUNNING] + self.places[CALLING] + self.places[WAITING]
            if in_progress + 1 > self._crowd():
                break
            if self._taken() + rpc.size * (self.set.run_factor - 1) > self.set.memory * 0.95:
                break
            heappop(queue)
            idle = rpc.since == self.now and self.places[HELD] == 1 and self._idle() or self._welcome(rpc)
            self._resume(rpc, START if idle or not self._hopeless(rpc) else DROP)
