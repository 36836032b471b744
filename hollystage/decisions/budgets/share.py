"""The claimant: how one process obtains its units of all budgets.

It sends a claim to the allocator once a period, and earlier if it lacks units or if units that it was asked to give
up are free. The voters of the allocator's lease redirect it to the allocator. While there is no allocator, peers lend
each other units that they do not use, and after a grant ends only the floor is left.
"""
from __future__ import annotations

import random
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from ..leases.terms import Terms
from .holding import Holding
from .terms import Budget
from .words import Borrow, Claim, Elsewhere, Loan, Message, Parts, Row, Word

PATIENCE = 0.6  # time to wait for an answer before another process is asked
SOON = 0.2  # least time between a claim and an early one
ALONE = 2.5  # time without an answer after which units are borrowed from peers
LENDERS = 2  # peers asked for a loan at one time
OUT = 64  # bounds both the unanswered borrow requests and the loans not sent yet


class Use(NamedTuple):
    """The decision module's report on one budget, in units.

    `applied_limit`: the limit that it applies now; `in_use`: units in use; `waiting`: further units that it could
    use; `weight`: criticality of the work that waits.
    """

    adopted: int
    using: int
    waiting: int
    weight: float


class Share:
    """Claims units of all budgets for the process named `me`. `voters` are those of the allocator's lease."""

    def __init__(self, budgets: Iterable[Budget], terms: Terms, period: int, me: str, voters: tuple[str, ...],
                 seed: int, now: int) -> None:
        self.terms, self.period, self.me, self.voters = terms, period, me, voters
        self.chance = random.Random(seed)
        self.holdings = {budget.name: Holding(budget, terms, now) for budget in budgets}
        self.usages = {name: Use(0, 0, 0, 1.0) for name in self.holdings}
        # since the last claim: number of usage reports, sum of the units in use, sum of the units needed
        self.sums = dict.fromkeys(self.holdings, (0, 0, 0))
        self.divider, self.epoch = "", 0
        self.turn = self.loan_request_id = 0  # of the last claim, and of the last borrow request
        self.asked_at = self.answered_at = now
        self.awaiting_reply = False  # the last claim has not been answered yet
        self.silent = 0  # consecutive claims without an answer
        self.next_at = now + int(self.chance.random() * period * 0.1)
        self.reported: dict[str, tuple[int, int, int]] = {}  # committed, in use and needed, as last claimed
        self.borrowing: dict[int, tuple[str, int]] = {}  # by request id: budget, time of the request
        # loans set aside and not sent yet: borrower, loan, start of the loan's `remaining` time
        self.loans: list[tuple[str, Loan, int]] = []
        self.began = now
        self.counts = {"asked": 0, "answered": 0, "unanswered": 0, "borrowed": 0, "lent": 0, "outdated": 0}
        self.first_after: int | None = None  # time from the start to the first grant

    # Reports of the decision module

    def used(self, name: str, usage: Use) -> None:
        """Records the current usage of a budget."""
        self.usages[name] = usage
        allocation = self.holdings[name]
        allocation.using, allocation.adopted = usage.using, usage.adopted
        reports, used, needed = self.sums[name]
        self.sums[name] = reports + 1, used + usage.using, needed + usage.using + usage.waiting

    def barred(self, suspended: bool) -> None:
        """Suspends all use while another process has the same name."""
        for allocation in self.holdings.values():
            allocation.barred = suspended

    # Timers

    def tick(self, peers: list[str], now: int) -> list[Message]:
        """Returns the messages that are due. `peers` are the other live processes, as far as is known."""
        out = self._tell_loans(now)
        if self.awaiting_reply and now - self.asked_at >= PATIENCE * self.period:
            self.awaiting_reply = False
            self.silent += 1
            self.counts["unanswered"] += 1
            if self.silent >= 2:
                self.divider = ""
            self.next_at = now
        if now < self.next_at and not self._hurried(now):
            return out
        if now - self.answered_at > ALONE * self.period:
            out += self._borrow(peers, now)
        return [*out, self._ask(now)]

    def _hurried(self, now: int) -> bool:
        """Returns whether to send a claim before the period ends."""
        if self.awaiting_reply or now - self.asked_at < SOON * self.period:
            return False
        for name, allocation in self.holdings.items():
            usage, (committed, in_use, need) = self.usages[name], self.reported.get(name, (0, 0, 0))
            lacks_units = usage.waiting > 0 and usage.using >= allocation.usable(now)
            if lacks_units and (usage.using > in_use or usage.using + usage.waiting > need):
                return True
            if allocation.held(now) < committed:
                return True  # units to give up are free, and other processes may wait for them
        return False

    def _ask(self, now: int) -> Message:
        self.turn += 1
        self.asked_at, self.awaiting_reply = now, True
        # jitter, so that processes that started at the same time do not keep sending at the same time
        self.next_at = now + int(self.period * (0.9 + 0.2 * self.chance.random()))
        self.counts["asked"] += 1
        rows = []
        for name, allocation in self.holdings.items():
            usage, committed, (reports, used, needed) = self.usages[name], allocation.held(now), self.sums[name]
            # means, because units reserved for peaks would mostly lie idle; sudden needs are claimed early
            in_use = max(usage.using if usage.waiting else 0, ceil(used / max(1, reports)))
            need = max(usage.using + usage.waiting if usage.waiting else 0, ceil(needed / max(1, reports)))
            rows.append(Row(name, committed, allocation.own(now), allocation.floor(now), in_use, need, usage.weight))
            self.reported[name], self.sums[name] = (committed, in_use, need), (0, 0, 0)
        return Message(self.divider or self.chance.choice(self.voters), Claim(self.turn, self.epoch, rows))

    # Messages of other processes

    def heard(self, sender: str, message: Word, now: int) -> list[Message]:
        """Handles a message and returns the messages that follow from it."""
        match message:
            case Parts():
                return self._parts(sender, message, now)
            case Elsewhere():
                return self._elsewhere(message, now)
            case Borrow():
                self._lend(sender, message, now)
            case Loan():
                self._lent(message, now)
        return []

    def _parts(self, sender: str, grants: Parts, now: int) -> list[Message]:
        if grants.turn != self.turn or grants.epoch < self.epoch:
            self.counts["outdated"] += 1
            return []
        if self.awaiting_reply:
            self.counts["answered"] += 1
        self.divider, self.epoch, self.awaiting_reply, self.silent, self.answered_at = (
            sender, grants.epoch, False, 0, now)
        for grant in grants.rows:
            allocation = self.holdings.get(grant.name)
            if allocation is not None:
                # the grant counts from the claim, also if it was sent later without a new claim
                allocation.granted(grant.part, self.asked_at)
                if self.first_after is None and grant.part:
                    self.first_after = now - self.began
        return []

    def _elsewhere(self, redirect: Elsewhere, now: int) -> list[Message]:
        if redirect.turn != self.turn or not self.awaiting_reply:
            return []
        if not redirect.allocator or redirect.allocator == self.divider:
            self.divider = ""
            return []
        self.divider = redirect.allocator
        return [self._ask(now)]

    # Loans between two processes

    def _borrow(self, peers: list[str], now: int) -> list[Message]:
        out: list[Message] = []
        self.borrowing = {request_id: row for request_id, row in self.borrowing.items()
                          if now - row[1] < self.terms.length}
        for name, allocation in self.holdings.items():
            usage = self.usages[name]
            lacking = usage.using + usage.waiting - allocation.usable(now)
            if lacking <= 0 or not peers:
                continue
            for peer in self.chance.sample(peers, min(LENDERS, len(peers))):
                if len(self.borrowing) < OUT:
                    self.loan_request_id += 1
                    self.borrowing[self.loan_request_id] = name, now
                    out.append(Message(peer, Borrow(self.loan_request_id, name, lacking)))
        return out

    def _lend(self, sender: str, request: Borrow, now: int) -> None:
        allocation = self.holdings.get(request.name)
        if allocation is None or len(self.loans) >= OUT:
            return
        units, remaining = allocation.lend(request.units, now)
        if units:
            self.loans.append((sender, Loan(request.turn, request.name, units, remaining), now))

    def _tell_loans(self, now: int) -> list[Message]:
        """Returns the loans whose units are no longer used here. Loans that expired before that are dropped."""
        out: list[Message] = []
        waiting: list[tuple[str, Loan, int]] = []
        for borrower, loan, since in self.loans:
            remaining = loan.left - (now - since)
            if not self.holdings[loan.name].may_tell(now) and remaining > 0:
                waiting.append((borrower, loan, since))
            elif remaining > 0:
                self.counts["lent"] += loan.units
                out.append(Message(borrower, Loan(loan.turn, loan.name, loan.units, remaining)))
        self.loans = waiting
        return out

    def _lent(self, loan: Loan, now: int) -> None:
        request = self.borrowing.pop(loan.turn, None)  # a loan counts once, even if its message is duplicated
        if request is not None and request[0] == loan.name:
            self.holdings[loan.name].took(loan.units, loan.left, request[1])
            self.counts["borrowed"] += loan.units
