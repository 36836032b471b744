"""Tests of the lease protocol: random schedules, exhaustive search, voter sets and message bounds.

The schedules run clocks at either bound of their drift, lose, duplicate and delay messages, and restart processes
without their state. Two processes may never hold the lease at the same instant of true time, and no ballot may belong
to two processes. Seeded faults show that both checks detect a violation.
"""
import random
from heapq import heappop, heappush

import pytest
from msgspec.structs import replace

from hollystage.decisions.leases.candidate import Candidate
from hollystage.decisions.leases.messages import Prepare, ProcessId, Propose, Release, Reply, is_valid
from hollystage.decisions.leases.parameters import LeaseParameters, VoterSet, differ_by_one_voter
from hollystage.decisions.leases.voter import MAX_LEASES, Voter, VoterTable

PARAMETERS = LeaseParameters(duration=1_000_000, drift=0.05, margin=5_000)


class World:
    """A simulated network of voters and candidates. Each process has a clock with its own rate and offset.

    `now` is true time in microseconds. `eager` candidates send requests all the time, so that they reach a voter at
    the first moment at which it may promise again.
    """

    def __init__(self, seed, voters=3, candidates=2, loss=0.02, voter=Voter, candidate=Candidate, crashes=True,
                 eager=False):
        self.rng = random.Random(seed)
        self.classes, self.loss, self.crashes, self.eager = (voter, candidate), loss, crashes, eager
        self.now = self.sequence = 0
        self.queue, self.clocks, self.candidates = [], {}, {}
        self.holders, self.ballot_owners, self.violations, self.steps_with_holder = {}, {}, [], 0
        self.boots, self.cut_until = 0, {}  # by candidate: time until which its messages are dropped
        self.voter_names = [f"v{n}" for n in range(voters)]
        self.voters = {name: self._voter(name) for name in self.voter_names}
        for n in range(candidates):
            self._candidate(f"s{n}")

    def _clock(self, name):
        self.clocks[name] = (
            self.rng.choice([1 - PARAMETERS.drift, 1 + PARAMETERS.drift]), self.rng.randrange(1 << 40))

    def local_time(self, name):
        rate, offset = self.clocks[name]
        return int(self.now * rate) + offset

    def _voter(self, name):
        self._clock(name)
        self.boots += 1
        return self.classes[0](PARAMETERS, self.local_time(name), 1_000 * self.boots)

    def _candidate(self, name):
        self._clock(name)
        self.boots += 1
        self.candidates[name] = self.classes[1](
            PARAMETERS, ProcessId(name, self.boots), VoterSet(tuple(self.voter_names)), self.rng.getrandbits(32),
            self.local_time(name), self.boots)

    def schedule(self, when, callback):
        self.sequence += 1
        heappush(self.queue, (when, self.sequence, callback))

    def send(self, callback):
        if self.rng.random() < self.loss:
            return
        late = self.rng.random() < 2 * self.loss
        for _ in range(1 + (self.rng.random() < self.loss)):
            slow = self.rng.random() < 0.3  # still within the timeout of a round
            self.schedule(self.now + self.rng.randrange(1_000, 1_500_000 if late else 140_000 if slow else 5_000),
                          callback)

    def send_requests(self, name, messages):
        candidate = self.candidates[name]
        if self.now < self.cut_until.get(name, 0):
            return
        for voter, message in messages:
            self.send(lambda voter=voter, message=message: self._deliver(name, candidate, voter, message))

    def _deliver(self, name, candidate, voter_name, message):
        voter = self.voters[voter_name]
        if isinstance(message, Release):
            voter.release(message)
            return
        handle = voter.propose if isinstance(message, Propose) else voter.prepare
        reply = handle(message, self.local_time(voter_name))
        self.send(lambda: self.candidates[name] is candidate and self.send_requests(
            name, candidate.receive(voter_name, reply, self.local_time(name))))

    def check_invariants(self):
        acting = [(name, candidate.ballot) for name, candidate in self.candidates.items()
                  if candidate.holds_lease(self.local_time(name))]
        if len(acting) > 1:
            self.violations.append("two holders at once")
        for name, ballot in acting:
            if self.ballot_owners.setdefault(ballot, self.candidates[name].me) != self.candidates[name].me:
                self.violations.append("one ballot, two processes")
        self.steps_with_holder += len(acting) == 1

    def run(self, seconds, step=5_000):
        end = self.now + int(seconds * 1e6)
        while self.now < end and not self.violations:
            self.now += step
            while self.queue and self.queue[0][0] <= self.now:
                heappop(self.queue)[2]()
            for name, candidate in list(self.candidates.items()):
                if self.eager and candidate.phase == "idle" and not candidate.holds_lease(self.local_time(name)):
                    candidate.next_at = min(candidate.next_at, self.local_time(name) + self.rng.randrange(60_000))
                if self.rng.random() < 0.9:  # otherwise its tick is late
                    self.send_requests(name, candidate.tick(self.local_time(name)))
                self.check_invariants()
            if self.crashes and self.rng.random() < 0.004:
                name = self.rng.choice([*self.voter_names, *self.candidates])
                if name in self.candidates:
                    self._candidate(name)
                else:
                    self.voters[name] = self._voter(name)  # without its state
            if self.crashes and self.rng.random() < 0.002:
                for name in self.candidates:
                    if self.candidates[name].holds_lease(self.local_time(name)):
                        self.cut_until[name] = self.now + 1_300_000
            if self.crashes and self.rng.random() < 0.002:
                candidate = self.rng.choice(list(self.candidates.values()))
                candidate.wanted = not candidate.wanted
        return self


@pytest.mark.parametrize("voters", [3, 5, 7])
def test_at_most_one_holder_under_random_faults(voters):
    steps_with_holder = 0
    for seed in range(25):
        world = World(seed, voters, candidates=3).run(20)
        assert not world.violations, seed
        steps_with_holder += world.steps_with_holder
    assert steps_with_holder > 0


@pytest.mark.parametrize("voters", [3, 5, 7])
def test_one_candidate_acquires_and_keeps_the_lease_without_faults(voters):
    for seed in range(10):
        world = World(seed, voters, candidates=3, loss=0.0, crashes=False).run(6)
        before = world.steps_with_holder
        world.run(10)
        assert not world.violations and world.steps_with_holder - before > 3 * 10 / 0.005 * 0.9
        assert sum(candidate.gained for candidate in world.candidates.values()) <= 3


def test_lease_moves_to_another_candidate_after_release_and_after_crash():
    world = World(1, loss=0.0, crashes=False).run(6)
    name = next(name for name, candidate in world.candidates.items() if candidate.holds_lease(world.local_time(name)))
    world.candidates[name].wanted = False
    world.run(0.02)
    assert not world.candidates[name].holds_lease(world.local_time(name))
    world.run(2.5)
    other = next(
        name for name, candidate in world.candidates.items() if candidate.holds_lease(world.local_time(name)))
    assert other != name
    crashed = world.candidates.pop(other)
    world.candidates[name].wanted = True
    world.run(2.5)
    assert (world.candidates[name].holds_lease(world.local_time(name))
            and world.candidates[name].ballot > crashed.ballot)


def test_no_ballot_for_an_act_past_the_lease_and_a_fenced_candidate_uses_a_greater_one():
    world = World(1, loss=0.0, crashes=False).run(6)
    name, holder = next((n, c) for n, c in world.candidates.items() if c.holds_lease(world.local_time(n)))
    now = world.local_time(name)
    assert holder.fencing_ballot(now, 1_000) == holder.ballot and holder.fencing_ballot(now, PARAMETERS.duration) == 0
    holder.on_fenced(10 ** 9)
    assert not holder.holds_lease(now)
    world.run(4)
    assert max(candidate.ballot for candidate in world.candidates.values()) > 10 ** 9


# Seeded faults, each of which must be detected

class CountsFromReply(Candidate):
    """Counts the lease from the reply instead of the request."""

    def receive(self, voter, reply, now):
        before = self.held_until
        out = super().receive(voter, reply, now)
        if self.held_until != before and self.held_until:
            self.held_until = now + self.parameters.holder_duration
        return out


class IgnoresDrift(Candidate):
    """Subtracts neither drift nor margin from the lease."""

    def receive(self, voter, reply, now):
        before = self.held_until
        out = super().receive(voter, reply, now)
        if self.held_until != before and self.held_until:
            self.held_until = self.requested_at + self.parameters.duration
        return out


class HalfQuorumVoterSet(VoterSet):
    """Accepts half of the voters as a quorum."""

    def is_quorum(self, accepted_by):
        return 2 * len(accepted_by) >= len(self.voters) - 1


class HalfQuorum(Candidate):
    """Uses a voter set in which half of the voters are a quorum."""

    def __init__(self, parameters, me, voter_set, *more):
        super().__init__(parameters, me, HalfQuorumVoterSet(*voter_set), *more)


class AcceptsStaleReply(Candidate):
    """Counts a reply to an earlier request for the current one."""

    def receive(self, voter, reply, now):
        return super().receive(voter, replace(reply, request_id=self.request_id), now)


class ActsAfterRelease(Candidate):
    """Continues to act after the lease was released."""

    def _release(self, now):
        return self._release_requests()


class GrantsAfterRestart(Voter):
    """Grants leases immediately after a restart without its state."""

    def __init__(self, *more):
        super().__init__(*more)
        self.blocked_until = 0


class ForgetsGrant(Voter):
    """Forgets a grant at the next request."""

    def propose(self, request, now):
        self.granted = None
        return super().propose(request, now)

    def prepare(self, request, now):
        self.granted = None
        return super().prepare(request, now)


class ExpiresEarly(Voter):
    """Lets a grant expire too early."""

    def propose(self, request, now):
        reply = super().propose(request, now)
        if reply.accepted:
            self.granted_until -= self.parameters.duration // 2
        return reply


class ReusesBallot(Voter):
    """Promises one ballot to several candidates."""

    def prepare(self, request, now):
        self.highest_ballot = min(self.highest_ballot, request.ballot - 1)
        return super().prepare(request, now)


@pytest.mark.parametrize("fault", [
    CountsFromReply, IgnoresDrift, HalfQuorum, AcceptsStaleReply, ActsAfterRelease, GrantsAfterRestart, ForgetsGrant,
    ExpiresEarly, ReusesBallot])
def test_random_schedules_detect_a_seeded_fault(fault):
    role = {"voter" if issubclass(fault, Voter) else "candidate": fault}
    assert any(World(seed, candidates=3, eager=True, **role).run(15).violations for seed in range(120))


def test_holder_stops_before_a_new_grant_for_any_drift():
    for drift in (0.0, 0.01, 0.05, 0.3):
        parameters = LeaseParameters(drift=drift)
        assert (parameters.holder_duration + parameters.margin) / (1 - drift) <= parameters.duration / (1 + drift) + 1


# Voter table, changes of the voter set, bounds of messages

PROCESS, OTHER = ProcessId("a", 1), ProcessId("b", 2)


def acquire(table, lease, process, now, ballot=10 ** 6):
    """Returns whether the process got the lease."""
    assert table.handle_request(Prepare(ballot, process, 1, lease, table.voter_set.generation), now).accepted
    return table.handle_request(Propose(ballot, process, 2, lease, table.voter_set.generation), now).accepted


def test_voter_table_separates_leases_and_evicts_one_without_holder():
    table = VoterTable(PARAMETERS, VoterSet(("v",)), -10 ** 9, 5)
    for n in range(MAX_LEASES):
        assert acquire(table, f"l{n}", PROCESS, 0, 100 + n)
    assert table.handle_request(Prepare(10 ** 6, PROCESS, 1, "one more"), 0) is None and table.refused == 1
    table.handle_request(Release(100, PROCESS, "l0"), 0)
    assert acquire(table, "one more", OTHER, 0) and len(table.voters) == MAX_LEASES
    table.handle_request(Release(10 ** 6, OTHER, "one more"), 0)
    # ballots up to those of evicted leases are still rejected
    assert (not table.handle_request(Prepare(100, OTHER, 1, "l0"), 0).accepted
            and table.handle_request(Prepare(10 ** 7, OTHER, 1, "l0"), 0).accepted)


@pytest.mark.parametrize("own, requested, accepted", [(0, 0, True), (0, 1, True), (1, 0, False), (0, 2, False)])
def test_voter_accepts_its_own_generation_and_the_next(own, requested, accepted):
    table = VoterTable(PARAMETERS, VoterSet(("a", "b", "c"), generation=own), -10 ** 9, 5)
    assert table.handle_request(Prepare(10, PROCESS, 1, "x", requested), 0).accepted is accepted


def test_majorities_of_voter_sets_that_differ_by_one_intersect():
    from itertools import combinations
    for size in range(1, 7):
        before = tuple("abcdefg"[:size])
        for after in (before + ("z",), before[1:]):
            if not after:
                continue
            assert differ_by_one_voter(before, after)
            old_set, changed_set = VoterSet(before), VoterSet(after, before, 1)
            all_voters = sorted(set(before) | set(after))
            for count in range(len(all_voters) + 1):
                for accepted_by in map(set, combinations(all_voters, count)):
                    if changed_set.is_quorum(accepted_by):
                        assert not old_set.is_quorum(set(before) - accepted_by)
    assert not differ_by_one_voter(("a", "b", "c"), ("a", "b", "d"))


@pytest.mark.parametrize("message, valid", [
    (Prepare(1, PROCESS, 1, "x"), True), (Prepare(-1, PROCESS, 1, "x"), False),
    (Propose(1, ProcessId("a" * 65, 1), 1, "x"), False), (Release(1 << 62, PROCESS), False),
    (Reply(1, True, 5, PROCESS, 10, "x"), True), (Reply(1, True, 5, PROCESS, -1), False),
    (Prepare(1, PROCESS, 1, "x" * 65), False), (Propose(1, PROCESS, 1, "x", -1), False)])
def test_bounds_of_message_fields(message, valid):
    assert is_valid(message) is valid


# Exhaustive search to a depth

def explore(depth, voter=Voter, candidate=Candidate, clocks=None, **more):
    from benchmarks.explore import FAST_CLOCK, SLOW_CLOCK, LeaseModel, search

    rates = {"s0": SLOW_CLOCK, "s1": FAST_CLOCK, "v0": FAST_CLOCK, "v1": FAST_CLOCK,
             "v2": FAST_CLOCK} if clocks is None else clocks
    return search(LeaseModel(voter, candidate, rates=rates, **more), depth)


def test_exhaustive_search_finds_at_most_one_holder_and_a_holder_after_faults_end():
    from benchmarks.explore import FAST_CLOCK, SLOW_CLOCK, LeaseModel, search

    model = LeaseModel(rates={"s0": SLOW_CLOCK, "s1": FAST_CLOCK, "v0": FAST_CLOCK, "v1": SLOW_CLOCK,
                              "v2": FAST_CLOCK}, message_faults=2, crashes=1)
    stuck = []

    def check_liveness(state, number):
        if number % 400 == 0 and not model.eventually_held(state):
            stuck.append(state)
    found = search(model, 6, 6_000, on_state=check_liveness)
    assert found.trace is None and found.states >= 6_000 and not stuck


def acquires_with(voter_set, reachable, voters, process, ballot):
    """Returns whether a candidate gets the lease that reaches only the voters in `reachable`."""
    candidate = Candidate(PARAMETERS, process, voter_set, 1, 0, ballot)
    queue = candidate.tick(0)
    while queue:
        name, message = queue.pop(0)
        if name in reachable:
            reply = (voters[name].propose if isinstance(message, Propose) else voters[name].prepare)(message, 0)
            queue += candidate.receive(name, reply, 0)
    return candidate.holds_lease(1)


def test_two_voter_changes_at_once_give_two_holders_without_majorities_of_both_sets():
    for previous, second_acquires in (((), True), (("v0", "v1", "v2", "v3"), False)):
        voters = {f"v{n}": Voter(PARAMETERS, -10 ** 9, 0) for n in range(5)}
        assert acquires_with(VoterSet(("v0", "v1", "v2")), {"v0", "v1"}, voters, PROCESS, 1)
        changed_set = VoterSet(tuple(voters), previous, 2)
        assert acquires_with(changed_set, {"v2", "v3", "v4"}, voters, OTHER, 2) is second_acquires


@pytest.mark.parametrize("fault", [
    IgnoresDrift, HalfQuorum, ActsAfterRelease, GrantsAfterRestart, ForgetsGrant, ExpiresEarly, ReusesBallot])
def test_explorer_finds_a_short_trace_for_a_seeded_fault(fault):
    role = {"voter" if issubclass(fault, Voter) else "candidate": fault}
    message_faults, crashes = {HalfQuorum: 1, GrantsAfterRestart: 1}.get(fault, 0), int(fault is GrantsAfterRestart)
    found = explore(10, message_faults=message_faults, crashes=crashes, **role)
    assert found.trace and len(found.trace) <= 11
