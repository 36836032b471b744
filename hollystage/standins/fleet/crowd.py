"""Service simulation: many instances, their machines, one ledger and callers that retry, in virtual time.

Membership is that of the fleet simulation, on the same clock. Machines start cold, reading requests uses the cores as
running them does, and calls of a killed instance continue at the ledger. Retries can therefore keep the fleet
overloaded after a fault is over, the condition under which recovery has to be measured.
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
    """Properties of machines, callers and the ledger; times in microseconds."""

    cores: int = 2
    load: float = 0.7  # offered load as a share of the capacity of all warm machines
    cold: float = 0.2  # speed after a start
    warm: int = 16 * SECOND  # time to full speed after a start
    boot: int = SECOND  # time from a start until the instance is listed
    read: int = 1_000  # time on the process's own core to read and answer an attempt
    table: int = 860  # unread attempts at an instance: the connection table and the listen backlog
    tries: int = 4
    heeds: bool = True  # callers follow Retry-After-Ms and X-Dont-Retry
    again: int = 60_000  # delay before a retry of callers that do not
    ledger_load: float = 0.6  # share of its slots in use if all RPCs are served
    ledger_mean: int = 20_000
    work: tuple[int, int] = (70_000, 40_000)


@dataclass(slots=True, eq=False)
class Ask:
    """An RPC of a caller, over all its attempts."""

    demand: Demand
    begun: int
    number: int
    tries: int = 0
    bound: str = ""  # the instance that may have run it, or that gave a retry time
    last: str = ""  # instance of the last attempt
    over: bool = False
    comes_at: int = 0  # retry time given by an instance; 0: none


class Silent:
    """Replaces the decision module of a killed instance: accepts all events and decides nothing."""

    def decide(self, now: int) -> list[Action]:
        return []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


class Instance(Box):
    """One process of an instance. `recovery_policy` runs at each tick, and may refuse RPCs and limit calls."""

    def __init__(self, crowd: Crowd, name: str, settings: Settings, cold: bool, seed: int) -> None:
        self.crowd, self.name, self.alive, self.born = crowd, name, True, crowd.clock.now
        self.unread = self.calls_ended = 0
        self.free_at = crowd.clock.now  # when the process's own core has read all received attempts
        self.asks: dict[int, Ask] = {}
        self.pilot: Any = None
        super().__init__(crowd.clock, settings, [], crowd.ledger, seed)
        if cold:
            self._warm()

    def _warm(self) -> None:
        """Raises the speed of a cold machine, every quarter of a second."""
        if not self.alive:
            return
        parameters = self.crowd.deal
        progress = min(1.0, (self.clock.now - self.born) / parameters.warm)
        self.cores.set_slow(1 / (parameters.cold + (1 - parameters.cold) * progress), self.clock.now)
        self._plan()
        if progress < 1:
            self.clock.at(self.clock.now + SECOND // 4, self._warm)

    def take(self, rpc: Ask) -> None:
        """Queues an arriving attempt until the process's own core reads it."""
        parameters, now = self.crowd.deal, self.clock.now
        if self.unread >= parameters.table:
            self.crowd.judge["table full"] += 1
            self.clock.at(now + 200_000, lambda: self.crowd._send(rpc))  # the connection is not accepted
            return
        self.number += 1
        number = self.number
        self.asks[number] = rpc
        self.unread += 1
        self.free_at = max(self.free_at, now) + parameters.read
        self.clock.at(self.free_at, lambda: self._read(number, rpc, now))

    def _read(self, number: int, caller_rpc: Ask, received_at: int) -> None:
        if not self.alive:
            return
        self.unread -= 1
        now, method = self.clock.now, caller_rpc.demand.method
        timeout = method.deadline - (now - caller_rpc.begun)
        if timeout <= 0 or caller_rpc.over:
            self.asks.pop(number, None)
            return
        rpc = Rpc(method, caller_rpc.number % 1000, None, 10.0, timeout, now - received_at, caller_rpc.tries > 1)
        self.tries[rpc] = Try(caller_rpc.demand, rpc, caller_rpc.begun, number, caller_rpc.tries)
        if self.pilot is not None and self.pilot.refuses(caller_rpc, now):
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
            caller_rpc = self.asks.pop(run.number, None)
            self._answer(run, "pushed")
            if caller_rpc is not None:
                self.crowd.pushed(caller_rpc, action.span, action.flag)
            return
        if action.do is Do.START:
            self.crowd.started(self.name, self.asks.get(run.number))
        super()._do(action, run)

    def _answer(self, run: Try, outcome: str) -> None:
        if run.over:
            return
        if run.rpc.promised:
            self.crowd.promised.append((self.clock.now, outcome == "served"))
        super()._answer(run, outcome)
        caller_rpc = self.asks.pop(run.number, None)
        if caller_rpc is not None and outcome != "pushed":
            self.crowd.ended(caller_rpc, outcome, run.skipped)

    def _next(self, demand: Demand) -> None:
        """Does nothing: the simulation generates the RPCs."""

    def die(self) -> list[Ask]:
        """Kills the process; returns the RPCs whose connections break."""
        self.alive = False
        self.control = Silent()  # type: ignore[assignment]
        waiting = [caller_rpc for caller_rpc in self.asks.values() if not caller_rpc.over]
        for run in self.tries.values():
            if run.call:
                self.ledger.give_up(run.call)
        self.asks, self.tries, self.jobs = {}, {}, {}
        self.cores = Sharing(1)
        return waiting


class Careful:
    """The product's recovery of one simulated instance: ramp, pressure level and restart guard."""

    def __init__(self, instance: Instance) -> None:
        self.instance, control = instance, instance.control
        self.pilot = Pilot(control, instance.clock.now, len(instance.crowd.twin.nodes), instance.settings.cold)
        self.pressure, self.doubt = Pressure(), Doubt(instance.born)
        self.members = instance.crowd.twin.nodes[instance.name].members
        self.view = self.members.view(instance.clock.now)

    def refuses(self, caller_rpc: Ask, now: int) -> bool:
        return self.instance.settings.cold and self.doubt.may_have_run(
            caller_rpc.demand.method, caller_rpc.number, caller_rpc.tries > 1, now)

    def tick(self, now: int) -> None:
        control, node = self.instance.control, self.instance.crowd.twin.nodes[self.instance.name]
        if self.members.changed:
            self.view = self.members.view(now)
        self.pilot.steer(control, self.pilot.bounds(
            self.view, self.instance.calls_ended, control.odd.mean(now), control.usual_call, now))
        is_cold = self.instance.settings.cold and now - self.instance.born < self.instance.crowd.deal.warm
        self.members.say(msgspec.structs.replace(
            self.members.me.digest, stage=Stage.COLD if is_cold else Stage.SERVING,
            pressure=self.pressure.level(control.turned.mean(now), now)), now)
        self.instance.crowd.twin.settle(node)


class Crowd:
    """The service and its callers.

    `policy_factory` makes the recovery policy of an instance; None: instances have none.
    """

    def __init__(self, count: int, seed: int, deal: Deal | None = None,
                 pilot: Callable[[Instance], Any] | None = None, promises: bool = False) -> None:
        self.deal, self.pilot, self.seed = deal or Deal(), pilot, seed
        self.twin = Twin(count, seed, known=True)
        self.clock, self.chance = self.twin.clock, random.Random(seed)
        deal = self.deal
        look, keep = deal.work
        mean = 0.66 * look + 0.34 * keep
        self.rate = deal.load * count * deal.cores / mean * SECOND  # RPCs per second over all instances
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
        self.ran: dict[tuple[str, int], int] = {}  # last run of a keyed RPC at an instance
        self.asked: Counter[int] = Counter()
        self.sent: Counter[int] = Counter()
        self.promised: list[tuple[int, bool]] = []  # end and success of RPCs that had a reserved slot
        self.returned: list[tuple[int, bool]] = []  # the same of all RPCs that came back at their retry time
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
        """Updates the callers' list of ready instances, with a delay of 1 to 2 s."""
        ready = [name for name, instance in self.instances.items() if instance.alive and instance.control.healthy
                 and self.clock.now - instance.born >= (self.deal.boot if instance.settings.cold else 0)]

        def update() -> None:
            if ready:
                self.listed = ready
        self.clock.at(self.clock.now + int(self.chance.uniform(1.0, 2.0) * SECOND), update)
        self.clock.at(self.clock.now + SECOND // 4, self._list)

    def _send(self, rpc: Ask) -> None:
        now = self.clock.now
        if rpc.over:
            return
        if now - rpc.begun >= rpc.demand.method.deadline or rpc.tries >= self.deal.tries:
            rpc.over = True
            self.judge["given up"] += 1
            return
        rpc.tries += 1
        self.sent[self.now_s] += 1
        rpc.last = rpc.bound or self.chance.choice([name for name in self.listed if name != rpc.last] or self.listed)
        instance = self.instances[rpc.last]
        ready = now - instance.born >= self.deal.boot or not instance.settings.cold
        if not instance.alive or not ready:
            self.judge["refused"] += 1
            if rpc.comes_at:
                rpc.bound, rpc.comes_at = "", 0  # it was bound to that instance only by the retry time
            self.clock.at(now + 20_000, lambda: self._send(rpc))
            return
        instance.take(rpc)

    def pushed(self, rpc: Ask, advice: int, stay: bool) -> None:
        """Handles a rejection with the retry delay `advice`; with `stay` the RPC may only return to this instance."""
        if rpc.comes_at:
            self.returned.append((self.clock.now, False))
        rpc.comes_at = 0
        if not self.deal.heeds:
            self.clock.at(self.clock.now + self.deal.again, lambda: self._send(rpc))
        elif stay:
            rpc.comes_at, rpc.bound = self.clock.now + advice, rpc.last
            self.clock.at(self.clock.now + advice + self.chance.randrange(10_000), lambda: self._send(rpc))
        else:
            rpc.bound = ""
            self.clock.at(self.clock.now + self.chance.randrange(10_000), lambda: self._send(rpc))

    def ended(self, rpc: Ask, outcome: str, skipped: bool) -> None:
        """Records the final answer of an RPC."""
        if rpc.over:
            return
        rpc.over = True
        method, second = rpc.demand.method, self.seconds.setdefault(self.now_s, Second())
        on_time = outcome == "served" and self.clock.now - rpc.begun <= method.latency_target
        if rpc.comes_at:
            self.returned.append((self.clock.now, outcome == "served"))
        if outcome == "served":
            self.last_served = self.clock.now
        (second.served if on_time else second.late if outcome == "served" else second.aborted)[rpc.demand.name] += 1
        if on_time:
            second.worth += method.criticality * (method.skip_share if skipped else 1.0)

    def started(self, name: str, rpc: Ask | None) -> None:
        """Counts keyed RPCs that run twice in their window at one instance, also if it was killed in between."""
        if rpc is None or rpc.demand.method.kind is not Kind.TOKENED:
            return
        last = self.ran.get((name, rpc.number))
        if last is not None and self.clock.now - last < rpc.demand.method.window:
            self.judge["twice"] += 1
        self.ran[name, rpc.number] = self.clock.now
        if len(self.ran) > 100_000:
            self.ran = {key: at for key, at in self.ran.items() if self.clock.now - at < 10 * SECOND}

    # Faults

    def play(self, faults: list[Fault]) -> None:
        """Schedules faults from now on."""
        for fault in faults:
            self.clock.at(self.clock.now + int(fault.at * SECOND), lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def apply(self, fault: Fault) -> None:
        """Applies a fault now, to the service and to its membership."""
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
        for rpc in self.instances[name].die():
            if rpc.demand.method.kind is Kind.TOKENED:
                rpc.bound = name  # this instance may have run it
            self.clock.at(self.clock.now + (200_000 if rpc.bound else 20_000), lambda rpc=rpc: self._send(rpc))  # type: ignore[misc]

    def _call(self, fault: Fault) -> None:
        command = json.loads(fault.how)
        match command["do"]:
            case "slow":
                self.ledger.slow(command["factor"])
            case "die":
                self.ledger.die(int(command["seconds"] * SECOND))
            case "rate":
                for demand in self.demands:
                    demand.rate *= command["factor"]

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.clock.run(self.clock.now + int(seconds * SECOND))

    def worth(self, start: int, end: int) -> float:
        """Returns the criticality served within target, per second, from second `start` to before `end`."""
        return sum(self.seconds[at].worth for at in range(start, end) if at in self.seconds) / max(1, end - start)
