"""Simulation of fleet-wide budgets: the participants of many processes and the network between them in virtual time.

Each process has a clock with its own rate and offset. `SimulatedProcess` stands for the decision module: it applies
the limit that it read at its last tick and starts uses while the limit allows. A use lasts for a random time, also if
its process dies. The simulation counts the units in use at every instant, which must never exceed the total. The same
seed gives the same history.
"""
from __future__ import annotations

import random
from heapq import heappop, heappush

from hollystage.decisions.budgets.holding import EVER, at
from hollystage.decisions.budgets.office import Office
from hollystage.decisions.budgets.share import Use
from hollystage.decisions.budgets.terms import Budget
from hollystage.decisions.leases.terms import Electorate, Terms
from hollystage.decisions.leases.words import Who

TICK_US = 50_000
LENDING = Terms(length=2_000_000, drift=0.01, margin=20_000)
LEASE_PARAMETERS = Terms(length=1_500_000, drift=0.01, margin=20_000)


class Node:
    """One process with its participant and a simple decision module, which reads its limits only at its ticks."""

    def __init__(self, simulation, name, budgets, participant_class):
        self.simulation, self.name, self.up = simulation, name, True
        self.rate = 1 + simulation.chance.choice([-1, 1]) * simulation.drift
        self.offset = simulation.chance.randrange(1 << 40)
        simulation.births += 1
        self.process_id = Who(name, simulation.births)
        self.office = participant_class(self.process_id, budgets, LENDING, simulation.period, simulation.voter_set,
                                        LEASE_PARAMETERS, simulation.chance.getrandbits(30), self.clock(),
                                        1_000 * simulation.births)
        self.limit_steps = {budget.name: ((EVER, 0),) for budget in budgets}
        self.using = dict.fromkeys(self.limit_steps, 0)
        self.weight = 1.0
        self.suspended_until, self.pending = 0, []
        self.need = 0.0  # uses that it could have at the same time
        self.began = simulation.now
        self.first = None
        self.sent = self.bytes = 0

    def clock(self):
        """Returns the time by the clock of the process."""
        return int(self.simulation.now * self.rate) + self.offset

    def tick(self):
        """Runs the participant's timer, reads the limits and starts uses."""
        simulation, now = self.simulation, self.clock()
        if not self.up:
            return
        simulation.at(simulation.now + TICK_US, self.tick)
        if simulation.now < self.suspended_until:
            return
        self.report_usage(now)
        simulation.send(self, self.office.tick(simulation.peers(self), now))
        for name, allocation in self.office.share.holdings.items():
            self.limit_steps[name] = allocation.steps(self.clock())
        self.start_uses()

    def report_usage(self, now):
        """Reports the limit that applies now, the units in use and those waited for to the participant."""
        for name in self.limit_steps:
            waiting = max(0, int(self.need) - self.using[name])
            self.office.share.used(name, Use(at(self.limit_steps[name], now), self.using[name], waiting, self.weight))

    def start_uses(self):
        """Starts uses while the need and the limits allow."""
        simulation, now = self.simulation, self.clock()
        for name in self.limit_steps:
            while self.using[name] < min(int(self.need), at(self.limit_steps[name], now)):
                if self.first is None:
                    self.first = simulation.now
                self.using[name] += 1
                simulation.use(self, name)

    def receive(self, sender, message):
        """Passes a message to the participant; keeps it while the process is suspended."""
        if not self.up:
            return
        if self.simulation.now < self.suspended_until:
            self.pending.append((sender, message))
            return
        self.report_usage(self.clock())
        self.simulation.send(self, self.office.heard(sender, message, self.clock()))


class World:
    """Processes, network and event queue of one simulation.

    Args:
        size: number of processes; the first `voters` of them are voters of the lease
        loss: probability that a message is lost; half as many are delayed and a third as many are duplicated
        participant_class: class of the participants, a subclass to seed a fault
        drift: bound of the clock rates' deviation from 1
        period: period of the claims, microseconds
        use_durations: bounds of the duration of a use, microseconds
    """

    def __init__(self, seed, size, budgets, voters=3, loss=0.0, office=Office, drift=0.01, period=200_000,
                 use=(30_000, 300_000)):
        self.chance, self.loss, self.drift, self.period = random.Random(seed), loss, drift, period
        self.budgets, self.participant_class, self.use_durations = budgets, office, use
        self.now = self.event_count = self.births = 0
        self.events, self.cut = [], set()
        self.names = [f"m{n}" for n in range(size)]
        self.voter_set = Electorate(tuple(self.names[:voters]))
        self.in_use = {budget.name: 0 for budget in budgets}
        self.whole = {budget.name: budget.whole for budget in budgets}
        self.peak, self.violations = dict(self.in_use), []
        self.use_seconds = 0.0  # of the first budget
        self.nodes = {}
        for name in self.names:
            self.start(name)

    def at(self, time, function):
        """Calls a function at a time."""
        self.event_count += 1
        heappush(self.events, (time, self.event_count, function))

    def start(self, name):
        """Starts a process and returns it. An earlier one of this name no longer gets messages."""
        process = self.nodes[name] = Node(self, name, self.budgets, self.participant_class)
        self.at(self.now + self.chance.randrange(TICK_US), process.tick)
        return process

    def kill(self, name):
        """Kills a process; its uses continue until they end."""
        self.nodes[name].up = False

    def pause(self, name, duration):
        """Suspends a process for a time."""
        process = self.nodes[name]
        process.suspended_until = self.now + duration

        def resume():
            if process.up:
                # waiting threads resume before received messages are handled, with the limits read earlier
                process.start_uses()
                pending, process.pending = process.pending, []
                for sender, message in pending:
                    process.receive(sender, message)
        self.at(process.suspended_until, resume)

    def use(self, process, name):
        """Starts a use of one unit of a budget, which ends after a random time."""
        self.change_in_use(name, 1)
        budget = next(budget for budget in self.budgets if budget.name == name)
        duration = min(budget.use, self.chance.randint(*self.use_durations))

        def end():
            self.change_in_use(name, -1)
            process.using[name] -= 1
            if process.up and self.now >= process.suspended_until:
                process.start_uses()
        self.at(self.now + duration, end)

    def change_in_use(self, name, change):
        """Counts a start (1) or an end (-1) of a use, and records a violation if the total is exceeded."""
        self.in_use[name] += change
        self.peak[name] = max(self.peak[name], self.in_use[name])
        if self.in_use[name] > self.whole[name] and change > 0:
            self.violations.append((self.now, name, self.in_use[name]))

    def peers(self, process):
        """Returns the names of the processes that a process may ask for loans; a sample in large fleets."""
        return [name for name, other in self.nodes.items() if other.up and name != process.name] if len(
            self.names) <= 60 else self.chance.sample(self.names, 4)

    def send(self, process, messages):
        """Delivers messages after random delays, unless they are lost or their link is cut."""
        for message in messages:
            process.sent += 1
            if (process.name, message.to) in self.cut or self.chance.random() < self.loss:
                continue
            for _ in range(1 + (self.chance.random() < self.loss / 3)):
                late = self.loss and self.chance.random() < self.loss / 2
                delay = self.chance.randrange(200_000, 3_000_000) if late else self.chance.randrange(200, 3_000)
                self.at(self.now + delay, lambda to=message.to, body=message.word, sender=process.process_id:
                        self.nodes[to].receive(sender, body))

    def partition(self, group):
        """Cuts all links between these processes and the others."""
        rest = [name for name in self.names if name not in group]
        self.cut |= {pair for a in group for b in rest for pair in ((a, b), (b, a))}

    def heal(self):
        """Restores all links."""
        self.cut.clear()

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

    def used(self, seconds):
        """Runs for some seconds and returns the mean of the units of the first budget in use."""
        before = self.use_seconds
        self.run(seconds)
        return (self.use_seconds - before) / seconds


def calls(whole=24, floor=1, most=12, use=300_000, **more):
    """Returns a budget of downstream calls."""
    return Budget("calls", whole, floor, most, use, **more)
