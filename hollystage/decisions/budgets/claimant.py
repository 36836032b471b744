"""The claimant: how one process obtains its units of all budgets.

It sends a claim to the allocator once a period, and earlier if it lacks units or if it can give up units after its
grant was reduced. The voters of the allocator's lease redirect it to the allocator. While there is no allocator,
peers lend each other units that they do not use, and after a grant ends only the floor is left.
"""
from __future__ import annotations

import random
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from ..leases.parameters import LeaseParameters
from .allocation import Allocation
from .messages import BorrowRequest, BudgetMessage, Claim, ClaimRow, Grants, Loan, Outgoing, Redirect
from .parameters import Budget

REPLY_TIMEOUT_PERIODS = 0.6  # time to wait for an answer before the next claim is sent
MIN_CLAIM_INTERVAL_PERIODS = 0.2  # least time between a claim and an early one
BORROW_AFTER_PERIODS = 2.5  # time without an answer after which units are borrowed from peers
MAX_LENDERS = 2  # peers asked for a loan at one time
MAX_OPEN_LOANS = 64  # bounds both the unanswered borrow requests and the loans not sent yet


class Usage(NamedTuple):
    """The decision module's report on one budget, in units.

    `applied_limit`: the limit that it applies now; `in_use`: units in use; `waiting`: further units that it could
    use; `weight`: criticality of the work that waits.
    """

    applied_limit: int
    in_use: int
    waiting: int
    weight: float


class Claimant:
    """Claims units of all budgets for the process named `me`. `voters` are those of the allocator's lease."""

    def __init__(self, budgets: Iterable[Budget], parameters: LeaseParameters, period: int, me: str,
                 voters: tuple[str, ...], seed: int, now: int) -> None:
        self.parameters, self.period, self.me, self.voters = parameters, period, me, voters
        self.rng = random.Random(seed)
        self.allocations = {budget.name: Allocation(budget, parameters, now) for budget in budgets}
        self.usages = {name: Usage(0, 0, 0, 1.0) for name in self.allocations}
        # since the last claim: number of usage reports, sum of the units in use, sum of the units needed
        self.usage_sums = dict.fromkeys(self.allocations, (0, 0, 0))
        self.allocator_name, self.epoch = "", 0
        self.request_id = self.loan_request_id = 0  # of the last claim, and of the last borrow request
        self.requested_at = self.answered_at = now
        self.awaiting_reply = False  # the last claim has not been answered yet
        self.unanswered = 0  # consecutive claims without an answer
        self.next_at = now + int(self.rng.random() * period * 0.1)
        self.reported: dict[str, tuple[int, int, int]] = {}  # committed, in use and needed, as last claimed
        self.open_borrow_requests: dict[int, tuple[str, int]] = {}  # by request id: budget, time of the request
        # loans set aside and not sent yet: borrower, loan, time from which the loan's `remaining` counts
        self.pending_loans: list[tuple[str, Loan, int]] = []
        self.began = now
        self.counts = {"asked": 0, "answered": 0, "unanswered": 0, "borrowed": 0, "lent": 0, "outdated": 0}
        self.first_grant_delay: int | None = None  # time from the start to the first grant

    # Reports of the decision module

    def report_usage(self, name: str, usage: Usage) -> None:
        """Records the current usage of a budget."""
        self.usages[name] = usage
        allocation = self.allocations[name]
        allocation.in_use, allocation.applied_limit = usage.in_use, usage.applied_limit
        reports, used, needed = self.usage_sums[name]
        self.usage_sums[name] = reports + 1, used + usage.in_use, needed + usage.in_use + usage.waiting

    def set_suspended(self, suspended: bool) -> None:
        """Suspends all use while another process has the same name."""
        for allocation in self.allocations.values():
            allocation.suspended = suspended

    # Timers

    def tick(self, peers: list[str], now: int) -> list[Outgoing]:
        """Returns the messages that are due. `peers` are the other live processes, as far as is known."""
        out = self._send_loans(now)
        if self.awaiting_reply and now - self.requested_at >= REPLY_TIMEOUT_PERIODS * self.period:
            self.awaiting_reply = False
            self.unanswered += 1
            self.counts["unanswered"] += 1
            if self.unanswered >= 2:
                self.allocator_name = ""
            self.next_at = now
        if now < self.next_at and not self._needs_early_claim(now):
            return out
        if now - self.answered_at > BORROW_AFTER_PERIODS * self.period:
            out += self._request_loans(peers, now)
        return [*out, self._send_claim(now)]

    def _needs_early_claim(self, now: int) -> bool:
        """Returns whether to send a claim before the period ends."""
        if self.awaiting_reply or now - self.requested_at < MIN_CLAIM_INTERVAL_PERIODS * self.period:
            return False
        for name, allocation in self.allocations.items():
            usage, (committed, in_use, need) = self.usages[name], self.reported.get(name, (0, 0, 0))
            lacks_units = usage.waiting > 0 and usage.in_use >= allocation.usable(now)
            if lacks_units and (usage.in_use > in_use or usage.in_use + usage.waiting > need):
                return True
            if allocation.committed(now) < committed:
                return True  # units can be given up, and other processes may be waiting for them
        return False

    def _send_claim(self, now: int) -> Outgoing:
        self.request_id += 1
        self.requested_at, self.awaiting_reply = now, True
        # jitter, so that processes that started at the same time do not keep sending at the same time
        self.next_at = now + int(self.period * (0.9 + 0.2 * self.rng.random()))
        self.counts["asked"] += 1
        rows = []
        for name, allocation in self.allocations.items():
            usage, committed, (reports, used, needed) = (
                self.usages[name], allocation.committed(now), self.usage_sums[name])
            # means, because units claimed for peaks would be idle most of the time; sudden needs are claimed early
            in_use = max(usage.in_use if usage.waiting else 0, ceil(used / max(1, reports)))
            need = max(usage.in_use + usage.waiting if usage.waiting else 0, ceil(needed / max(1, reports)))
            rows.append(ClaimRow(name, committed, allocation.own(now), allocation.floor(now), in_use, need,
                                 usage.weight))
            self.reported[name], self.usage_sums[name] = (committed, in_use, need), (0, 0, 0)
        return Outgoing(self.allocator_name or self.rng.choice(self.voters), Claim(self.request_id, self.epoch, rows))

    # Messages of other processes

    def receive(self, sender: str, message: BudgetMessage, now: int) -> list[Outgoing]:
        """Handles a message and returns the messages that follow from it."""
        match message:
            case Grants():
                return self._receive_grants(sender, message, now)
            case Redirect():
                return self._receive_redirect(message, now)
            case BorrowRequest():
                self._receive_borrow_request(sender, message, now)
            case Loan():
                self._receive_loan(message, now)
        return []

    def _receive_grants(self, sender: str, grants: Grants, now: int) -> list[Outgoing]:
        if grants.request_id != self.request_id or grants.epoch < self.epoch:
            self.counts["outdated"] += 1
            return []
        if self.awaiting_reply:
            self.counts["answered"] += 1
        self.allocator_name, self.epoch, self.awaiting_reply, self.unanswered, self.answered_at = (
            sender, grants.epoch, False, 0, now)
        for grant in grants.grants:
            allocation = self.allocations.get(grant.name)
            if allocation is not None:
                # the grant counts from the time of the claim, also if it was sent later without a new claim
                allocation.apply_grant(grant.units, self.requested_at)
                if self.first_grant_delay is None and grant.units:
                    self.first_grant_delay = now - self.began
        return []

    def _receive_redirect(self, redirect: Redirect, now: int) -> list[Outgoing]:
        if redirect.request_id != self.request_id or not self.awaiting_reply:
            return []
        if not redirect.allocator or redirect.allocator == self.allocator_name:
            self.allocator_name = ""
            return []
        self.allocator_name = redirect.allocator
        return [self._send_claim(now)]

    # Loans between two processes

    def _request_loans(self, peers: list[str], now: int) -> list[Outgoing]:
        out: list[Outgoing] = []
        self.open_borrow_requests = {request_id: row for request_id, row in self.open_borrow_requests.items()
                                     if now - row[1] < self.parameters.duration}
        for name, allocation in self.allocations.items():
            usage = self.usages[name]
            lacking = usage.in_use + usage.waiting - allocation.usable(now)
            if lacking <= 0 or not peers:
                continue
            for peer in self.rng.sample(peers, min(MAX_LENDERS, len(peers))):
                if len(self.open_borrow_requests) < MAX_OPEN_LOANS:
                    self.loan_request_id += 1
                    self.open_borrow_requests[self.loan_request_id] = name, now
                    out.append(Outgoing(peer, BorrowRequest(self.loan_request_id, name, lacking)))
        return out

    def _receive_borrow_request(self, sender: str, request: BorrowRequest, now: int) -> None:
        allocation = self.allocations.get(request.name)
        if allocation is None or len(self.pending_loans) >= MAX_OPEN_LOANS:
            return
        units, remaining = allocation.lend(request.units, now)
        if units:
            self.pending_loans.append((sender, Loan(request.request_id, request.name, units, remaining), now))

    def _send_loans(self, now: int) -> list[Outgoing]:
        """Returns the loans whose units can no longer be in use here. Loans that expired before that are dropped."""
        out: list[Outgoing] = []
        waiting: list[tuple[str, Loan, int]] = []
        for borrower, loan, since in self.pending_loans:
            remaining = loan.remaining - (now - since)
            if not self.allocations[loan.name].may_send_loan(now) and remaining > 0:
                waiting.append((borrower, loan, since))
            elif remaining > 0:
                self.counts["lent"] += loan.units
                out.append(Outgoing(borrower, Loan(loan.request_id, loan.name, loan.units, remaining)))
        self.pending_loans = waiting
        return out

    def _receive_loan(self, loan: Loan, now: int) -> None:
        # a loan counts once, even if its message is duplicated
        request = self.open_borrow_requests.pop(loan.request_id, None)
        if request is not None and request[0] == loan.name:
            self.allocations[loan.name].add_borrowed(loan.units, loan.remaining, request[1])
            self.counts["borrowed"] += loan.units
