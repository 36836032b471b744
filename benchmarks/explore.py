"""Explicit-state model checker for the decision code of leases and budgets.

Searches all choices breadth first to a given depth, so that the first trace to a violation is a shortest one. A state
consists of the objects of the decision code itself, copied at each choice. A message is delivered at once or, a
limited number of times, lost, delayed or duplicated. Each clock runs at one of its bounds. Processes crash and start
without memory. Equal states are searched once.

The tests of leases and budgets import it.
"""
from __future__ import annotations

import itertools
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from hollystage.decisions.budgets import budget_allocator as budget_allocators  # noqa: E402
from hollystage.decisions.budgets.allocator import Allocator  # noqa: E402
from hollystage.decisions.budgets.claimant import Claimant, Usage  # noqa: E402
from hollystage.decisions.budgets.messages import BorrowRequest, Claim, Grants, Loan  # noqa: E402
from hollystage.decisions.budgets.parameters import Budget  # noqa: E402
from hollystage.decisions.leases.candidate import Candidate  # noqa: E402
from hollystage.decisions.leases.messages import ProcessId, Propose, Release  # noqa: E402
from hollystage.decisions.leases.parameters import LeaseParameters, VoterSet  # noqa: E402
from hollystage.decisions.leases.voter import Voter  # noqa: E402

STEP = 4_000  # microseconds between two states; a slow clock advances by 3,000, a fast one by 5,000
DRIFT = 0.25  # largest deviation of a clock's rate, as a share
SLOW_CLOCK, FAST_CLOCK = 3, 5  # milliseconds by which the clock advances per step
# attributes that do not distinguish states
UNSEEN = {"_frozen", "counts", "rng", "next_at", "unanswered", "answered_at", "began",
          "first_grant_delay", "gained", "lost", "refused"}
budget_allocators.MIN_DIVISION_INTERVAL_US = 0  # a step is shorter than the interval between two divisions


def deep_copy(value):
    """Copies the objects of the decision code with all that they refer to; messages and numbers are shared."""
    if isinstance(value, dict):
        return {key: deep_copy(item) for key, item in value.items()}
    if isinstance(value, list):
        return [deep_copy(item) for item in value]
    if isinstance(value, set):
        return set(value)
    if hasattr(value, "__dict__") and type(value).__module__ != "random" and not isinstance(value, tuple):
        new = type(value).__new__(type(value))
        for key, item in value.__dict__.items():
            if key != "_frozen":
                new.__dict__[key] = deep_copy(item)
        return new
    if hasattr(type(value), "__slots__") and type(value).__name__ == "Account":
        new = type(value).__new__(type(value))
        for key in type(value).__slots__:
            setattr(new, key, getattr(value, key))
        return new
    return value


def frozen(value):
    """Returns a hashable value by which states are compared."""
    if isinstance(value, dict):
        return tuple(sorted((str(key), frozen(item)) for key, item in value.items()))
    if isinstance(value, list | tuple):
        return tuple(frozen(item) for item in value)
    if isinstance(value, set):
        return tuple(sorted(value))
    if type(value).__module__ == "random":
        return ()
    if hasattr(value, "__dict__"):
        cached = value.__dict__.get("_frozen")
        if cached is None:
            cached = hash(frozen({key: item for key, item in value.__dict__.items() if key not in UNSEEN}))
            value.__dict__["_frozen"] = cached  # stays valid, since objects are copied before a change
        return cached
    if type(value).__name__ == "Account":
        return tuple(getattr(value, key) for key in type(value).__slots__)
    return value if isinstance(value, int | float | str | bool | type(None)) else repr(value)


class SearchResult:
    """Result of a search.

    `states`: number of distinct states; `depth`: levels that were searched; `trace`: the violation and the choices
    that lead to it, in order, or None; `complete`: whether no state within the depth was left out.
    """

    def __init__(self, states, depth, trace, whole):
        self.states, self.depth, self.trace, self.complete = states, depth, trace, whole


def search(model, depth, max_states=1 << 60, seconds=1e9, on_state=None):
    """Searches breadth first until a violation, the depth, or a limit on states or seconds is reached.

    `on_state` is called with each new state and the number of states so far.
    """
    until = time.monotonic() + seconds
    first = model.initial_state()
    seen = {hash(model.key(first))}
    layer, states = [(first, None)], 1
    for level in range(depth):
        following = []
        for state, path in layer:
            for label, new in model.transitions(state):
                digest = hash(model.key(new))
                if digest in seen:
                    continue
                seen.add(digest)
                states += 1
                new_path = (label, path)
                violation = model.violation(new)
                if violation:
                    trace = [violation]
                    while new_path is not None:
                        trace.append(new_path[0])
                        new_path = new_path[1]
                    return SearchResult(states, level + 1, trace[::-1], False)
                if on_state is not None:
                    on_state(new, states)
                following.append((new, new_path))
                if states >= max_states or time.monotonic() > until:
                    return SearchResult(states, level, None, False)
        layer = following
        if not layer:
            return SearchResult(states, level, None, True)
    return SearchResult(states, depth, None, True)


class State:
    """State of a search.

    `delayed`: messages in transit; `message_faults`: messages that may still be lost, delayed or duplicated;
    `crashes`: processes that may still crash. Copies share the processes until one is to change (`copy_for_change`).
    """

    def __init__(self):
        self.step = 0
        self.delayed = []
        self.message_faults = self.crashes = 0
        self.births = 100

    def copy(self):
        """Returns a copy that shares the processes."""
        new = State()
        for key, value in self.__dict__.items():
            new.__dict__[key] = value.copy() if isinstance(value, dict | list) else value
        return new

    def copy_for_change(self, table, name):
        """Replaces a process by a copy, which may be changed in this state, and returns the copy."""
        processes = getattr(self, table)
        processes[name] = process = deep_copy(processes[name])
        return process


class Model:
    """Base of the models: clocks, and the possible deliveries of a message.

    Args:
        message_faults: messages that may be lost, delayed or duplicated
        crashes: processes that may crash
        steps: number of clock steps
        rates: clock rates of the processes, milliseconds per step; `SLOW_CLOCK` for others
    """

    def __init__(self, message_faults=3, crashes=1, steps=8, rates=None):
        self.message_faults, self.crashes, self.steps, self.rates = message_faults, crashes, steps, rates or {}

    def clock(self, state, name):
        """Returns the time by the clock of a process."""
        return 1_000_000 + state.step * 1_000 * self.rates.get(name, SLOW_CLOCK)

    def key(self, state):
        """Returns a value that is equal for equal states."""
        return tuple(frozen(value) for name, value in sorted(state.__dict__.items()) if name != "births")

    def deliveries(self, state, messages, deliver):
        """Returns the states that may follow from sending these messages in order.

        `deliver(state, message)` returns the states that follow from the arrival of one message.
        """
        if not messages:
            return [state]
        message, rest = messages[0], messages[1:]
        states = []
        for after in deliver(state.copy(), message):  # at once
            states += self.deliveries(after, rest, deliver)
        if state.message_faults:
            lost = state.copy()
            lost.message_faults -= 1
            states += self.deliveries(lost, rest, deliver)
            delayed = lost.copy()
            delayed.delayed.append(message)
            states += self.deliveries(delayed, rest, deliver)
            for after in deliver(delayed.copy(), message):  # twice
                states += self.deliveries(after, rest, deliver)
        return states

    def delayed_deliveries(self, state, deliver):
        """Yields the transitions in which a delayed message arrives."""
        for index, message in enumerate(state.delayed):
            if message in state.delayed[:index]:
                continue
            new = state.copy()
            del new.delayed[index]
            for after in deliver(new, message):
                yield f"late: {message}", after


class LeaseModel(Model):
    """Voters v0.. and candidates s0.. of one lease.

    `voter` and `candidate` are the classes of the decision code, or subclasses with a seeded fault; `voter_sets` are
    the voter sets of the candidates.
    """

    def __init__(self, voter=Voter, candidate=Candidate, voters=3, candidates=2, parameters=None, voter_sets=None,
                 **more):
        super().__init__(**more)
        self.classes = voter, candidate
        self.parameters = parameters or LeaseParameters(duration=20_000, drift=DRIFT, margin=0)
        self.names = [f"v{n}" for n in range(voters)]
        self.voter_sets = voter_sets or [VoterSet(tuple(self.names))] * candidates

    def initial_state(self):
        """Returns the state in which no candidate has started a round."""
        state = State()
        state.message_faults, state.crashes = self.message_faults, self.crashes
        state.voters = {name: self.classes[0](self.parameters, -10 ** 6, 0) for name in self.names}
        state.candidates = {f"s{n}": self._new_candidate(state, f"s{n}", n) for n in range(len(self.voter_sets))}
        state.holders = {}
        return state

    def _new_candidate(self, state, name, n):
        state.births += 1
        return self.classes[1](self.parameters, ProcessId(name, state.births), self.voter_sets[n], 1,
                                    self.clock(state, name), n)

    def violation(self, state):
        """Returns a message if two candidates hold the lease or a ballot has been used by two; None otherwise."""
        acting = [name for name, candidate in state.candidates.items()
                  if candidate.holds_lease(self.clock(state, name))]
        if len(acting) > 1:
            return f"{' and '.join(acting)} hold the lease at the same time"
        for name in acting:
            candidate = state.candidates[name]
            if state.holders.setdefault(candidate.ballot, candidate.me) != candidate.me:
                return f"ballot {candidate.ballot} has two holders"
        return None

    def deliver(self, state, message):
        """Returns the states that follow from the arrival of a message."""
        to, sender, body = message
        if to in state.voters:
            voter, now = state.copy_for_change("voters", to), self.clock(state, to)
            if isinstance(body, Release):
                voter.release(body)
                return [state]
            reply = voter.propose(body, now) if isinstance(body, Propose) else voter.prepare(body, now)
            return self.deliveries(state, [(sender, to, reply)], self.deliver)
        candidate = state.copy_for_change("candidates", to)
        requests = candidate.receive(sender, body, self.clock(state, to))
        return self.deliveries(state, [(voter, to, request) for voter, request in requests], self.deliver)

    def transitions(self, state):
        """Yields a label and the following state for each choice."""
        if state.step < self.steps:
            new = state.copy()
            new.step += 1
            yield "time passes", new
        yield from self.delayed_deliveries(state, self.deliver)
        for name, candidate in state.candidates.items():
            now, holds = self.clock(state, name), candidate.holds_lease(self.clock(state, name))
            acts = ["releases the lease", "renews"] if holds else [
                "begins" if candidate.phase == "idle" else "abandons the round"]
            for act in acts:
                if act == "renews" and candidate.phase != "idle":
                    continue
                new = state.copy()
                changed = new.copy_for_change("candidates", name)
                changed.next_at, changed.wanted = now, act != "releases the lease"
                messages = [(voter, name, request) for voter, request in changed.tick(now)]
                changed.wanted = True
                for after in self.deliveries(new, messages, self.deliver):
                    yield f"{name} {act}", after
            if state.crashes:
                new = state.copy()
                new.crashes -= 1
                new.candidates[name] = self._new_candidate(new, name, int(name[1:]))
                yield f"{name} restarts", new
        if state.crashes:
            for name in state.voters:
                new = state.copy()
                new.crashes -= 1
                new.voters[name] = self.classes[0](self.parameters, self.clock(state, name), 0)
                yield f"{name} restarts without memory", new

    def eventually_held(self, state):
        """Returns whether a candidate gets the lease within 40 steps if no further message is lost."""
        state = state.copy()
        for table, names in (("voters", list(state.voters)), ("candidates", list(state.candidates))):
            for name in names:
                state.copy_for_change(table, name)
        for _ in range(40):
            state.step += 1
            for name, candidate in state.candidates.items():
                queue = [(voter, name, body) for voter, body in candidate.tick(self.clock(state, name))]
                while queue:
                    to, sender, body = queue.pop(0)
                    if to in state.voters:
                        voter, now = state.voters[to], self.clock(state, to)
                        if isinstance(body, Release):
                            voter.release(body)
                            continue
                        handle = voter.propose if isinstance(body, Propose) else voter.prepare
                        queue.append((sender, to, handle(body, now)))
                    else:
                        now = self.clock(state, to)
                        queue += [(voter, to, body)
                                  for voter, body in state.candidates[to].receive(sender, body, now)]
            if any(candidate.holds_lease(self.clock(state, name)) for name, candidate in state.candidates.items()):
                return True
        return False


class BudgetModel(Model):
    """Members m0.. share the units of one budget, granted by at most one allocator at a time, as the lease ensures.

    `claimant` and `allocator` are the classes of the decision code, or subclasses with a seeded fault; with `lends`,
    members lend units to each other.
    """

    def __init__(self, members=3, total=4, floor=0, claimant=Claimant, allocator=Allocator, lends=False, **more):
        super().__init__(**more)
        self.classes = claimant, allocator
        self.parameters = LeaseParameters(duration=20_000, drift=DRIFT, margin=0)
        self.budget = Budget("b", total, floor, members, max_use_duration=2 * STEP, reserve_fraction=0.0)
        self.names, self.lends = [f"m{n}" for n in range(members)], lends

    def initial_state(self):
        """Returns the state in which an allocator has existed for long and m0 uses all that it was granted."""
        state = State()
        state.message_faults, state.crashes = self.message_faults, self.crashes
        state.allocators, state.epoch = {}, 1
        state.members, state.uses, state.lingering = {}, {}, []
        for name in self.names:
            self._start_member(state, name)
            allocation = state.members[name].allocations["b"]
            allocation.floor_available_at = 0  # no earlier process of this name existed
        state.allocators["d"] = allocator = self.classes[1]([self.budget], self.parameters, 1, -10 ** 9)
        member, now = state.members["m0"], self.clock(state, "m0")
        for _ in range(4):
            self._report_usage(member, state, "m0")
            claim = member._send_claim(now).payload
            grants = allocator.handle_claim(("m0", member.birth), claim, self.clock(state, "d"))
            member.receive("d", grants, now)
            usable = member.allocations["b"].usable(now)
            state.uses["m0"] = ((0, usable),) if usable else ()
        return state

    def _start_member(self, state, name):
        state.births += 1
        member = self.classes[0]([self.budget], self.parameters, 100_000, name, ("d",), 1, self.clock(state, name))
        member.birth = state.births
        state.members[name], state.uses[name] = member, ()

    def units_in_use(self, state, name):
        """Returns the units that a member uses."""
        return sum(units for _, units in state.uses[name])

    def violation(self, state):
        """Returns a message if more units are in use than the budget has; None otherwise."""
        used = sum(self.units_in_use(state, name) for name in self.names) + sum(
            units for _, units in state.lingering)
        return f"{used} of {self.budget.total} in use" if used > self.budget.total else None

    def _report_usage(self, member, state, name):
        """Reports the usage of a member whose decision module applies each change of the limit at once."""
        usable, in_use = member.allocations["b"].usable(self.clock(state, name)), self.units_in_use(state, name)
        member.report_usage("b", Usage(usable, in_use, max(0, self.budget.total - in_use), 1.0))

    def deliver(self, state, message):
        """Returns the states that follow from the arrival of a message."""
        to, sender, body = message
        if to == "d":
            if not state.allocators:
                return [state]
            grants = state.copy_for_change("allocators", "d").handle_claim(sender, body, self.clock(state, "d"))
            if grants is None:
                return [state]
            return self.deliveries(state, [(sender, state.epoch, grants)], self.deliver)
        name, birth = to
        if state.members[name].birth != birth:
            return [state]
        member, now = state.copy_for_change("members", name), self.clock(state, name)
        self._report_usage(member, state, name)
        outgoing = member.receive("d" if isinstance(body, Grants) else sender[0], body, now)
        self._report_usage(member, state, name)
        if isinstance(body, BorrowRequest):
            outgoing += member._send_loans(now)
            messages = [(sender, (name, birth), one.payload) for one in outgoing if isinstance(one.payload, Loan)]
            return self.deliveries(state, messages, self.deliver)
        return [state]

    def transitions(self, state):
        """Yields a label and the following state for each choice."""
        if state.step < self.steps:
            new = state.copy()
            new.step += 1
            for name in self.names:
                new.uses[name] = tuple(row for row in new.uses[name]
                                       if (new.step - row[0]) * STEP < self.budget.max_use_duration)
            new.lingering = [row for row in new.lingering
                             if (new.step - row[0]) * STEP < self.budget.max_use_duration]
            yield "time passes", new
        yield from self.delayed_deliveries(state, self.deliver)
        new = state.copy()
        if not state.allocators:
            new.epoch += 1
            new.allocators["d"] = self.classes[1]([self.budget], self.parameters, new.epoch,
                                                       self.clock(state, "d"))
            yield "an allocator starts", new
        else:
            del new.allocators["d"]
            yield "the allocator dies", new
            new = state.copy()
            unsolicited = new.copy_for_change("allocators", "d").unsolicited_grants(self.clock(state, "d"))
            for after in self.deliveries(new, [(process, new.epoch, grants) for process, grants in unsolicited],
                                         self.deliver):
                yield "the allocator sends unsolicited grants", after
        for name, member in state.members.items():
            yield from self._member_transitions(state, name, member)

    def _member_transitions(self, state, name, member):
        now = self.clock(state, name)
        usable, in_use = deep_copy(member.allocations["b"]).usable(now), self.units_in_use(state, name)
        if in_use < usable:
            new = state.copy()
            new.uses[name] += ((state.step, usable - in_use),)
            yield f"{name} uses {usable}", new
        if in_use:
            new = state.copy()
            new.uses[name] = ()
            yield f"{name} ends its uses", new
        if state.allocators:
            new = state.copy()
            changed = new.copy_for_change("members", name)
            self._report_usage(changed, new, name)
            claim = changed._send_claim(now).payload
            assert isinstance(claim, Claim)
            for after in self.deliveries(new, [("d", (name, member.birth), claim)], self.deliver):
                yield f"{name} sends a claim", after
        if self.lends:
            for other in self.names:
                if other != name:
                    new = state.copy()
                    changed = new.copy_for_change("members", name)
                    self._report_usage(changed, new, name)
                    messages = [((other, new.members[other].birth), (name, member.birth), outgoing.payload)
                                for outgoing in changed._request_loans([other], now)]
                    for after in self.deliveries(new, messages, self.deliver) if messages else ():
                        yield f"{name} borrows from {other}", after
        if state.crashes:
            new = state.copy()
            new.crashes -= 1
            new.lingering += new.uses[name]
            self._start_member(new, name)
            yield f"{name} restarts", new


def rates(names):
    """Returns all combinations of slow and fast clocks for these processes."""
    return [dict(zip(names, row, strict=True))
            for row in itertools.product((SLOW_CLOCK, FAST_CLOCK), repeat=len(names))]
