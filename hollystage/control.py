"""All decisions of one server instance, with `policy`; the types it speaks are in interface.py.

An adapter makes one Control for each process and tells it, with the clock, what happened: arrived, finished,
at_call, called, gone, leaving, tick. After each batch decide() hands over the actions to carry out, in order.
The mechanism and each departure from it are described in docs/design.md.
"""
from __future__ import annotations

from heapq import heappop, heappush

from .decisions.calls.limits import Ended
from .decisions.calls.pools import NOWHERE, Pools
from .interface import Action, Do, Kind, Outcome, Pooling, Rpc, Say, Settings, Tenant
from .policy.buckets import *
from .policy.lives import Lives

WIDE, NARROW = 4.0, 0.75  # widest window for a caller over the cores; the second where RPCs lie unread
FULL_HOLD = 0.25  # share of a target that the hold may take up before callers are asked to send less
CALLERS, SHORTEST = 4096, 10_000  # callers remembered at the most; shortest idle limit of connections
DROWNED, CLEAR = 0.3, 0.01  # shares of the longest target that RPCs lie unread: tables may fill, until


class Control(Lives):
    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(settings, now)
        if settings.pooling is not None:
            self.repool(settings.pooling, now)
        self.out.append(Action(Do.HEALTH, flag=True))
        # timers of instances that start together are spread: one step of a congruential generator, high bits
        chance = (seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1) >> 33
        self.out.append(Action(Do.TIMER, span=1 + (chance * TICK >> 31)))
        # their first calls below too, by what one is taken to last before any was made
        self.pacer.debt = float(chance * (self.shortest // 2) >> 31)

    # What the adapter tells

    def arrived(self, rpc: Rpc, now: int) -> None:
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
            self._progress()  # so that cores which hang in reading are seen too
        self.turned.add(0, now)
        self.sent_on.add(0, now)
        self.known.add(now - self.seen.get(rpc.caller, -self.set.longest_idle) < self.set.longest_idle, now)
        if len(self.seen) > CALLERS:
            self.seen.clear()  # guards the memory where callers come back under new numbers
        self.seen[rpc.caller] = now
        self.unread.add(rpc.waited, now)
        rpc.level = client.classify(now)
        rpc.promised = self.calendar is not None and self.calendar.came(rpc.caller, self.numbers[method], now)
        if rpc.promised:
            rpc.level = 1
        # class spacing: the more critical a method, the sooner its first class is due
        rpc.tag = read_at + int(client.deltas[rpc.level - 1] * (self.rank[method] if rpc.level == 1 else 1))
        if rpc.promised:
            rpc.tag = read_at + (rpc.tag - read_at) // 4  # a place was set aside: before others of its kind
        self._line_up(self.dues, rpc.due, rpc)
        rpc.seat = self.pools.seat(self.numbers[method]) if self.pools is not None else None
        rpc.life = self._life(rpc)
        self._resume(rpc, None)

    def finished(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        self.now = now
        self._progress()
        # what stood on hung cores tells nothing of costs; the time of stopped runs does, they are the long
        if rpc.place == RUNNING and outcome != Outcome.MOOT and now - spent >= self.freed:
            self.runs[rpc.method].add(max(1, spent - rpc.off_cores), now, outcome == Outcome.OK)
            self.offs[rpc.method].add(rpc.off_cores, now)
            if rpc.hint and outcome == Outcome.OK:
                self.pace.add(max(1, spent - rpc.off_cores), now, rpc.hint)
        self._resume(rpc, outcome)

    def at_call(self, rpc: Rpc, now: int) -> None:
        self.now = now
        self._progress()
        self._resume(rpc, AT_CALL)

    def called(self, rpc: Rpc, outcome: Outcome, spent: int, now: int) -> None:
        self.now = now
        ok, usual = outcome == Outcome.OK, self.usual_call
        odd = spent > SLOW * usual > 0 if ok else outcome in LOST
        self.odd.add(odd, now, outcome != Outcome.CANCELLED)
        if ok:
            # drifts up slowly and down quickly: what a call takes when nothing is wrong
            self.usual_call += (spent - usual) * ((0.02 if spent > usual else 0.2) if usual else 1)
        elif outcome == Outcome.TIMEOUT:
            heappush(self.lingering, now + self.set.linger)
        bad = not self._seldom() if odd else outcome not in (Outcome.OK, Outcome.CANCELLED)
        # guards the calls below against crowding by all instances, whatever made them slow
        calls = self.places[CALLING] + len(self.lingering)
        self.below.ended(end := Ended(outcome, spent, calls, self.usual_call, odd, bad, now))
        if self.pools is not None:
            self.pools.called(rpc, end)
        self._resume(rpc, outcome)

    def gone(self, rpc: Rpc, now: int) -> None:
        self.now = now
        self._resume(rpc, GONE)

    def repool(self, pooling: Pooling | None, now: int) -> None:
        """Other pools, or none: what runs is not stopped, what is held or waits goes to its pool's heir."""
        self.now, before, lines = now, self.pools, (*self.holds, *self.waits)
        if before is not None and pooling is None:
            before.close()
        self.pools = Pools(pooling, self.set.calls_out, now, before) if pooling is not None else None
        count = len(pooling.pools) + 1 if pooling else 1
        self.holds, self.waits = [[] for _ in range(count)], [[] for _ in range(count)]
        for rpc in {rpc: None for line in lines for _, _, rpc in line}:
            if rpc.place in (HELD, WAITING):
                if self.pools is not None and (rpc.seat is None or rpc.seat.find() == NOWHERE):
                    rpc.seat = self.pools.seat(self.numbers[rpc.method])
                self._queue(self.holds if rpc.place == HELD else self.waits, rpc)

    def leaving(self, left: int, now: int) -> None:
        self.now, self.stop, self.closing = now, now + left, now + self.set.drain_grace
        for _, _, rpc in self.dues:
            rpc.due = min(rpc.due, self.stop - 3 * TICK)
        self.dues = sorted((rpc.due, n, rpc) for _, n, rpc in self.dues)

    def tick(self, gauges: dict[str, float], now: int) -> None:
        self.now = now
        if self.stalls.woke(now, TICK):
            self.below.stalled(now)
        on_cores, held = self.places[RUNNING], self.places[HELD]
        busy = self.busy = gauges.get("cores", min(1.0, on_cores / self.set.cores))
        crowd = gauges.get("crowd", float(on_cores))
        if held and busy < HIGH and crowd < self.set.cores and not self.stuck:
            self.lim += 1
        else:
            # more runs than keep the cores busy only slow each other down, and past some crowd, told nowhere,
            # get less done in all; harms where waits for disk are so brief that the gauge never shows them
            self.lim -= (self.lim - self.set.cores) * 0.05
        self.lim = max(float(self.set.cores), min(self.lim, self._crowd()))
        if self.pools is not None:
            self.pools.crowd = self._crowd()
        self.extra += (max(0.0, crowd - on_cores) - self.extra) * 0.2
        self.pressed = busy >= (LOW if self.pressed else HIGH) and held > 0
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
        self.now = now
        self._pump()
        out, self.out = self.out, []
        return out

    def _progress(self) -> None:
        self.freed = self.now if self.stuck else self.freed
        self.progress, self.stuck = self.now, False

    def _watch_cores(self, crowd: float) -> None:
        if self.stuck or not self.places[RUNNING] and crowd < 1:
            self.progress = self.now
        elif self.now - self.progress > max(self.longest, HANG * max(map(self._cost, self.runs))) and (
                self.now - self.progress > HANG / 2 * max((self._work(r) for _, _, r in self.dues
                                                           if r.hint and r.place == RUNNING), default=0.0)):
            # guards against cores that take work and finish none; harms where single RPCs run this long (the
            # target, since on small or cold boxes one long run, or costs not learned yet, looks like a hang)
            self.stuck = True
            for _, _, rpc in list(self.dues):
                again = rpc.place == RUNNING and rpc.method.kind is Kind.IDEMPOTENT
                if (again or rpc.place == HELD) and not rpc.answered:
                    self._resume(rpc, DROP)

    def _health(self) -> None:
        if self.healthy is bool(self.stop or self.stuck):
            self.healthy = not self.healthy
            self.out.append(Action(Do.HEALTH, flag=self.healthy))

    def _sweep(self) -> None:
        while self.dues and self.dues[0][0] <= self.now + TICK:
            rpc = heappop(self.dues)[2]
            if not rpc.answered and rpc.place != OVER:
                self._resume(rpc, OVERDUE)
        for _, _, rpc in [row for line in self.holds for row in line]:
            if rpc.place == HELD and self._hopeless(rpc):
                self._resume(rpc, DROP)
        for _, _, rpc in [row for line in self.waits for row in line]:
            if rpc.place == WAITING and not rpc.answered and self._left(rpc) < 0 < rpc.method.skip_share:
                self._resume(rpc, SKIP)

    def _plan(self) -> None:
        """Splits the measured completion rate over the active clients: lim runs, each taking its cost."""
        needs: list[tuple[Client, float, float, float]] = []
        sent: dict[Tenant | None, float] = {}
        for client in self.clients.values():
            sent[client.tenant] = sent.get(client.tenant, 0) + client.arrivals.read(self.now)
        for client in self.clients.values():
            rate, cost = client.arrivals.read(self.now) * 1e6 / SPAN, self._cost(client.method) / 1e6
            quota = client.tenant.quota_per_s / self.set.peers * SPAN / 1e6 if client.tenant else 0.0
            inside = min(1.0, quota / sent[client.tenant]) if quota and sent[client.tenant] else 1.0
            # what of a tenant's traffic lies beyond its share is not marked: each RPC is worth the mean
            worth = client.method.criticality * (inside + (1 - inside) * self.set.over_share)
            worth *= cost if self.set.by_work else 1  # worth of a second on the cores: the same for all such
            # twice the rate: of a few RPCs a second it is a noisy sample
            needs.append((client, 2 * rate * cost + 0.01, worth / cost, cost))
        given = dict.fromkeys(self.clients.values(), 0.0)
        room = self.lim
        # water-filling: near an order where criticality differs much, an even share where hardly
        while room > 1e-3 and (total := sum(need * density ** 2 for _, need, density, _ in needs)) > 0:
            part = min(room / total, 1 / max(density for _, _, density, _ in needs) ** 2)
            for client, need, density, cost in needs:
                given[client] += need * part * density ** 2 / cost
                room -= need * part * density ** 2
            needs = [(client, need * (1 - part * density ** 2), density, cost)
                     for client, need, density, cost in needs if need * (1 - part * density ** 2) > 1e-6]
        for client, rho in given.items():
            client.rho = rho * (1 + max(0.0, room) / self.lim)
        if self.pools is not None:
            rates = {method: 0.0 for method in self.numbers}
            for client in self.clients.values():
                rates[client.method] += client.arrivals.read(self.now) * 1e6 / SPAN
            costs = {m: self._cost(m) + self.offs[m].mean(self.now, weight=1) for m in rates}
            self.pools.learn([(self.numbers[m], rate, costs[m]) for m, rate in rates.items()], self.lim)

    def _idle_limit(self) -> None:
        # guards the table of connections against more callers than it holds: where few RPCs come from one
        # that was here lately, a kept connection is seldom used again; harms where these come in spells. A
        # full table turns tries away unread, but is a tax: the lesser evil where what is read is too late
        self.drowned = self.unread.mean(self.now) > (CLEAR if self.drowned else DROWNED) * self.longest
        keep = 1.0 if self.drowned else min(1.0, 1.25 * self.known.mean(self.now, 1, 1)) ** 12
        span = max(SHORTEST, int(self.set.longest_idle * keep))
        if self.set.longest_idle and abs(span - self.idle) > 0.2 * self.idle:
            self.idle = span
            self.out.append(Action(Do.IDLE, span=span))

    def _say(self) -> None:
        if self.set.say is Say.NONE:
            return
        wait = sum(self._cost(r.method) for line in self.holds[:len(self.holds) - 1 or 1] for _, _, r in line
                   if r.place == HELD) / self.lim
        # a threshold keeps the least critical off first and may wait for their target, others hit all methods
        threshold = self.set.say is Say.THRESHOLD
        bound = FULL_HOLD * (self.longest if threshold else self.shortest)
        # a window or a share keeps off RPCs of every criticality; worth it only at full cores that reading
        # takes a part of; and a short hold tells nothing where most of what is read bounces
        costly = self.busy > HIGH and (self._reading_lags() or self.extra > BLIND * self.set.cores)
        less = (threshold or costly) and (wait > bound or self._bouncing(FLOOD))
        self.open = max(0.02, self.open * 0.95) if less else min(1.0, self.open * 1.03)
        level = 0.0 if self.stuck or self.stop else self.open
        window = level * self.set.cores * (NARROW if self._reading_lags() else WIDE)
        # ranks lie in one equal band a method: the most critical method's is left to our own pushbacks
        top = 1 - 1 / len(self.set.methods) if level else 1.0
        value = {Say.THRESHOLD: min(top, 1 - level), Say.WINDOW: window}.get(self.set.say, level)
        if abs(value - self.said) > 0.03 * max(self.said, 0.1):
            self.said = value
            self.out.append(Action(Do.SAY, value=value))

    def _pump(self) -> None:
        while self.lingering and self.lingering[0] <= self.now:
            heappop(self.lingering)
        later: list[Rpc] = []
        most = self.pacer.allowed(self.below.value, self.now)
        while self.now >= self.next_call and (
                line := self._next(self.waits, WAITING, most, self.places[CALLING] + len(self.lingering))):
            rpc = heappop(line)[2]
            if self.pools is None or self.pools.again(rpc, self.now):
                self._resume(rpc, GO)
            else:
                later.append(rpc)
        for rpc in later:  # further calls that the budget does not pay for
            rpc.spare = False
            if rpc.method.skip_share > 0:
                self._resume(rpc, SKIP)
            else:
                self._queue(self.waits, rpc)
        self.pacer.open = self.places[CALLING] + len(self.lingering)
        while not self.stuck and (line := self._next(self.holds, HELD, self._limit(), self.places[RUNNING])):
            rpc = line[0][2]
            begun = self.places[RUNNING] + self.places[CALLING] + self.places[WAITING]
            if begun + 1 > self._crowd():
                break
            if self._taken() + rpc.size * (self.set.run_factor - 1) > self.set.memory * 0.95:
                break
            heappop(line)
            idle = rpc.since == self.now and self.places[HELD] == 1 and self._idle() or self._welcome(rpc)
            self._resume(rpc, START if idle or not self._hopeless(rpc) else DROP)
