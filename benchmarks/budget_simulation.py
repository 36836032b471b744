"""Simulation of fleet-wide budgets: the participants of many processes and the network between them in virtual time.

Each process has a clock with its own rate and offset. `SimulatedProcess` stands for the decision module: it applies
the limit that it read at its last tick and starts uses while the limit allows. A use lasts for a random time, also if
its process dies. The simulation counts the units in use at every instant, which must never exceed the total. The same
seed gives the same history.
"""
from __future__ import annotations

import random
from heapq import heappop, heappush

from hollystage.decisions.budgets.allocation import FOREVER, units_at
from hollystage.decisions.budgets.claimant import Usage
from hollystage.decisions.budgets.parameters import Budget
from hollystage.decisions.budgets.participant import Participant
from hollystage.decisions.leases.messages import ProcessId
from hollystage.decisions.leases.parameters import LeaseParameters, VoterSet

TICK_US = 50_000
GRANT_PARAMETERS = LeaseParameters(duration=2_000_000, drift=0.01, margin=20_000)
LEASE_PARAMETERS = LeaseParameters(duration=1_500_000, drift=0.01, margin=20_000)


class SimulatedProcess:
    """One process with its participant and a simple decision module, which reads its limits only at its ticks."""

    def __init__(self, simulation, name, budgets, participant_class):
        self.simulation, self.name, self.running = simulation, name, True
        self.rate = 1 + simulation.rng.choice([-1, 1]) * simulation.drift
        self.offset = simulation.rng.randrange(1 << 40)
        simulation.births += 1
        self.process_id = ProcessId(name, simulation.births)
        self.participant = participant_class(self.process_id, budgets, GRANT_PARAMETERS, simulation.period,
                                             simulation.voter_set, LEASE_PARAMETERS, simulation.rng.getrandbits(30),
                                             self.clock(), 1_000 * simulation.births)
        self.limit_steps = {budget.name: ((FOREVER, 0),) for budget in budgets}
        self.in_use = dict.fromkeys(self.limit_steps, 0)
        self.weight = 1.0
        self.suspended_until, self.pending = 0, []
        self.need = 0.0  # uses that it could have at the same time
        self.started_at = simulation.now
        self.first_use_at = None
        self.sent = self.bytes = 0

    def clock(self):
        """Returns the time by the clock of the process."""
        return int(self.simulation.now * self.rate) + self.offset

    def tick(self):
        """Runs the participant's timer, reads the limits and starts uses."""
        simulation, now = self.simulation, self.clock()
        if not self.running:
            return
        simulation.call_at(simulation.now + TICK_US, self.tick)
        if simulation.now < self.suspended_until:
            return
        self.report_usage(now)
        simulation.send(self, self.participant.tick(simulation.peers(self), now))
        for name, allocation in self.participant.claimant.allocations.items():
            self.limit_steps[name] = allocation.steps(self.clock())
        self.start_uses()

    def report_usage(self, now):
        """Reports the limit that applies now, the units in use and those waited for to the participant."""
        for name in self.limit_steps:
            waiting = max(0, int(self.need) - self.in_use[name])
            self.participant.claimant.report_usage(name, Usage(
                units_at(self.limit_steps[name], now), self.in_use[name], waiting, self.weight))

    def start_uses(self):
        """Starts uses while the need and the limits allow."""
        simulation, now = self.simulation, self.clock()
        for name in self.limit_steps:
            while self.in_use[name] < min(int(self.need), units_at(self.limit_steps[name], now)):
                if self.first_use_at is None:
                    self.first_use_at = simulation.now
                self.in_use[name] += 1
                simulation.use(self, name)

    def receive(self, sender, message):
        """Passes a message to the participant; keeps it while the process is suspended."""
        if not self.running:
            return
        if self.simulation.now < self.suspended_until:
            self.pending.append((sender, message))
            return
        self.report_usage(self.clock())
        self.simulation.send(self, self.participant.receive(sender, message, self.clock()))


class BudgetSimulation:
    """Processes, network and event queue of one simulation.

    Args:
        size: number of processes; the first `voters` of them are voters of the lease
        loss: probability that a message is lost; half as many are delayed and a third as many are duplicated
        participant_class: class of the participants, a subclass to seed a fault
        drift: bound of the clock rates' deviation from 1
        period: period of the claims, microseconds
        use_durations: bounds of the duration of a use, microseconds
    """

    def __init__(self, seed, size, budgets, voters=3, loss=0.0, participant_class=Participant, drift=0.01,
                 period=200_000, use_durations=(30_000, 300_000)):
        self.rng, self.loss, self.drift, self.period = random.Random(seed), loss, drift, period
        self.budgets, self.participant_class, self.use_durations = budgets, participant_class, use_durations
        self.now = self.event_count = self.births = 0
        self.events, self.cut_links = [], set()
        self.names = [f"m{n}" for n in range(size)]
        self.voter_set = VoterSet(tuple(self.names[:voters]))
        self.in_use = {budget.name: 0 for budget in budgets}
        self.totals = {budget.name: budget.total for budget in budgets}
        self.peak, self.violations = dict(self.in_use), []
        self.use_seconds = 0.0  # of the first budget
        self.processes = {}
        for name in self.names:
            self.start(name)

    def call_at(self, time, function):
        """Calls a function at a time."""
        self.event_count += 1
        heappush(self.events, (time, self.event_count, function))

    def start(self, name):
        """Starts a process and returns it. An earlier one of this name no longer gets messages."""
        process = self.processes[name] = SimulatedProcess(self, name, self.budgets, self.participant_class)
        self.call_at(self.now + self.rng.randrange(TICK_US), process.tick)
        return process

    def kill(self, name):
        """Kills a process; its uses continue until they end."""
        self.processes[name].running = False

    def pause(self, name, duration):
        """Suspends a process for a time."""
        process = self.processes[name]
        process.suspended_until = self.now + duration

        def resume():
            if process.running:
                # waiting threads resume before received messages are handled, with the limits read earlier
                process.start_uses()
                pending, process.pending = process.pending, []
                for sender, message in pending:
                    process.receive(sender, message)
        self.call_at(process.suspended_until, resume)

    def use(self, process, name):
        """Starts a use of one unit of a budget, which ends after a random time."""
        self.change_in_use(name, 1)
        budget = next(budget for budget in self.budgets if budget.name == name)
        duration = min(budget.max_use_duration, self.rng.randint(*self.use_durations))

        def end():
            self.change_in_use(name, -1)
            process.in_use[name] -= 1
            if process.running and self.now >= process.suspended_until:
                process.start_uses()
        self.call_at(self.now + duration, end)

    def change_in_use(self, name, change):
        """Counts a start (1) or an end (-1) of a use, and records a violation if the total is exceeded."""
        self.in_use[name] += change
        self.peak[name] = max(self.peak[name], self.in_use[name])
        if self.in_use[name] > self.totals[name] and change > 0:
            self.violations.append((self.now, name, self.in_use[name]))

    def peers(self, process):
        """Returns the names of the processes that a process may ask for loans; a sample in large fleets."""
        return [name for name, other in self.processes.items() if other.running and name != process.name] if len(
            self.names) <= 60 else self.rng.sample(self.names, 4)

    def send(self, process, messages):
        """Delivers messages after random delays, unless they are lost or their link is cut."""
        for message in messages:
            process.sent += 1
            if (process.name, message.recipient) in self.cut_links or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.loss / 3)):
                late = self.loss and self.rng.random() < self.loss / 2
                delay = self.rng.randrange(200_000, 3_000_000) if late else self.rng.randrange(200, 3_000)
                self.call_at(self.now + delay, lambda recipient=message.recipient, body=message.payload,
                             sender=process.process_id: self.processes[recipient].receive(sender, body))

    def partition(self, group):
        """Cuts all links between these processes and the others."""
        rest = [name for name in self.names if name not in group]
        self.cut_links |= {pair for a in group for b in rest for pair in ((a, b), (b, a))}

    def heal(self):
        """Restores all links."""
        self.cut_links.clear()

    def run(self, seconds):
        """Advances the clock and calls everything that is due on the way."""
        end = self.now + int(seconds * 1e6)
        first = self.budgets[0].name
        while self.events and self.events[0][0] <= end:
            time, _, function = heappop(self.events)
            self.use_seconds += self.in_use[first] * (time - self.now) / 1e6
            self.now = time
            function()
        self.use_seconds += self.in_use[first] * (end - self.now) / 1e6
        self.now = end
        return self

    def mean_in_use(self, seconds):
        """Runs for some seconds and returns the mean of the units of the first budget in use."""
        before = self.use_seconds
        self.run(seconds)
        return (self.use_seconds - before) / seconds


def call_budget(total=24, floor=1, max_processes=12, max_use_duration=300_000, **more):
    """Returns a budget of downstream calls."""
    return Budget("calls", total, floor, max_processes, max_use_duration, **more)
