"""Leases: who may act for the whole fleet, granted by a majority of voters, without common clocks and without a disk.

After PaxosLease (Trencseni, Gazso and Reinhardt, 2012), Gray and Cheriton (1989) for time without common clocks, and
Chubby (Burrows, 2006) for numbers that fence off late acts. Each clock runs between 1 - drift and 1 + drift of true
time; nothing else is assumed of it. One inequality carries all:

    a holder acts for      length * (1 - drift) / (1 + drift) - margin     of its clock, from before it asked;
    a voter promises anew  length                                          of its clock after it has answered.

In true time the first is at most length / (1 + drift), counted from earlier, and the second at least that, counted
from later. A voter that starts without its memory grants nothing for the longest lease: whatever it had granted
before has ended by then. Times are microseconds of each process's own clock.
"""
from __future__ import annotations

import random
from typing import NamedTuple

LEAST_PAUSE, MOST_PAUSE = 0.05, 0.25  # shares of a lease's length until a candidate that failed tries anew
RENEW = 0.4  # of a holder's time is over: it asks anew
PATIENCE = 0.15  # share of the length that a round waits for answers


class Terms(NamedTuple):
    """`length`: of a lease; `drift`: of any clock against true time; `margin`: for what is done about an end."""

    length: int = 5_000_000
    drift: float = 0.01
    margin: int = 50_000

    @property
    def holds(self) -> int:
        """How long a holder acts, by its clock, from before it asked."""
        return int(self.length * (1 - self.drift) / (1 + self.drift)) - self.margin


class Who(NamedTuple):
    """A process, not a name: one that starts anew is another."""

    name: str
    boot: int


class Prepare(NamedTuple):
    """Asks for the promise that no smaller number is taken. `turn`: of the asker, never used twice."""

    number: int
    who: Who
    turn: int


class Propose(NamedTuple):
    """Asks for the lease itself, or for more of it."""

    number: int
    who: Who
    turn: int


class Release(NamedTuple):
    number: int
    who: Who


class Reply(NamedTuple):
    """`turn`: of the question, for an answer to an earlier one speaks of an earlier time; `known`: the greatest
    number the voter has met; `by`: who holds it as far as it knows."""

    turn: int
    good: bool
    known: int
    by: Who | None = None
    left: int = 0  # of that grant, by the voter's clock


class Voter:
    """One voter's memory of one lease. `floor`: below which it never grants, such as its boot number."""

    def __init__(self, terms: Terms, born: int, floor: int, longest: int = 0) -> None:
        self.terms = terms
        # what an earlier process of this voter granted may still be held
        self.silent_until = born + max(longest, terms.length)
        self.known = floor
        self.promised: tuple[int, Who] | None = None
        self.granted: tuple[int, Who] | None = None
        self.until = 0

    def _holder(self, now: int) -> Who | None:
        return self.granted[1] if self.granted is not None and now < self.until else None

    def _reply(self, turn: int, good: bool, now: int) -> Reply:
        holder = self._holder(now)
        return Reply(turn, good, self.known, holder, self.until - now if holder is not None else 0)

    def prepare(self, asked: Prepare, now: int) -> Reply:
        """Promises to take no smaller number; one number goes to one process only.

        While it is held nothing is promised: one that reaches no majority must not keep the holder from more.
        """
        if (now < self.silent_until or asked.number <= self.known
                or self._holder(now) not in (None, asked.who)):
            return self._reply(asked.turn, False, now)
        self.known, self.promised = asked.number, (asked.number, asked.who)
        return self._reply(asked.turn, True, now)

    def propose(self, asked: Propose, now: int) -> Reply:
        """Grants, or lengthens what was granted to this very process under this very number."""
        mine = (asked.number, asked.who)
        holder = self._holder(now)
        if (now < self.silent_until or holder not in (None, asked.who)
                or mine not in (self.promised, self.granted) or asked.number < self.known):
            return self._reply(asked.turn, False, now)
        self.granted, self.until = mine, now + self.terms.length
        return self._reply(asked.turn, True, now)

    def release(self, given: Release) -> None:
        """The holder acts no more: another need not wait."""
        if self.granted == (given.number, given.who):
            self.granted, self.until = None, 0


class Seeker:
    """One process that wants a lease, or holds it. Questions go out by `tick`, answers come in by `heard`."""

    def __init__(self, terms: Terms, me: Who, voters: list[str], seed: int, now: int) -> None:
        self.terms, self.me, self.voters = terms, me, voters
        self.chance = random.Random(seed)
        self.known = me.boot  # numbers begin at the boot: a fleet that lost everything begins past where it was
        self.number = 0  # of the lease held, or of the round
        self.stage = "idle"  # idle, preparing, proposing
        self.asked_at = self.turn = self.wait = 0
        self.good: set[str] = set()
        self.bad: set[str] = set()
        self.ends = 0  # by our clock; what is held ends then
        self.next_at = now
        self.wanted = True
        self.gained = self.lost = 0

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def held(self, now: int) -> bool:
        return now < self.ends

    def may_act(self, now: int, most: int) -> int:
        """The number to act under, where an act of `most` microseconds ends within the lease; else 0."""
        return self.number if now + most < self.ends else 0

    def refused(self, number: int) -> None:
        """What it acted on knows a greater number: the memory of all voters was lost."""
        self.known = max(self.known, number)
        self.ends = 0

    def tick(self, now: int) -> list[tuple[str, Prepare | Propose | Release]]:
        if not self.wanted:
            return self._give_back(now)
        if now < self.next_at:
            return []
        if self.held(now):
            return self._ask("proposing", now)  # lengthens it
        if self.ends:
            self.lost += 1
            self.ends = 0
        if self.stage != "idle":  # nobody answered in time
            return self._fail(now)
        self.known += 1
        self.number = self.known
        return self._ask("preparing", now)

    def _ask(self, stage: str, now: int) -> list[tuple[str, Prepare | Propose | Release]]:
        self.stage, self.asked_at, self.good, self.bad, self.wait = stage, now, set(), set(), 0
        self.turn += 1
        self.next_at = now + int(PATIENCE * self.terms.length)
        word = Prepare if stage == "preparing" else Propose
        return [(voter, word(self.number, self.me, self.turn)) for voter in self.voters]

    def _fail(self, now: int) -> list[tuple[str, Prepare | Propose | Release]]:
        """Draws when to try anew; what a minority granted is given back."""
        given = self.stage == "proposing"
        self.stage = "idle"
        pause = int(self.chance.uniform(LEAST_PAUSE, MOST_PAUSE) * self.terms.length)
        self.next_at = now + max(pause, min(self.wait, self.terms.length))
        return [(voter, Release(self.number, self.me)) for voter in self.voters] if given else []

    def _give_back(self, now: int) -> list[tuple[str, Prepare | Propose | Release]]:
        if not self.held(now):
            return []
        self.ends, self.stage = 0, "idle"  # first it stops acting, then it says so
        return [(voter, Release(self.number, self.me)) for voter in self.voters]

    def heard(self, voter: str, reply: Reply, now: int) -> list[tuple[str, Prepare | Propose | Release]]:
        self.known = max(self.known, reply.known)
        if reply.turn != self.turn or self.stage == "idle" or voter not in self.voters:
            return []
        if reply.by not in (None, self.me):
            self.wait = max(self.wait, reply.left)  # it is held: no need to knock before that may have ended
        (self.good if reply.good else self.bad).add(voter)
        if len(self.good) >= self.majority:
            if self.stage == "preparing":
                return self._ask("proposing", now)
            if not self.held(now):
                self.gained += 1
            self.ends = self.asked_at + self.terms.holds
            self.stage = "idle"
            self.next_at = self.asked_at + int(RENEW * self.terms.holds)
        elif len(self.bad) > len(self.voters) - self.majority and not self.held(now):
            return self._fail(now)
        return []
