"""Trouble after an hour without load, in virtual time: no learned state is stale, and no table has grown.

The decision module is that of the service. A quiet instance is compared with one that was just started: for the same
RPCs it must serve at least nine tenths of the worth.
"""
import random
from functools import cache, partial

import msgspec
import pytest
from helpers import SECOND, ControlHarness

from hollystage.decisions.membership.messages import Ping
from hollystage.interface import ActionKind, Outcome
from hollystage.policy.buckets import TICK
from hollystage.standins.fleet.faults import Fault
from hollystage.standins.fleet.fleet_simulation import FleetSimulation
from hollystage.standins.fleet.service_simulation import RecoveryPolicy, ServiceSimulation
from hollystage.standins.ledger import LedgerModel, LedgerParameters
from hollystage.standins.processor_sharing import VirtualClock
from hollystage.standins.scenes import START_US, default_demands, make_settings
from hollystage.standins.simulated_instance import SimulatedInstance

HOUR_S = 3_600
QUIET_S = 240  # stands for an hour of idle ticks: see test_four_quiet_minutes_are_equivalent_to_an_hour
MIN_WORTH_SHARE = 0.9  # of the worth that a freshly started instance serves
FIRST_S, SEEDS = 3, (1, 2, 3)
FRESH_SEEDS = range(1, 7)  # more, since each result is used often
CORES = 2
GRACE = SECOND


class CheckedInstance(SimulatedInstance):
    """A simulated instance that can be suspended, and that records its RPCs, their answers and its actions."""

    def __init__(self, seed):
        self.rpcs, self.answers, self.starts, self.resumes_at, self.tick_delay = [], [], {}, 0, 0
        self.first_actions, self.recorded_from = [], 1 << 62
        clock = VirtualClock(START_US)
        self.loads = default_demands(CORES / 6)
        settings = make_settings([demand.method for demand in self.loads], cores=CORES, drain_grace=GRACE,
                                 calls_out=CORES * 1.5)
        super().__init__(clock, settings, [], LedgerModel(clock, LedgerParameters(), seed), seed)
        arrived = self.control.arrived

        def record_arrival(rpc, now):
            self.rpcs.append((rpc, now))
            arrived(rpc, now)
        self.control.arrived = record_arrival

    def send(self, load, seconds, seed):
        """Lets RPCs arrive at `load` times the capacity of the cores."""
        rng, start = random.Random(seed), self.clock.now
        for demand in self.loads:
            at = 0.0
            while (at := at + rng.expovariate(demand.rate * load)) < seconds:
                when = start + int(at * SECOND)
                self.clock.call_at(when, partial(self._send_attempt, demand, when, 0))

    def run(self, seconds):
        self.clock.run(self.clock.now + int(seconds * SECOND))

    def suspend(self, seconds):
        """Delivers nothing for some time. The interpreter measures runs itself, so they do not become longer."""
        self.resumes_at = self.clock.now + seconds * SECOND
        for attempt in self.jobs.values():
            attempt.run_started_at += seconds * SECOND
        self.run(seconds)

    def _tick(self):
        if self.clock.now < self.resumes_at:
            self.clock.call_at(self.resumes_at + self.tick_delay, super()._tick)
        else:
            super()._tick()

    def _complete_work(self, version):
        if self.clock.now < self.resumes_at:
            self.clock.call_at(self.resumes_at, partial(self._complete_work, version))
        else:
            super()._complete_work(version)

    def _end_call(self, attempt, outcome, number):
        if self.clock.now < self.resumes_at:
            self.clock.call_at(self.resumes_at, partial(self._end_call, attempt, outcome, number))
        else:
            super()._end_call(attempt, outcome, number)

    def _apply_action(self, action, attempt):
        if action.kind is ActionKind.START:
            self.starts[attempt.rpc] = self.clock.now
        if self.clock.now >= self.recorded_from:
            self.first_actions.append(
                (self.clock.now - self.recorded_from, action.kind, action.duration, action.flag))
        super()._apply_action(action, attempt)

    def _record_answer(self, attempt, result):
        self.answers.append((attempt.rpc, self.clock.now))
        super()._record_answer(attempt, result)

    def worth_since(self, time, seconds=HOUR_S):
        """Returns the worth served in so many seconds from `time` on."""
        first = (time - self.origin) // SECOND
        return sum(second.worth for at, second in self.results_by_second.items() if first <= at < first + seconds)


def table_entries(value, seen=None):
    """Returns the number of entries of all tables that can be reached from an object of the product."""
    seen = set() if seen is None else seen
    if id(value) in seen or isinstance(value, str | bytes | int | float):
        return 0
    seen.add(id(value))
    if isinstance(value, dict):
        return len(value) + sum(table_entries(item, seen) for item in value.values())
    if isinstance(value, list | tuple | set | frozenset):
        return len(value) + sum(table_entries(item, seen) for item in value)
    if not type(value).__module__.startswith("hollystage"):
        return 0
    fields = getattr(value, "__dict__", None) or {
        name: getattr(value, name) for name in getattr(type(value), "__slots__", ()) if hasattr(value, name)}
    return sum(table_entries(item, seen) for item in fields.values())


def slow_dependency(instance):
    instance.ledger.set_slowdown(8)
    instance.send(2, 5, 7)


def hung_cores(instance):
    def set_slowdown(factor):
        instance.cores.set_slowdown(factor, instance.clock.now)
        instance._schedule_completion()
    set_slowdown(1e6)
    instance.clock.call_at(instance.clock.now + 4 * SECOND, lambda: set_slowdown(1))
    instance.send(2, 7, 7)


def drain(instance):
    instance.control.start_drain(3 * SECOND, instance.clock.now)
    instance.send(2, 5, 7)


def burst(instance):
    instance.send(10, 5, 7)


TROUBLES = {"burst": burst, "slow dependency": slow_dependency, "hung cores": hung_cores, "drain": drain}


def make_quiet(kind, seed, seconds=QUIET_S):
    """Returns an instance that was in trouble, then had nothing or little to do or was suspended."""
    instance = CheckedInstance(seed)
    instance.ledger.set_slowdown(8)
    instance.send(3, 10, seed)
    instance.run(10)
    instance.ledger.set_slowdown(1)
    if "suspended" in kind:
        instance.tick_delay = 30_000 if "tick last" in kind else 0
        instance.suspend(HOUR_S)
    elif kind == "trickle":
        for minute in range(HOUR_S // 60):
            instance._send_attempt(instance.loads[minute % 2], instance.clock.now, 0)
            instance.run(60)
    else:
        instance.run(seconds)
    return instance


def run_trouble(instance, trouble, seed):
    """Lets trouble begin now and checks the rules; returns the worth of the first seconds, and of all."""
    start = instance.recorded_from = instance.clock.now
    instance.rng, instance.ledger.rng = random.Random(seed), random.Random(seed)
    instance.attempt_count = 1_000_000  # so that caller numbers do not depend on what came before
    TROUBLES[trouble](instance)
    instance.run(15)  # until the last RPC is due
    sent = {rpc: at for rpc, at in instance.rpcs if at > start}
    answered = [(rpc, at) for rpc, at in instance.answers if rpc in sent]
    assert len(answered) == len(sent) == len({rpc for rpc, _ in answered})  # each has one answer
    assert all(at <= rpc.due for rpc, at in answered)
    if trouble == "drain":
        assert not [rpc for rpc in instance.starts if sent.get(rpc, 0) > start + GRACE]
    return instance.worth_since(start, FIRST_S), instance.worth_since(start)


@cache
def mean_fresh_worth(trouble):
    return mean_worth([run_trouble(CheckedInstance(seed), trouble, seed) for seed in FRESH_SEEDS])


def mean_worth(results):
    return [sum(worths) / len(results) for worths in zip(*results, strict=True)]


def entries_at_rest(instance):
    """Returns the table entries after more time than any window or deadline, and one RPC that expires old ones."""
    for seconds in (20, 60):
        instance.run(seconds)
        instance._send_attempt(instance.loads[0], instance.clock.now, 0)
    instance.run(20)
    return table_entries(instance.control)


@cache
def fresh_entries_at_rest():
    instance = CheckedInstance(1)
    for number in range(100):  # two RPCs from each of the 50 callers
        instance._send_attempt(instance.loads[number % 2], instance.clock.now, 0)
    return entries_at_rest(instance)


KINDS = ["no rpc", "trickle", "suspended, tick first", "suspended, tick last"]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("kind", KINDS)
def test_instance_after_an_hour_of_quiet_serves_like_a_fresh_one(kind, trouble):
    results = []
    for seed in SEEDS:
        instance = make_quiet(kind, seed)
        results.append(run_trouble(instance, trouble, seed))
        if trouble != "drain":  # a drained process ends at its stop time, before this check
            assert entries_at_rest(instance) <= fresh_entries_at_rest()
    for served, fresh in zip(mean_worth(results), mean_fresh_worth(trouble), strict=True):
        assert served >= MIN_WORTH_SHARE * fresh, (results, mean_fresh_worth(trouble))


def test_four_quiet_minutes_are_equivalent_to_an_hour():
    """A burst leads to the same actions after either, so that other tests may leave out idle ticks."""
    actions = []
    for seconds in (QUIET_S, HOUR_S):
        instance = make_quiet("no rpc", 1, seconds)
        run_trouble(instance, "burst", 1)
        actions.append(instance.first_actions)
    assert len(actions[0]) > 1000 and actions[0] == actions[1]


# Single causes

def test_retry_calendar_promises_no_more_than_the_throughput_after_quiet():
    harness = ControlHarness(promises=True)
    harness.advance(QUIET_S * SECOND, cores=0.0, crowd=0.0)
    for caller in range(400):
        harness.send(caller=caller, is_retry=True)
    throughput = CORES * 20  # RPCs a second, by the cost that is assumed before any is measured
    assert 0 < harness.control.calendar.issued <= throughput * harness.settings.max_retry_after / SECOND


def test_call_in_flight_while_the_process_is_suspended_does_not_stop_later_calls():
    """The dependency has long ended that call, so it has not used its share for an hour."""
    harness = ControlHarness(calls_out=0.5)
    harness.advance(4 * SECOND)  # the pacer delays the first call
    first = harness.send()
    harness.at_call(first)
    harness.now += HOUR_S * SECOND
    harness.end_call(first, Outcome.OK, HOUR_S * SECOND)
    harness.end(first)
    later = harness.send()
    harness.at_call(later)
    harness.advance(harness.settings.call_averaging_span, cores=0.5, crowd=1.0)
    assert ActionKind.CALL in harness.did(first) and ActionKind.CALL in harness.did(later)


def test_rpcs_that_waited_for_calls_are_forgotten_while_none_may_be_made():
    harness = ControlHarness(calls_out=5.0)
    open_rpcs = []
    for _ in range(QUIET_S):
        harness.control.next_call_at = harness.now + 2 * SECOND
        rpc = harness.send()
        harness.at_call(rpc)
        open_rpcs.append(rpc)
        harness.advance(SECOND, cores=0.0, crowd=0.0)
        for ended in [rpc for rpc in open_rpcs if ActionKind.HALT in harness.did(rpc)]:
            open_rpcs.remove(ended)
            harness.end(ended, Outcome.CANCELLED)
    deadline_s = harness.methods[0].deadline // SECOND
    assert len(harness.control.call_queues[0]) <= deadline_s


@pytest.mark.parametrize("tick_first", [True, False])
def test_suspension_with_runs_and_a_call_in_progress_is_no_hang_and_no_sample(tick_first):
    harness = ControlHarness(calls_out=20.0)
    harness.advance(TICK, cores=0.0, crowd=0.0)
    calling, running = harness.send(), harness.send()
    harness.at_call(calling)
    harness.now += HOUR_S * SECOND
    if tick_first:
        harness.advance(TICK, crowd=1.0)
    harness.end_call(calling, Outcome.OK, HOUR_S * SECOND)
    harness.control.finished(calling, Outcome.OK, HOUR_S * SECOND, harness.now)
    harness.advance(TICK, crowd=1.0)
    method, control = harness.methods[0], harness.control
    assert control.healthy and control.typical_call < SECOND
    assert control.off_core_times[method].mean(harness.now, 0, 1) < SECOND
    harness.control.finished(running, Outcome.OK, 50_000, harness.now)
    assert harness.did(harness.send()) == [ActionKind.START]


def test_hang_is_detected_after_a_suspension():
    harness = ControlHarness()
    harness.advance(TICK, cores=0.0, crowd=0.0)
    harness.send()
    harness.now += HOUR_S * SECOND
    harness.advance(2 * SECOND)
    assert harness.control.healthy
    harness.advance(SECOND)
    assert not harness.control.healthy


# The fleet

def run_fleet(kind):
    """Returns a fleet of six after an hour of quiet, or after an hour in two halves."""
    fleet = FleetSimulation(6, 3, converged=True)
    names = list(fleet.nodes)
    fleet.entries_at_start = [table_entries(node.members) for node in fleet.nodes.values()]
    if kind == "partition":
        fleet.apply(Fault(0, "cut", names[:3], names[3:], both=True))
    if kind == "suspended":
        fleet.apply(Fault(0, "pause", names[4:5], amount=HOUR_S))
    fleet.run(HOUR_S)
    return fleet, names


@pytest.mark.parametrize("kind", ["quiet", "partition", "suspended"])
def test_membership_after_an_hour_agrees_as_fast_as_before_and_has_forgotten_what_is_gone(kind):
    fleet, names = run_fleet(kind)
    if kind == "partition":
        assert all(len(node.members.records) == 2 for node in fleet.nodes.values())  # the tombstones have expired
        fleet.apply(Fault(0, "heal", names[:3], names[3:], both=True))
        assert fleet.run_until_agreed(20) is not None  # as after a short partition: see test_membership
    assert fleet.run_until_agreed(20) is not None
    # restarts and a partition at the same time
    accusations = sum(fleet.false_accusations.values())
    fleet.apply(Fault(0, "cut", names[:2], names[2:], both=True))
    fleet.apply(Fault(0, "kill", names[5:]))
    fleet.run(16)
    assert [len(fleet.nodes[name].members.living) for name in names[:5]] == [1, 1, 2, 2, 2]
    fleet.apply(Fault(0, "start", names[5:]))
    fleet.apply(Fault(0, "heal", names[:2], names[2:], both=True))
    assert fleet.run_until_agreed(20) is not None
    assert sum(fleet.false_accusations.values()) > accusations  # of the cut
    fleet.run(60)
    assert all(len(node.members.updates) == 0 and not node.members.suspects and len(node.members.timers) < 20
               and len(node.members.records) == 5 for node in fleet.nodes.values())
    for node, before in zip(fleet.nodes.values(), fleet.entries_at_start, strict=True):
        assert table_entries(node.members) <= before + 100


def test_member_that_moves_is_known_by_its_last_address_only():
    fleet = FleetSimulation(2, 1, converged=True)
    members, mover = fleet.nodes["m0"].members, fleet.nodes["m1"].members.me
    for number in range(100):
        moved = msgspec.structs.replace(mover, address=f"10.1.0.{number}:7000", boot=mover.boot + 1 + number)
        members.receive(moved, Ping(number, "m0"), [], fleet.clock.now)
    assert members.name_by_address == {moved.address: "m1"}


@pytest.mark.parametrize("trickle", [False, True])
def test_service_after_quiet_serves_like_a_fresh_one_in_a_burst_with_restarts_and_a_partition(trickle):
    """Ten times the capacity for four seconds, one instance restarts and one loses its peers."""
    worth = {}
    for quiet_s in (QUIET_S, 0):
        worth[quiet_s] = 0.0
        for seed in (1, 2):
            simulation = ServiceSimulation(3, seed, policy_factory=RecoveryPolicy, promises=True)
            rates = [demand.rate for demand in simulation.demands]
            set_rates(simulation, [1 / 60 if trickle else 1e-9] * 2)
            simulation.run(quiet_s)
            start = simulation.now_s
            set_rates(simulation, [rate * 10 / simulation.parameters.load for rate in rates])
            simulation.schedule_faults([Fault(0, "cut", ["m0"], ["m1", "m2"], both=True), Fault(1, "kill", ["m2"]),
                                        Fault(2, "start", ["m2"]), Fault(3, "heal", ["m0"], ["m1", "m2"], both=True)])
            simulation.run(4)
            set_rates(simulation, [1e-9] * 2)
            simulation.run(10)
            worth[quiet_s] += simulation.worth(start, start + 5)
            assert simulation.counts["twice"] == 0
            assert not any(instance.caller_rpcs or instance.attempts for instance in simulation.instances.values())
    assert worth[QUIET_S] >= MIN_WORTH_SHARE * worth[0], worth


def set_rates(simulation, rates):
    for demand, rate in zip(simulation.demands, rates, strict=True):
        demand.rate = rate
        simulation._schedule_next(demand)
