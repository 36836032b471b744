"""The candidate side of a lease: requests it, renews it, gives it back, and retries after a lost round.

The protocol follows PaxosLease (Trencseni, Gazso and Reinhardt, 2012), with Gray and Cheriton (1989) for leases
without synchronized clocks and Chubby (Burrows, 2006) for numbers that fence off late acts of an earlier holder.
Times are microseconds of the process's own clock.
"""
from __future__ import annotations

import random

from .terms import Electorate, Terms
from .words import Prepare, Propose, Question, Release, Reply, Who

LEAST_PAUSE, MOST_PAUSE = 0.05, 0.25  # backoff after a failed round, as fractions of the lease duration
RENEW = 0.4  # fraction of the holder duration after which the holder renews
PATIENCE = 0.15  # time that a round waits for replies, as a fraction of the lease duration


class Seeker:
    """One process that wants a lease or holds it.

    `tick` returns the requests to send, `receive` handles the replies. Ballot numbers start above `floor`, such as
    the boot number, so that a fleet that lost all its state continues above the ballots it used before.
    """

    def __init__(self, terms: Terms, me: Who, electorate: Electorate, seed: int, now: int, floor: int,
                 lease: str = "") -> None:
        self.terms, self.me, self.electorate, self.lease = terms, me, electorate, lease
        self.chance = random.Random(seed)
        self.known = floor
        self.number = 0  # ballot of the lease held or of the current round
        self.stage = "idle"  # idle, preparing, proposing
        self.asked_at = self.turn = self.holder_remaining = 0
        self.good: set[str] = set()
        self.bad: set[str] = set()
        self.ends = 0  # end of the lease held, by this process's clock
        self.next_at = now
        self.wanted = True
        self.gained = self.lost = 0  # times that the lease was acquired, and that it expired

    def held(self, now: int) -> bool:
        """Returns whether this process holds the lease."""
        return now < self.ends

    def may_act(self, now: int, duration: int) -> int:
        """Returns the ballot to act under if an act of `duration` microseconds ends within the lease, else 0."""
        return self.number if now + duration < self.ends else 0

    def refused(self, ballot: int) -> None:
        """Gives up the lease after the target of an act reported a greater ballot: all voters lost their state."""
        self.known = max(self.known, ballot)
        self.ends = 0

    def tick(self, now: int) -> list[tuple[str, Question]]:
        """Returns the requests that are due, as pairs of voter and request."""
        if not self.wanted:
            return self._give_back(now)
        if now < self.next_at:
            return []
        if self.held(now):
            return self._ask("proposing", now)  # renewal
        if self.ends:
            self.lost += 1
            self.ends = 0
        if self.stage != "idle":  # the round timed out without a quorum
            return self._fail(now)
        self.known += 1
        self.number = self.known
        return self._ask("preparing", now)

    def _ask(self, phase: str, now: int) -> list[tuple[str, Question]]:
        self.stage, self.asked_at, self.good, self.bad, self.holder_remaining = phase, now, set(), set(), 0
        self.turn += 1
        self.next_at = now + int(PATIENCE * self.terms.length)
        request_type = Prepare if phase == "preparing" else Propose
        return [(voter, request_type(self.number, self.me, self.turn, self.lease, self.electorate.generation))
                for voter in self.electorate.everyone]

    def _fail(self, now: int) -> list[tuple[str, Question]]:
        """Schedules the next round after a random backoff and releases what a minority granted."""
        proposed = self.stage == "proposing"
        self.stage = "idle"
        backoff = int(self.chance.uniform(LEAST_PAUSE, MOST_PAUSE) * self.terms.length)
        self.next_at = now + max(backoff, min(self.holder_remaining, self.terms.length))
        return self._released() if proposed else []

    def _give_back(self, now: int) -> list[tuple[str, Question]]:
        if not self.held(now):
            return []
        self.ends, self.stage = 0, "idle"  # the holder stops acting before it sends the release
        return self._released()

    def _released(self) -> list[tuple[str, Question]]:
        return [(voter, Release(self.number, self.me, self.lease)) for voter in self.electorate.everyone]

    def heard(self, voter: str, reply: Reply, now: int) -> list[tuple[str, Question]]:
        """Handles the reply of a voter and returns the requests that follow from it."""
        self.known = max(self.known, reply.known)
        if reply.turn != self.turn or self.stage == "idle" or voter not in self.electorate.everyone:
            return []
        if reply.by not in (None, self.me):
            # another process holds the lease: no request can succeed before its grant may have ended
            self.holder_remaining = max(self.holder_remaining, reply.left)
        (self.good if reply.good else self.bad).add(voter)
        if self.electorate.enough(self.good):
            if self.stage == "preparing":
                return self._ask("proposing", now)
            if not self.held(now):
                self.gained += 1
            self.ends = self.asked_at + self.terms.holds
            self.stage = "idle"
            self.next_at = self.asked_at + int(RENEW * self.terms.holds)
        elif self.electorate.beyond(self.bad) and not self.held(now):
            return self._fail(now)
        return []
