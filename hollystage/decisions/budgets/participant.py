"""Everything that one process does for budgets: it votes on the allocator, may be the allocator, and claims units.

The instance, the simulation in virtual time and the explorer run the same code. Processes are addressed by name;
sending the returned messages is up to the caller.
"""
from __future__ import annotations

from collections.abc import Iterable

from ..leases.candidate import Candidate
from ..leases.messages import LeaseRequest, Prepare, ProcessId, Propose, Release, Reply
from ..leases.parameters import LeaseParameters, VoterSet
from ..leases.voter import VoterTable
from .allocator import Allocator
from .claimant import Claimant
from .messages import BudgetMessage, Claim, Outgoing, Redirect
from .parameters import Budget

LEASE_NAME = "budgets"
GRANT_INTERVAL_US = 25_000  # between checks for grants to send without a claim


class Participant:
    """One process as voter, candidate, allocator and claimant. Only voters become the allocator.

    `lease_parameters` apply to the allocator's lease, `grant_parameters` to the grants of units.
    """

    def __init__(self, me: ProcessId, budgets: Iterable[Budget], grant_parameters: LeaseParameters, period: int,
                 voter_set: VoterSet, lease_parameters: LeaseParameters, seed: int, now: int, boot: int) -> None:
        self.me, self.budgets, self.grant_parameters = me, list(budgets), grant_parameters
        is_voter = me.name in voter_set.all_voters
        self.voter_table = VoterTable(lease_parameters, voter_set, now, boot) if is_voter else None
        self.candidate = (Candidate(lease_parameters, me, voter_set, seed, now, boot, LEASE_NAME)
                          if me.name in voter_set.voters else None)
        self.allocator: Allocator | None = None
        self.claimant = Claimant(self.budgets, grant_parameters, period, me.name, voter_set.all_voters, seed, now)
        self.next_grants_at = now
        self.times_allocator = 0  # times that this process became the allocator

    @property
    def next_at(self) -> int:
        """The latest time at which the next `tick` is due."""
        due = [self.claimant.next_at]
        if self.candidate is not None and self.candidate.wanted:
            due.append(self.candidate.next_at)
        if self.allocator is not None:
            due.append(self.next_grants_at)
        return min(due)

    def tick(self, peers: list[str], now: int) -> list[Outgoing]:
        """Returns the messages that are due. `peers` are the other live processes, as far as is known."""
        out: list[Outgoing] = []
        if self.candidate is not None:
            out += [Outgoing(voter, request) for voter, request in self.candidate.tick(now)]
        self._update_role(now)
        out += self.claimant.tick(peers, now)
        if self.allocator is not None and now >= self.next_grants_at:
            out += self._send_unsolicited_grants(self.allocator, now)
        return self._deliver_local(out, now)

    def receive(self, sender: ProcessId, message: BudgetMessage | LeaseRequest | Reply, now: int) -> list[Outgoing]:
        """Handles a message and returns the messages that follow from it."""
        return self._deliver_local(self._dispatch(sender, message, now), now)

    def leave(self, now: int) -> list[Outgoing]:
        """Gives the lease back before the process ends. The process needs its units until then and keeps them."""
        if self.candidate is None:
            return []
        self.candidate.wanted = False
        out = [Outgoing(voter, request) for voter, request in self.candidate.tick(now)]
        self._update_role(now)
        return self._deliver_local(out, now)

    def _dispatch(self, sender: ProcessId, message: BudgetMessage | LeaseRequest | Reply, now: int) -> list[Outgoing]:
        match message:
            case Prepare() | Propose() | Release():
                reply = (self.voter_table.handle_request(message, now)
                         if self.voter_table is not None and message.candidate == sender else None)
                return [Outgoing(sender.name, reply)] if reply is not None else []
            case Reply():
                if self.candidate is None or message.lease != LEASE_NAME:
                    return []
                out = [Outgoing(voter, request)
                       for voter, request in self.candidate.receive(sender.name, message, now)]
                self._update_role(now)
                return out
            case Claim():
                return self._receive_claim(sender, message, now)
            case _:
                return self.claimant.receive(sender.name, message, now)

    def _update_role(self, now: int) -> None:
        """Makes this process the allocator, or ends that, as the lease requires.

        If the lease ended and was renewed under the same ballot before this check, no other process held it in
        between, so the allocator keeps its accounts.
        """
        is_holder = self.candidate is not None and self.candidate.holds_lease(now)
        if self.candidate is None or not is_holder:
            self.allocator = None
        elif self.allocator is None or self.allocator.epoch != self.candidate.ballot:
            self.allocator = Allocator(self.budgets, self.grant_parameters, self.candidate.ballot, now)
            self.times_allocator += 1

    def _receive_claim(self, sender: ProcessId, claim: Claim, now: int) -> list[Outgoing]:
        self._update_role(now)
        if self.allocator is not None and self.candidate is not None and self.candidate.fencing_ballot(now, 0):
            grants = self.allocator.handle_claim((sender.name, sender.birth), claim, now)
            return [Outgoing(sender.name, grants)] if grants is not None else []
        holder = None
        if self.voter_table is not None and LEASE_NAME in self.voter_table.voters:
            holder = self.voter_table.voters[LEASE_NAME].holder(now)
        return [Outgoing(sender.name, Redirect(claim.request_id, holder.name if holder is not None else ""))]

    def _send_unsolicited_grants(self, allocator: Allocator, now: int) -> list[Outgoing]:
        self.next_grants_at = now + GRANT_INTERVAL_US
        if self.candidate is None or not self.candidate.fencing_ballot(now, 0):
            return []
        return [Outgoing(process[0], grants) for process, grants in allocator.unsolicited_grants(now)]

    def _deliver_local(self, messages: list[Outgoing], now: int) -> list[Outgoing]:
        """Delivers the messages to this process at once, and returns the others."""
        out: list[Outgoing] = []
        while messages:
            message = messages.pop(0)
            if message.recipient == self.me.name:
                messages += self._dispatch(self.me, message.payload, now)
            else:
                out.append(message)
        return out

    def metrics(self, now: int) -> dict[str, float]:
        """Returns the gauges of the budgets, by metric name."""
        claimant, gauges = self.claimant, {"budget.divides": float(self.allocator is not None)}
        for name, allocation in claimant.allocations.items():
            gauges |= {f"budget.{name}.part": allocation.own(now), f"budget.{name}.usable": allocation.usable(now),
                       f"budget.{name}.using": allocation.in_use}
        gauges |= {f"budget.{event}": count for event, count in claimant.counts.items()}
        return gauges | (self.allocator.metrics(now) if self.allocator is not None else {})
