"""Service simulation: many instances, their machines, one ledger and callers that retry, in virtual time.

Membership is that of the fleet simulation, on the same clock. Machines start cold, reading an attempt takes time on
the core of the instance's own process, and calls of a killed instance continue at the ledger. Retries can therefore
keep the fleet overloaded after a fault is over, the condition under which recovery has to be measured.
"""
from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ...decisions.membership.records import Stage
from ...decisions.recovery.ramp import PressureLevel, RampController
from ...decisions.recovery.recovery import RestartGuard
from ...interface import Action, ActionKind, MethodKind, Outcome, Rpc, Settings
from ..ledger import LedgerModel, LedgerParameters
from ..processor_sharing import ProcessorSharing
from ..scenes import make_settings
from ..simulated_instance import (
    SECOND,
    Attempt,
    Demand,
    SecondResults,
    SimulatedInstance,
    idempotent_method,
    keyed_method,
)
from .faults import Fault
from .fleet_simulation import FleetSimulation


@dataclass(slots=True)
class SimulationParameters:
    """Properties of machines, callers and the ledger; times in microseconds."""

    cores: int = 2
    load: float = 0.7  # offered load as a share of the capacity of all warm machines
    cold_speed: float = 0.2  # speed after a start
    warm_up_time: int = 16 * SECOND  # time to full speed after a start
    boot_time: int = SECOND  # time from a start until the instance is listed
    read_time: int = 1_000  # time on the process's own core to read and answer an attempt
    max_unread: int = 860  # unread attempts at an instance: the connection table and the listen backlog
    tries: int = 4
    heeds: bool = True  # callers follow Retry-After-Ms and X-Dont-Retry
    retry_delay: int = 60_000  # delay before a retry if they ignore them
    ledger_load: float = 0.6  # share of its slots in use if all RPCs are served
    ledger_mean: int = 20_000
    work: tuple[int, int] = (70_000, 40_000)


@dataclass(slots=True, eq=False)
class CallerRpc:
    """An RPC of a caller, over all its attempts."""

    demand: Demand
    started_at: int
    number: int
    attempts: int = 0
    required_instance: str = ""  # the instance that may have run it, or that gave a retry time
    last_instance: str = ""  # instance of the last attempt
    done: bool = False
    retry_at: int = 0  # retry time given by an instance; 0: none


class StoppedControl:
    """Replaces the decision module of a killed instance: accepts all events and decides nothing."""

    def decide(self, now: int) -> list[Action]:
        return []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


class Instance(SimulatedInstance):
    """One process of an instance. `recovery_policy` runs at each tick, and may refuse RPCs and limit calls."""

    def __init__(self, simulation: ServiceSimulation, name: str, settings: Settings, cold: bool, seed: int) -> None:
        self.simulation, self.name, self.alive, self.started_at = simulation, name, True, simulation.clock.now
        self.unread_count = self.calls_ended = 0
        self.reader_free_at = simulation.clock.now  # when the process's own core has read all received attempts
        self.caller_rpcs: dict[int, CallerRpc] = {}
        self.recovery_policy: Any = None
        super().__init__(simulation.clock, settings, [], simulation.ledger, seed)
        if cold:
            self._update_speed()

    def _update_speed(self) -> None:
        """Raises the speed of a cold machine, every quarter of a second."""
        if not self.alive:
            return
        parameters = self.simulation.parameters
        progress = min(1.0, (self.clock.now - self.started_at) / parameters.warm_up_time)
        self.cores.set_slowdown(1 / (parameters.cold_speed + (1 - parameters.cold_speed) * progress), self.clock.now)
        self._schedule_completion()
        if progress < 1:
            self.clock.call_at(self.clock.now + SECOND // 4, self._update_speed)

    def receive(self, rpc: CallerRpc) -> None:
        """Queues an arriving attempt until the process's own core reads it."""
        parameters, now = self.simulation.parameters, self.clock.now
        if self.unread_count >= parameters.max_unread:
            self.simulation.counts["table full"] += 1
            # the connection is not accepted
            self.clock.call_at(now + 200_000, lambda: self.simulation._send_attempt(rpc))
            return
        self.attempt_count += 1
        number = self.attempt_count
        self.caller_rpcs[number] = rpc
        self.unread_count += 1
        self.reader_free_at = max(self.reader_free_at, now) + parameters.read_time
        self.clock.call_at(self.reader_free_at, lambda: self._process_request(number, rpc, now))

    def _process_request(self, number: int, caller_rpc: CallerRpc, received_at: int) -> None:
        if not self.alive:
            return
        self.unread_count -= 1
        now, method = self.clock.now, caller_rpc.demand.method
        timeout = method.deadline - (now - caller_rpc.started_at)
        if timeout <= 0 or caller_rpc.done:
            self.caller_rpcs.pop(number, None)
            return
        rpc = Rpc(method, caller_rpc.number % 1000, None, 10.0, timeout, now - received_at, caller_rpc.attempts > 1)
        self.attempts[rpc] = Attempt(caller_rpc.demand, rpc, caller_rpc.started_at, number, caller_rpc.attempts)
        if self.recovery_policy is not None and self.recovery_policy.refuses(caller_rpc, now):
            self._record_answer(self.attempts[rpc], "aborted")
            self.attempts.pop(rpc, None)
            return
        self.control.arrived(rpc, now)
        self._process_actions()

    def _tick(self) -> None:
        if self.recovery_policy is not None and self.alive:
            self.recovery_policy.tick(self.clock.now)
        super()._tick()

    def _end_call(self, run: Attempt, outcome: Outcome, number: int) -> None:
        self.calls_ended += bool(run.call_number) and run.call_number == number
        super()._end_call(run, outcome, number)

    def _apply_action(self, action: Action, run: Attempt) -> None:
        if action.kind is ActionKind.REJECT:
            caller_rpc = self.caller_rpcs.pop(run.number, None)
            self._record_answer(run, "pushed")
            if caller_rpc is not None:
                self.simulation.on_rejected(caller_rpc, action.duration, action.flag)
            return
        if action.kind is ActionKind.START:
            self.simulation.on_started(self.name, self.caller_rpcs.get(run.number))
        super()._apply_action(action, run)

    def _record_answer(self, run: Attempt, outcome: str) -> None:
        if run.answered:
            return
        if run.rpc.promised:
            self.simulation.promised_results.append((self.clock.now, outcome == "served"))
        super()._record_answer(run, outcome)
        caller_rpc = self.caller_rpcs.pop(run.number, None)
        if caller_rpc is not None and outcome != "pushed":
            self.simulation.on_finished(caller_rpc, outcome, run.skipped)

    def _schedule_next(self, demand: Demand) -> None:
        """Does nothing: the simulation generates the RPCs."""

    def die(self) -> list[CallerRpc]:
        """Kills the process; returns the RPCs whose connections break."""
        self.alive = False
        self.control = StoppedControl()  # type: ignore[assignment]
        waiting = [caller_rpc for caller_rpc in self.caller_rpcs.values() if not caller_rpc.done]
        for run in self.attempts.values():
            if run.call_number:
                self.ledger.abandon(run.call_number)
        self.caller_rpcs, self.attempts, self.jobs = {}, {}, {}
        self.cores = ProcessorSharing(1)
        return waiting


class RecoveryPolicy:
    """The product's recovery of one simulated instance: ramp, pressure level and restart guard."""

    def __init__(self, instance: Instance) -> None:
        self.instance, control = instance, instance.control
        self.ramp_controller = RampController(
            control, instance.clock.now, len(instance.simulation.fleet.nodes), instance.settings.cold)
        self.pressure, self.restart_guard = PressureLevel(), RestartGuard(instance.started_at)
        self.members = instance.simulation.fleet.nodes[instance.name].members
        self.view = self.members.view(instance.clock.now)

    def refuses(self, caller_rpc: CallerRpc, now: int) -> bool:
        """Whether an earlier process may have run the RPC, so that it is aborted."""
        return self.instance.settings.cold and self.restart_guard.may_have_run(
            caller_rpc.demand.method, caller_rpc.number, caller_rpc.attempts > 1, now)

    def tick(self, now: int) -> None:
        """Updates the bounds of calls, and the stage and pressure level that the member publishes."""
        control, node = self.instance.control, self.instance.simulation.fleet.nodes[self.instance.name]
        if self.members.view_changed:
            self.view = self.members.view(now)
        self.ramp_controller.apply(control, self.ramp_controller.bounds(
            self.view, self.instance.calls_ended, control.slow_or_lost_replies.mean(now), control.typical_call, now))
        is_cold = (self.instance.settings.cold
                   and now - self.instance.started_at < self.instance.simulation.parameters.warm_up_time)
        self.members.set_status(msgspec.structs.replace(
            self.members.me.status, stage=Stage.COLD if is_cold else Stage.SERVING,
            pressure=self.pressure.update(control.rejections.mean(now), now)), now)
        self.instance.simulation.fleet.process_actions(node)


class ServiceSimulation:
    """The service and its callers.

    `policy_factory` makes the recovery policy of an instance; None: instances have none.
    """

    def __init__(self, count: int, seed: int, parameters: SimulationParameters | None = None,
                 policy_factory: Callable[[Instance], Any] | None = None, promises: bool = False) -> None:
        self.parameters, self.policy_factory, self.seed = parameters or SimulationParameters(), policy_factory, seed
        self.fleet = FleetSimulation(count, seed, converged=True)
        self.clock, self.rng = self.fleet.clock, random.Random(seed)
        parameters = self.parameters
        lookup_work, hold_work = parameters.work
        mean = 0.66 * lookup_work + 0.34 * hold_work
        self.rate = parameters.load * count * parameters.cores / mean * SECOND  # RPCs per second over all instances
        slots = max(2, round(0.66 * self.rate * parameters.ledger_mean / SECOND / parameters.ledger_load))
        self.ledger_parameters = LedgerParameters(slots=slots, mean=parameters.ledger_mean)
        self.ledger = LedgerModel(self.clock, self.ledger_parameters, seed)
        self.demands = [Demand(idempotent_method(), "lookup", 0.66 * self.rate, lookup_work, makes_calls=True),
                        Demand(keyed_method(), "hold", 0.34 * self.rate, hold_work)]
        self.settings: dict[str, Any] = {
            "cores": parameters.cores, "calls_out": slots / count, "peers": count, "cold_from": parameters.cold_speed,
            "warm_after": parameters.warm_up_time, "memory": 20_000.0 * parameters.cores, "promises": promises}
        self.instances: dict[str, Instance] = {}
        self.listed_instances: list[str] = []
        self.results_by_second: dict[int, SecondResults] = {}
        self.counts: Counter[str] = Counter()
        self.last_runs: dict[tuple[str, int], int] = {}  # last run of a keyed RPC at an instance
        self.rpcs_by_second: Counter[int] = Counter()
        self.attempts_by_second: Counter[int] = Counter()
        self.promised_results: list[tuple[int, bool]] = []  # end and success of RPCs that had a reserved slot
        self.retry_results: list[tuple[int, bool]] = []  # the same of all RPCs that came back at their retry time
        self.last_served = 0
        self.rpc_count = 0
        for name in self.fleet.nodes:
            self._start_instance(name, False)
        self.listed_instances = list(self.instances)
        for demand in self.demands:
            self._schedule_next(demand)
        self.clock.call_at(self.clock.now, self._update_list)

    def _start_instance(self, name: str, cold: bool) -> None:
        methods = [demand.method for demand in self.demands]
        settings = make_settings(methods, **(self.settings | {"cold": cold}))
        instance = Instance(self, name, settings, cold, self.rng.getrandbits(32))
        if self.policy_factory is not None:
            instance.recovery_policy = self.policy_factory(instance)
        self.instances[name] = instance

    # Callers

    @property
    def now_s(self) -> int:
        """Returns the second of the virtual clock."""
        return self.clock.now // SECOND

    def _schedule_next(self, demand: Demand) -> None:
        def send() -> None:
            self.rpc_count += 1
            self.rpcs_by_second[self.now_s] += 1
            self._send_attempt(CallerRpc(demand, self.clock.now, self.rpc_count))
            self._schedule_next(demand)
        self.clock.call_at(self.clock.now + int(self.rng.expovariate(demand.rate) * SECOND), send)

    def _update_list(self) -> None:
        """Updates the callers' list of ready instances, with a delay of 1 to 2 s."""
        ready = [name for name, instance in self.instances.items() if instance.alive and instance.control.healthy
                 and self.clock.now - instance.started_at >= (
                     self.parameters.boot_time if instance.settings.cold else 0)]

        def update() -> None:
            if ready:
                self.listed_instances = ready
        self.clock.call_at(self.clock.now + int(self.rng.uniform(1.0, 2.0) * SECOND), update)
        self.clock.call_at(self.clock.now + SECOND // 4, self._update_list)

    def _send_attempt(self, rpc: CallerRpc) -> None:
        now = self.clock.now
        if rpc.done:
            return
        if now - rpc.started_at >= rpc.demand.method.deadline or rpc.attempts >= self.parameters.tries:
            rpc.done = True
            self.counts["given up"] += 1
            return
        rpc.attempts += 1
        self.attempts_by_second[self.now_s] += 1
        rpc.last_instance = rpc.required_instance or self.rng.choice(
            [name for name in self.listed_instances if name != rpc.last_instance] or self.listed_instances)
        instance = self.instances[rpc.last_instance]
        ready = now - instance.started_at >= self.parameters.boot_time or not instance.settings.cold
        if not instance.alive or not ready:
            self.counts["refused"] += 1
            if rpc.retry_at:
                rpc.required_instance, rpc.retry_at = "", 0  # it was bound to that instance only by the retry time
            self.clock.call_at(now + 20_000, lambda: self._send_attempt(rpc))
            return
        instance.receive(rpc)

    def on_rejected(self, rpc: CallerRpc, advice: int, stay: bool) -> None:
        """Handles a rejection: with `stay` the RPC returns to this instance after `advice`, else it goes to another.

        Callers that ignore both try any instance after `retry_delay`.
        """
        if rpc.retry_at:
            self.retry_results.append((self.clock.now, False))
        rpc.retry_at = 0
        if not self.parameters.heeds:
            self.clock.call_at(self.clock.now + self.parameters.retry_delay, lambda: self._send_attempt(rpc))
        elif stay:
            rpc.retry_at, rpc.required_instance = self.clock.now + advice, rpc.last_instance
            self.clock.call_at(self.clock.now + advice + self.rng.randrange(10_000), lambda: self._send_attempt(rpc))
        else:
            rpc.required_instance = ""
            self.clock.call_at(self.clock.now + self.rng.randrange(10_000), lambda: self._send_attempt(rpc))

    def on_finished(self, rpc: CallerRpc, outcome: str, skipped: bool) -> None:
        """Records the final answer of an RPC."""
        if rpc.done:
            return
        rpc.done = True
        method, second = rpc.demand.method, self.results_by_second.setdefault(self.now_s, SecondResults())
        on_time = outcome == "served" and self.clock.now - rpc.started_at <= method.latency_target
        if rpc.retry_at:
            self.retry_results.append((self.clock.now, outcome == "served"))
        if outcome == "served":
            self.last_served = self.clock.now
        (second.served if on_time else second.late if outcome == "served" else second.aborted)[rpc.demand.name] += 1
        if on_time:
            second.worth += method.criticality * (method.skip_share if skipped else 1.0)

    def on_started(self, name: str, rpc: CallerRpc | None) -> None:
        """Counts keyed RPCs that run twice in their window at one instance, also if it was killed in between."""
        if rpc is None or rpc.demand.method.kind is not MethodKind.KEYED:
            return
        last_run = self.last_runs.get((name, rpc.number))
        if last_run is not None and self.clock.now - last_run < rpc.demand.method.window:
            self.counts["twice"] += 1
        self.last_runs[name, rpc.number] = self.clock.now
        if len(self.last_runs) > 100_000:
            self.last_runs = {key: started for key, started in self.last_runs.items()
                              if self.clock.now - started < 10 * SECOND}

    # Faults

    def schedule_faults(self, faults: list[Fault]) -> None:
        """Schedules faults from now on."""
        for fault in faults:
            self.clock.call_at(self.clock.now + int(fault.at * SECOND),
                               lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def apply(self, fault: Fault) -> None:
        """Applies a fault now, to the service and to its membership."""
        if fault.do == "call":
            self._apply_command(fault)
            return
        if fault.do in ("kill", "term"):
            for name in fault.who:
                self._kill(name)
        self.fleet.apply(fault)
        if fault.do == "start":
            for name in fault.who:
                self._start_instance(name, True)

    def _kill(self, name: str) -> None:
        for rpc in self.instances[name].die():
            if rpc.demand.method.kind is MethodKind.KEYED:
                rpc.required_instance = name  # this instance may have run it
            self.clock.call_at(self.clock.now + (200_000 if rpc.required_instance else 20_000),
                               lambda rpc=rpc: self._send_attempt(rpc))  # type: ignore[misc]

    def _apply_command(self, fault: Fault) -> None:
        command = json.loads(fault.how)
        match command["do"]:
            case "slow":
                self.ledger.set_slowdown(command["factor"])
            case "die":
                self.ledger.crash(int(command["seconds"] * SECOND))
            case "rate":
                for demand in self.demands:
                    demand.rate *= command["factor"]

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.clock.run(self.clock.now + int(seconds * SECOND))

    def worth(self, start: int, end: int) -> float:
        """Returns the criticality served within target, per second, from second `start` to before `end`."""
        return sum(self.results_by_second[second].worth for second in range(start, end)
                   if second in self.results_by_second) / max(1, end - start)
