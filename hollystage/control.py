"""All decisions of one server instance; the types it speaks are in interface.py.

An adapter makes one Control for each process and tells it, with the clock, what happened: arrived, finished,
at_call, called, gone, leaving, tick. After each batch decide() hands over the actions to carry out, in order.
Each RPC is a generator (`_life`) that yields what it wants done and is resumed with the result.
The mechanism and each departure from it are described in docs/design.md.
"""
from __future__ import annotations

from collections.abc import Generator
from heapq import heappop, heappush
from math import ceil, exp
from typing import Any

from .decisions.calendar import Calendar
from .decisions.limits import Ended, Stalls, limit_of
from .decisions.pools import CALLS, CORES, NOWHERE, OUT, WAITS, Pools
from .interface import Action, Do, Halt, Kind, Method, Outcome, Pooling, Rpc, Say, Settings, Tenant

TICK = 50_000  # spacing of the one timer; due answers leave up to one tick early
SPAN, RECENT = 4_000_000, 1_000_000  # of arrivals and costs; of unread times and pushbacks
BUCKETS, FEWEST = 2, 4.0  # n of the cascade; tokens that a bucket holds at least
WIDER, TAIL = 1.25, 1.5  # an outer bucket's rate over the next inner; the tail's delta over the outermost
GENEROUS, FORGET = 20.0, 0.3  # RPCs a second and core while nothing is measured; weight of such a run later
HIGH, LOW = 0.95, 0.85  # marks of the core gauge for pushbacks of the outermost class
HEADROOM, FULL = 0.8, 0.85  # shares: of the deadly crowd that may run, of memory for what is held and keys
LEAST, MOST = 0.1, 0.9  # bounds of that window, as shares of what this server may have in hand below
SLOW, LATE = 3.0, 30_000  # a call so many times slower is one; a timer so late means that we were stalled
ODD, SILENT = 0.4, 30.0  # share of slow or lost replies that is no trouble below; usual calls waited for one
CHOOSY, HANG = 1.3, 4.0  # usual costs that must fit before the target where much bounces; that mean a hang
INSIDE = 0.75  # in place of the former for what lies in a tenant's share
WIDE, NARROW = 4.0, 0.75  # widest window for a caller over the cores; the second where RPCs lie unread
FULL_HOLD = 0.25  # share of a target that the hold may take up before callers are asked to send less
UNREAD, BLIND = 0.05, 0.15  # reading costs: share of a target that RPCs lie unread, of the cores it takes
BOUNCED, FLOOD = 0.25, 0.7  # shares of what is read pushed back: little use elsewhere; callers flood the box
PASSED = 0.1  # share of what is read that others turned away before: they are pressed too
CALLERS, SHORTEST = 4096, 10_000  # callers remembered at the most; shortest idle limit of connections
BINS, COMMON, STAY = 50, 0.125, 0.998  # steps of patiences; share that tells a first try's; share kept a try
DROWNED, CLEAR = 0.3, 0.01  # shares of the longest target that RPCs lie unread: tables may fill, until

START, DROP, OVERDUE, GONE, AT_CALL, GO, SKIP = "start drop overdue gone at_call go skip".split()
UNSEEN, LOST = (Outcome.FULL, Outcome.CONNECT_FAILED), (Outcome.TIMEOUT, Outcome.RESET)
HELD, RUNNING, CALLING, WAITING, JOINED, OVER = "held running calling waiting joined over".split()
BOOKS = {RUNNING: CORES, WAITING: WAITS, CALLING: CALLS}  # places that pools keep books of

Line = list[tuple[int, int, Rpc]]  # a heap by time


class Decaying:
    """A sum and a count that forget over `span`, brought up to date when they are read."""

    def __init__(self, now: int, span: int = SPAN) -> None:
        self.sum, self.count, self.at, self.span = 0.0, 0.0, now, span

    def read(self, now: int) -> float:
        if now > self.at:
            left = exp((self.at - now) / self.span)
            self.sum, self.count, self.at = self.sum * left, self.count * left, now
        return self.sum

    def add(self, amount: float, now: int, count: float = 1) -> None:
        self.sum, self.count = self.read(now) + amount, self.count + count

    def mean(self, now: int, prior: float = 0.0, weight: float = 1e-9) -> float:
        return (self.read(now) + prior * weight) / (self.count + weight)


class Client:
    """One client's nested token buckets; a client is a method, of one tenant where tenants are told."""

    def __init__(self, tenant: Tenant | None, method: Method, rho: float, now: int) -> None:
        self.tenant, self.method, self.rho, self.at = tenant, method, rho, now
        self.arrivals = Decaying(now)
        first, last = method.latency_target, max(method.deadline, method.latency_target)
        self.deltas = [first + (last - first) * j // (BUCKETS - 1) for j in range(BUCKETS)]
        self.deltas.append(int(last * TAIL))
        self.tokens = [self.sigma(j) for j in range(BUCKETS)]

    def sigma(self, j: int) -> float:
        return max(FEWEST, self.rho * WIDER ** j * self.deltas[j] / 1e6)

    def classify(self, now: int) -> int:
        """The latency class from 1 to BUCKETS + 1, the tail; takes a token from its bucket and outer ones."""
        level = BUCKETS
        for j in reversed(range(BUCKETS)):
            grown = self.tokens[j] + self.rho * WIDER ** j * (now - self.at) / 1e6
            self.tokens[j] = min(self.sigma(j), grown)
            if level == j + 1 and self.tokens[j] >= 1:
                level = j
        self.at = now
        for j in range(level, BUCKETS):
            self.tokens[j] -= 1
        return level + 1


class Control:
    def __init__(self, settings: Settings, seed: int, now: int) -> None:
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
        self.runs, self.ends = ({m: Decaying(now) for m in settings.methods} for _ in range(2))
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
        self.offs = {m: Decaying(now) for m in settings.methods}
        self.pace = Decaying(now)  # time on the cores over the hints of the RPCs that took it
        if settings.pooling is not None:
            self.repool(settings.pooling, now)
        self.lingering: list[int] = []
        self.out.append(Action(Do.HEALTH, flag=True))
        # timers of instances that start together are spread: one step of a congruential generator, high bits
        chance = (seed * 6364136223846793005 + 1442695040888963407 & (1 << 64) - 1) >> 33
        self.out.append(Action(Do.TIMER, span=1 + (chance * TICK >> 31)))

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
        end = Ended(outcome, spent, calls, self.usual_call, odd, bad, now)
        self.below.ended(end)
        if self.pools is not None:
            self.pools.called(rpc, end)
        # where even one call at a time is more than the window: rest so long that the mean keeps to it
        window = self.below.value
        self.next_call = now + int(spent * (1 / window - 1)) if window < 1 else now
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

    # One RPC, from top to bottom

    def _life(self, rpc: Rpc) -> Generator[Action | None, Any, None]:
        method = rpc.method
        tokened = method.kind is Kind.TOKENED
        if rpc.earlier is not None and rpc.earlier.ran:
            self._move(rpc, JOINED)
            word = yield Action(Do.JOIN, rpc)
            if word in (OVERDUE, DROP):
                yield Action(Do.ABORT, rpc)
            return
        unwanted = self._unwanted(rpc)
        if unwanted:
            self.turned.add(1, self.now, 0)
            stay = unwanted == "late" or not self._in_share(rpc) and self._no_better_off()
            self.sent_on.add(not stay, self.now, 0)
            yield self._push_back(rpc, last=stay)
            return
        if rpc.earlier is not None and rpc.earlier.place == HELD and tokened:
            # the newer try takes the place of the held one: its caller has most likely given the older up
            rpc.tag = min(rpc.tag, rpc.earlier.tag)
            self.kept.discard(rpc.earlier)
            self._resume(rpc.earlier, DROP)
        if tokened:
            self.kept.add(rpc)
            self._line_up(self.keys, self.now + method.window, rpc)
            yield Action(Do.KEEP, rpc, method.window)
        self._move(rpc, HELD)
        self._queue(self.holds, rpc)
        word = yield None
        if word is not START:
            if tokened and rpc in self.kept and word is not GONE:
                self.kept.discard(rpc)
                yield Action(Do.FORGET, rpc)
            if word is not GONE:
                yield self._push_back(rpc, last=True)
            return
        rpc.ran = True
        self._move(rpc, RUNNING)
        word = yield Action(Do.START, rpc)
        while not isinstance(word, Outcome):
            if word is AT_CALL and not rpc.answered:
                word = yield from self._below(rpc)
                continue
            # what ran is pushed back only where it may run again; work is stopped unless a repeat may join it
            if not rpc.answered and word is not GONE:
                again = word is DROP and method.kind is Kind.IDEMPOTENT
                self.out.append(self._push_back(rpc, last=False) if again else Action(Do.ABORT, rpc))
            rpc.answered = True
            stoppable = self.set.halt is not Halt.NONE and not tokened and word is not DROP
            word = yield Action(Do.HALT, rpc) if stoppable else None

    def _below(self, rpc: Rpc) -> Generator[Action | None, Any, Any]:
        """The calls of one run; returns the word that ended the wait."""
        method, free, again = rpc.method, rpc.method.kind is Kind.IDEMPOTENT, True
        while True:
            word: Any = SKIP
            choked = self.places[WAITING] >= self.set.cores or (
                self.pools is not None and self.pools.choked(rpc))
            if again and not (method.skip_share > 0 and choked):
                self._move(rpc, WAITING)
                self._queue(self.waits, rpc)
                word = yield None
            if word is SKIP:
                self._move(rpc, RUNNING)
                rpc.answered = not method.skip_share
                return (yield Action(Do.ABORT if rpc.answered else Do.SKIP, rpc))
            if word is not GO:
                return word
            self._move(rpc, CALLING)
            rpc.called += 1
            # a call that cannot end before the target is given until the due time; a shorter wastes work
            half = int(self._work(rpc) / 2)
            soon = rpc.target - self.now - half > SLOW * self.usual_call
            span = (rpc.target if soon else rpc.due) - self.now - half
            brief = int(SILENT * self.usual_call) if free and self._seldom() else 0
            word = yield Action(Do.CALL, rpc, max(TICK, min(span, brief or span)))
            if word is Outcome.OK:
                self._move(rpc, RUNNING)
                return (yield None)
            if not isinstance(word, Outcome) or word in (Outcome.CANCELLED, Outcome.MOOT):
                return word
            # a call is repeated only where it is proven not to have run, or may run again
            lost = word in LOST and self._seldom() and self._left(rpc) > 0
            again = free and lost if method.skip_share > 0 else free or word in UNSEEN

    # Guards and measures

    def _left(self, rpc: Rpc) -> float:
        return min(rpc.target, rpc.due) - self.now - self._work(rpc) / 2 - self.usual_call

    def _seldom(self) -> bool:
        """Guards the window, and what waits, against single odd replies: only many mean trouble below."""
        return self.odd.mean(self.now, weight=3) <= ODD

    def _unwanted(self, rpc: Rpc) -> str:
        if self.stop and self.now - rpc.waited >= self.closing - TICK or self.stuck:
            return "away"
        key = self.set.key_size if rpc.method.kind is Kind.TOKENED else 0
        apart = self.pools.memory(self.numbers[rpc.method]) if self.pools is not None else 0.0
        if self._taken() + rpc.size + key > (FULL - apart) * self.set.memory:
            return "memory"
        idle = self._idle() and not self.places[HELD] or self._welcome(rpc)
        # with cores idle it is tried whatever its usual cost: guards against costs learned in a bad moment
        # (cold, slow, crowded) that turn all away and so are never learned anew; wastes one run at a time
        if self.now >= min(rpc.target, rpc.due) or not idle and self._hopeless(rpc):
            return "late"
        if self.pressed and rpc.level >= BUCKETS and not rpc.promised and not (
                self.pools is not None and self.pools.entitled(rpc, self._limit(), self.now)):
            return "pressed"
        return "slow" if not idle and not rpc.promised and self._hopeless(rpc, self._wait(rpc)) else ""

    def _welcome(self, rpc: Rpc) -> bool:
        """Whether its pool, or the reserve, has a place for it whatever the others do."""
        if self.pools is None:
            return False
        taken, heads = self.places[RUNNING], [self._head(line, HELD) for line in self.holds]
        return self.pools.welcome(rpc, self.numbers[rpc.method], self._limit(), taken, heads, self.now)

    def _bouncing(self, share: float) -> bool:
        return self.turned.mean(self.now) > share

    def _no_better_off(self) -> bool:
        """Whether other servers are likely as pressed: much bounces here, and a part of it did elsewhere.

        Guards a fleet that is pressed as a whole against reading again and again what it turns away; one box
        under more than the others (popular subjects, a slow core) sends its callers on. Where callers neither
        mark further tries nor tell their patience the two look alike: there a part of what is read is sent
        on, too little to drown the others if they are pressed too, enough to relieve a box that alone is."""
        pressed_too = self.passed.mean(self.now) > PASSED or self.sent_on.mean(self.now) > BOUNCED
        return self._bouncing(BOUNCED) and pressed_too and not self.room_elsewhere

    def _in_share(self, rpc: Rpc) -> bool:
        """Most likely worth its method's criticality in full. Guards the tenants within their shares against
        being turned away like one that sends far beyond its own; harms where they add up to too much."""
        return rpc.tenant is not None and rpc.level == 1

    def _reading_lags(self) -> bool:
        return self.unread.mean(self.now) > UNREAD * self.shortest

    def _limit(self) -> float:
        # guards against reading and runs together crowding the cores; harms where these would take the crowd
        return max(self.lim - self.extra, float(self.set.cores))

    def _idle(self) -> bool:
        return self.places[RUNNING] + 1 <= self.lim and self.busy < LOW

    def _push_back(self, rpc: Rpc, last: bool) -> Action:
        rpc.answered = True
        if not rpc.further:
            self.ends[rpc.method].add(self.now - rpc.target + rpc.method.latency_target, self.now)
        # a time to come back: when the next run is likely to have ended
        soon = self.set.longest_advice if self.stuck or self.stop else self._cost(rpc.method) / self._limit()
        if self.calendar is not None and rpc.promised:
            self.calendar.broke()
        if self.calendar is not None and last and not self.stuck and not self.stop:
            latest = int(min(rpc.target, rpc.due) - 2 * self._work(rpc))
            soon = self.calendar.promise(rpc.caller, self.numbers[rpc.method], self.now, latest) or 1e9
        return Action(Do.PUSH_BACK, rpc, int(min(soon, self.set.longest_advice)), last)

    def _age(self, rpc: Rpc) -> int:
        """How long the client has waited already: first tries come with one of a few patiences, learned over
        all callers (each may be seen here once only), later ones mostly with all that is left."""
        # marked as a further one: most likely turned away elsewhere at the age at which first tries are here
        elsewhere = int(self.ends[rpc.method].mean(self.now, weight=1)) if rpc.further else 0
        if not rpc.patience:  # callers that tell nothing: that age is all there is
            return elsewhere
        seen, deadline, firsts = rpc.patience + rpc.waited, rpc.method.deadline, self.firsts[rpc.method]
        at = min(BINS, BINS * seen // deadline)
        if not rpc.further:
            firsts[:] = [count * STAY + (j == at) for j, count in enumerate(firsts)]
        if sum(firsts[at:at + 2]) <= COMMON * sum(firsts):
            return max(0, deadline - seen)
        return min(max(0, deadline - seen), elsewhere)  # a further one, yet with a first one's patience

    def _hopeless(self, rpc: Rpc, wait: float = 0.0) -> bool:
        """Whether what is left before the latency target no longer fits the RPC's usual cost."""
        # a run that may just fit is worth the try for the critical, waste for the least where much bounces
        costs = self.rank[rpc.method]
        if self._bouncing(BOUNCED):
            costs *= INSIDE if self._in_share(rpc) else CHOOSY if costs >= 1 else 1
        return self.now + wait + costs * self._work(rpc) > min(rpc.target, rpc.due)

    def _cost(self, method: Method) -> float:
        """Usual time on the cores, as it is with the present crowd on them."""
        # part of a generous run is mixed in: what is not run for a while is forgotten and tried again
        return self.runs[method].mean(self.now, 1e6 / GENEROUS, FORGET)

    def _work(self, rpc: Rpc) -> float:
        """Its own time on the cores, microseconds: its hint at the pace measured here, else its method's."""
        return rpc.hint * self.pace.mean(self.now, 1.0, 1e6) if rpc.hint else self._cost(rpc.method)

    def _wait(self, rpc: Rpc) -> float:
        number = rpc.seat.find() if rpc.seat is not None else 0
        ahead = [sum(self._work(r) for tag, _, r in line if tag <= rpc.tag and r.place == HELD)
                 for line in self.holds[:len(self.holds) - 1 or 1]]
        wait = ahead[0] / self._limit() if self.pools is None else self.pools.wait(
            rpc, ahead[number], sum(ahead), self._limit())
        return 1.5 * wait  # half as much again: others that are due sooner will yet come

    def _crowd(self) -> float:
        warm = min(1.0, (self.now - self.born) / max(1, self.set.warm_after)) if self.set.cold else 1.0
        speed = self.set.cold_from + (1 - self.set.cold_from) * warm
        return self.set.cores * max(1.0, HEADROOM * (1 + (self.set.fall_multiple - 1) * speed))

    def _taken(self) -> float:
        while self.keys and self.keys[0][0] < self.now:
            self.kept.discard(heappop(self.keys)[2])
        return self.memory + len(self.kept) * self.set.key_size

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
        while needs and room > 1e-3:
            # water-filling: close to an order where criticality differs much, an even share where hardly
            total = sum(need * density ** 2 for _, need, density, _ in needs)
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

    # Moving RPCs along

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

    def _pump(self) -> None:
        while self.lingering and self.lingering[0] <= self.now:
            heappop(self.lingering)
        later: list[Rpc] = []
        most = ceil(max(self.below.value, 1))
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
