"""A whole service in virtual time: many instances' decisions, their machines, one ledger, and callers who try again.

Membership is the twin's, on the same clock. Machines start cold, reading takes their cores as running does, and
what a killed instance had at the ledger goes on there: so a fleet may be kept down by what its callers repeat after
the fault is over, which is what coming back has to be judged by.
"""
from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ...decisions.comeback.pilot import Pilot, Pressure
from ...decisions.comeback.recovery import Doubt
from ...decisions.membership.records import Stage
from ...interface import Action, Do, Kind, Outcome, Rpc, Settings
from ..ledger import LedgerModel, Terms
from ..scenes import settings_of
from ..sharing import Sharing
from ..virtual import SECOND, Box, Demand, Second, Try, hold, lookup
from .faults import Fault
from .twin import Twin


@dataclass(slots=True)
class Deal:
    """What machines, callers and the ledger are like; times in microseconds."""

    cores: int = 2
    load: float = 0.7  # of what all warm machines can do
    cold: float = 0.2  # speed at a start
    warm: int = 16 * SECOND  # until full speed
    boot: int = SECOND  # from a start until the instance is listed
    read: int = 1_000  # of the process's own core, for each try that is read and answered
    table: int = 860  # tries that may be open and unread: the connections of a table and of a backlog
    tries: int = 4
    heeds: bool = True  # callers heed times to come back and "do not try elsewhere"
    again: int = 60_000  # until those who do not heed try again
    ledger_load: float = 0.6  # of its slots, with all served
    ledger_mean: int = 20_000
    work: tuple[int, int] = (70_000, 40_000)


@dataclass(slots=True, eq=False)
class Ask:
    """One RPC of a caller, over all its tries."""

    demand: Demand
    begun: int
    number: int
    tries: int = 0
    bound: str = ""  # to the instance that may have run it, or that said when to come back
    last: str = ""  # where it was tried last
    over: bool = False
    comes_at: int = 0  # when it was told to come back


class Silent:
    """What is left of a killed instance's decisions: nothing."""

    def decide(self, now: int) -> list[Action]:
        return []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


class Instance(Box):
    """One life of an instance; `pilot` is told each tick and may bound what the decisions take."""

    def __init__(self, crowd: Crowd, name: str, settings: Settings, cold: bool, seed: int) -> None:
        self.crowd, self.name, self.alive, self.born = crowd, name, True, crowd.clock.now
        self.unread = self.calls_ended = 0
        self.free_at = crowd.clock.now  # when the process's own core has read what came so far
        self.asks: dict[int, Ask] = {}
        self.pilot: Any = None
        super().__init__(crowd.clock, settings, [], crowd.ledger, seed)
        if cold:
            self._warm()

    def _warm(self) -> None:
        if not self.alive:
            return
        deal = self.crowd.deal
        share = min(1.0, (self.clock.now - self.born) / deal.warm)
        self.cores.set_slow(1 / (deal.cold + (1 - deal.cold) * share), self.clock.now)
        self._plan()
        if share < 1:
            self.clock.at(self.clock.now + SECOND // 4, self._warm)

    def take(self, ask: Ask) -> None:
        """A try arrives; the process reads what came, in its turn, on its own core."""
        deal, now = self.crowd.deal, self.clock.now
        if self.unread >= deal.table:
            self.crowd.judge["table full"] += 1
            self.clock.at(now + 200_000, lambda: self.crowd._send(ask))  # a connection that is not taken
            return
        self.number += 1
        number = self.number
        self.asks[number] = ask
        self.unread += 1
        self.free_at = max(self.free_at, now) + deal.read
        self.clock.at(self.free_at, lambda: self._read(number, ask, now))

    def _read(self, number: int, ask: Ask, came: int) -> None:
        if not self.alive:
            return
        self.unread -= 1
        now, method = self.clock.now, ask.demand.method
        patience = method.deadline - (now - ask.begun)
        if patience <= 0 or ask.over:
            self.asks.pop(number, None)
            return
        rpc = Rpc(method, ask.number % 1000, None, 10.0, patience, now - came, ask.tries > 1)
        self.tries[rpc] = Try(ask.demand, rpc, ask.begun, number, ask.tries)
        if self.pilot is not None and self.pilot.refuses(ask, now):
            self._answer(self.tries[rpc], "aborted")
            self.tries.pop(rpc, None)
            return
        self.control.arrived(rpc, now)
        self._settle()

    def _tick(self) -> None:
        if self.pilot is not None and self.alive:
            self.pilot.tick(self.clock.now)
        super()._tick()

    def _called(self, run: Try, outcome: Outcome, number: int) -> None:
        self.calls_ended += bool(run.call) and run.call == number
        super()._called(run, outcome, number)

    def _do(self, action: Action, run: Try) -> None:
        if action.do is Do.PUSH_BACK:
            ask = self.asks.pop(run.number, None)
            self._answer(run, "pushed")
            if ask is not None:
                self.crowd.pushed(ask, action.span, action.flag)
            return
        if action.do is Do.START:
            self.crowd.started(self.name, self.asks.get(run.number))
        super()._do(action, run)

    def _answer(self, run: Try, how: str) -> None:
        if run.over:
            return
        if run.rpc.promised:
            self.crowd.promised.append((self.clock.now, how == "served"))
        super()._answer(run, how)
        ask = self.asks.pop(run.number, None)
        if ask is not None and how != "pushed":
            self.crowd.ended(ask, how, run.skipped)

    def _next(self, demand: Demand) -> None:
        """Its callers are the crowd's."""

    def die(self) -> list[Ask]:
        """Those who waited for it see their connections break."""
        self.alive = False
        self.control = Silent()  # type: ignore[assignment]
        waiting = [ask for ask in self.asks.values() if not ask.over]
        for run in self.tries.values():
            if run.call:
                self.ledger.give_up(run.call)
        self.asks, self.tries, self.jobs = {}, {}, {}
        self.cores = Sharing(1)
        return waiting


class Careful:
    """The product's own steering of coming back, for one instance of the crowd."""

    def __init__(self, instance: Instance) -> None:
        self.instance, control = instance, instance.control
        self.pilot = Pilot(control, instance.clock.now, len(instance.crowd.twin.nodes), instance.settings.cold)
        self.pressure, self.doubt = Pressure(), Doubt(instance.born)
        self.members = instance.crowd.twin.nodes[instance.name].members
        self.view = self.members.view(instance.clock.now)

    def refuses(self, ask: Ask, now: int) -> bool:
        return self.instance.settings.cold and self.doubt.may_have_run(
            ask.demand.method, ask.number, ask.tries > 1, now)

    def tick(self, now: int) -> None:
        control, node = self.instance.control, self.instance.crowd.twin.nodes[self.instance.name]
        if self.members.changed:
            self.view = self.members.view(now)
        self.pilot.steer(control, self.pilot.bounds(
            self.view, self.instance.calls_ended, control.odd.mean(now), control.usual_call, now))
        young = self.instance.settings.cold and now - self.instance.born < self.instance.crowd.deal.warm
        self.members.say(msgspec.structs.replace(
            self.members.me.digest, stage=Stage.COLD if young else Stage.SERVING,
            pressure=self.pressure.level(control.turned.mean(now), now)), now)
        self.instance.crowd.twin.settle(node)


class Crowd:
    """The service and its callers. `pilot` makes what steers one instance's coming back; None for nothing."""

    def __init__(self, count: int, seed: int, deal: Deal | None = None,
                 pilot: Callable[[Instance], Any] | None = None, promises: bool = False) -> None:
        self.deal, self.pilot, self.seed = deal or Deal(), pilot, seed
        self.twin = Twin(count, seed, known=True)
        self.clock, self.chance = self.twin.clock, random.Random(seed)
        deal = self.deal
        look, keep = deal.work
        mean = 0.66 * look + 0.34 * keep
        self.rate = deal.load * count * deal.cores / mean * SECOND  # RPCs a second over all
        slots = max(2, round(0.66 * self.rate * deal.ledger_mean / SECOND / deal.ledger_load))
        self.terms = Terms(slots=slots, mean=deal.ledger_mean)
        self.ledger = LedgerModel(self.clock, self.terms, seed)
        self.demands = [Demand(lookup(), "lookup", 0.66 * self.rate, look, calls=True),
                        Demand(hold(), "hold", 0.34 * self.rate, keep)]
        self.settings: dict[str, Any] = {
            "cores": deal.cores, "calls_out": slots / count, "peers": count, "cold_from": deal.cold,
            "warm_after": deal.warm, "memory": 20_000.0 * deal.cores, "promises": promises}
        self.instances: dict[str, Instance] = {}
        self.listed: list[str] = []
        self.seconds: dict[int, Second] = {}
        self.judge: Counter[str] = Counter()
        self.ran: dict[tuple[str, int], int] = {}  # a tokened RPC's last run at an instance
        self.asked: Counter[int] = Counter()
        self.sent: Counter[int] = Counter()
        self.promised: list[tuple[int, bool]] = []  # for whom a place was set aside, and who came: served or not
        self.returned: list[tuple[int, bool]] = []  # of all who came back when they were told
        self.last_served = 0
        self.number = 0
        for name in self.twin.nodes:
            self._make(name, False)
        self.listed = list(self.instances)
        for demand in self.demands:
            self._next(demand)
        self.clock.at(self.clock.now, self._list)

    def _make(self, name: str, cold: bool) -> None:
        methods = [demand.method for demand in self.demands]
        settings = settings_of(methods, **(self.settings | {"cold": cold}))
        instance = Instance(self, name, settings, cold, self.chance.getrandbits(32))
        if self.pilot is not None:
            instance.pilot = self.pilot(instance)
        self.instances[name] = instance

    # Callers

    @property
    def now_s(self) -> int:
        return self.clock.now // SECOND

    def _next(self, demand: Demand) -> None:
        def send() -> None:
            self.number += 1
            self.asked[self.now_s] += 1
            self._send(Ask(demand, self.clock.now, self.number))
            self._next(demand)
        self.clock.at(self.clock.now + int(self.chance.expovariate(demand.rate) * SECOND), send)

    def _list(self) -> None:
        """Callers see who takes work a second or two late."""
        there = [name for name, instance in self.instances.items() if instance.alive and instance.control.healthy
                 and self.clock.now - instance.born >= (self.deal.boot if instance.settings.cold else 0)]

        def see() -> None:
            if there:
                self.listed = there
        self.clock.at(self.clock.now + int(self.chance.uniform(1.0, 2.0) * SECOND), see)
        self.clock.at(self.clock.now + SECOND // 4, self._list)

    def _send(self, ask: Ask) -> None:
        now = self.clock.now
        if ask.over:
            return
        if now - ask.begun >= ask.demand.method.deadline or ask.tries >= self.deal.tries:
            ask.over = True
            self.judge["given up"] += 1
            return
        ask.tries += 1
        self.sent[self.now_s] += 1
        ask.last = ask.bound or self.chance.choice([name for name in self.listed if name != ask.last] or self.listed)
        instance = self.instances[ask.last]
        ready = now - instance.born >= self.deal.boot or not instance.settings.cold
        if not instance.alive or not ready:
            self.judge["refused"] += 1
            if ask.comes_at:
                ask.bound, ask.comes_at = "", 0  # it was only told to come back there
            self.clock.at(now + 20_000, lambda: self._send(ask))
            return
        instance.take(ask)

    def pushed(self, ask: Ask, advice: int, stay: bool) -> None:
        """Told to keep away from there for `advice`; with `stay`, not to try elsewhere either: it comes back then."""
        if ask.comes_at:
            self.returned.append((self.clock.now, False))
        ask.comes_at = 0
        if not self.deal.heeds:
            self.clock.at(self.clock.now + self.deal.again, lambda: self._send(ask))
        elif stay:
            ask.comes_at, ask.bound = self.clock.now + advice, ask.last
            self.clock.at(self.clock.now + advice + self.chance.randrange(10_000), lambda: self._send(ask))
        else:
            ask.bound = ""
            self.clock.at(self.clock.now + self.chance.randrange(10_000), lambda: self._send(ask))

    def ended(self, ask: Ask, how: str, skipped: bool) -> None:
        if ask.over:
            return
        ask.over = True
        method, second = ask.demand.method, self.seconds.setdefault(self.now_s, Second())
        good = how == "served" and self.clock.now - ask.begun <= method.latency_target
        if ask.comes_at:
            self.returned.append((self.clock.now, how == "served"))
        if how == "served":
            self.last_served = self.clock.now
        (second.served if good else second.late if how == "served" else second.aborted)[ask.demand.name] += 1
        if good:
            second.worth += method.criticality * (method.skip_share if skipped else 1.0)

    def started(self, name: str, ask: Ask | None) -> None:
        """The judge of effects: a tokened RPC runs once in its window at an instance, whatever died in between."""
        if ask is None or ask.demand.method.kind is not Kind.TOKENED:
            return
        last = self.ran.get((name, ask.number))
        if last is not None and self.clock.now - last < ask.demand.method.window:
            self.judge["twice"] += 1
        self.ran[name, ask.number] = self.clock.now
        if len(self.ran) > 100_000:
            self.ran = {key: at for key, at in self.ran.items() if self.clock.now - at < 10 * SECOND}

    # Faults

    def play(self, faults: list[Fault]) -> None:
        for fault in faults:
            self.clock.at(self.clock.now + int(fault.at * SECOND), lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def apply(self, fault: Fault) -> None:
        if fault.do == "call":
            self._call(fault)
            return
        if fault.do in ("kill", "term"):
            for name in fault.who:
                self._kill(name)
        self.twin.apply(fault)
        if fault.do == "start":
            for name in fault.who:
                self._make(name, True)

    def _kill(self, name: str) -> None:
        for ask in self.instances[name].die():
            if ask.demand.method.kind is Kind.TOKENED:
                ask.bound = name  # it may have run there
            self.clock.at(self.clock.now + (200_000 if ask.bound else 20_000), lambda ask=ask: self._send(ask))  # type: ignore[misc]

    def _call(self, fault: Fault) -> None:
        order = json.loads(fault.how)
        match order["do"]:
            case "slow":
                self.ledger.slow(order["factor"])
            case "die":
                self.ledger.die(int(order["seconds"] * SECOND))
            case "rate":
                for demand in self.demands:
                    demand.rate *= order["factor"]

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + int(seconds * SECOND))

    def worth(self, start: int, end: int) -> float:
        """Criticality served within target a second, from second `start` to before `end` of the clock."""
        return sum(self.seconds[at].worth for at in range(start, end) if at in self.seconds) / max(1, end - start)
