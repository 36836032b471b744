"""Everything that one process does for budgets: it votes on the allocator, may be the allocator, and claims units.

The instance, the simulation in virtual time and the explorer run the same code. Processes are addressed by name;
sending the returned messages is up to the caller.
"""
from __future__ import annotations

from collections.abc import Iterable

from ..leases.seeker import Seeker
from ..leases.terms import Electorate, Terms
from ..leases.voter import Booth
from ..leases.words import Prepare, Propose, Question, Release, Reply, Who
from .divider import Divider
from .share import Share
from .terms import Budget
from .words import Claim, Elsewhere, Message, Word

LEASE = "budgets"
OFFERS = 25_000  # between checks for grants to send without a claim


class Office:
    """One process as voter, candidate, allocator and claimant. Only voters become the allocator.

    `lease_parameters` apply to the allocator's lease, `grant_parameters` to the grants of units.
    """

    def __init__(self, me: Who, budgets: Iterable[Budget], grant_parameters: Terms, period: int,
                 electorate: Electorate, lease_parameters: Terms, seed: int, now: int, boot: int) -> None:
        self.me, self.budgets, self.lending = me, list(budgets), grant_parameters
        is_voter = me.name in electorate.everyone
        self.booth = Booth(lease_parameters, electorate, now, boot) if is_voter else None
        self.seat = (Seeker(lease_parameters, me, electorate, seed, now, boot, LEASE)
                     if me.name in electorate.voters else None)
        self.divider: Divider | None = None
        self.share = Share(self.budgets, grant_parameters, period, me.name, electorate.everyone, seed, now)
        self.offers_at = now
        self.divided = 0  # times that this process became the allocator

    @property
    def next_at(self) -> int:
        """The latest time at which the next `tick` is due."""
        due = [self.share.next_at]
        if self.seat is not None and self.seat.wanted:
            due.append(self.seat.next_at)
        if self.divider is not None:
            due.append(self.offers_at)
        return min(due)

    def tick(self, peers: list[str], now: int) -> list[Message]:
        """Returns the messages that are due. `peers` are the other live processes, as far as is known."""
        out: list[Message] = []
        if self.seat is not None:
            out += [Message(voter, request) for voter, request in self.seat.tick(now)]
        self._seated(now)
        out += self.share.tick(peers, now)
        if self.divider is not None and now >= self.offers_at:
            out += self._offers(self.divider, now)
        return self._at_home(out, now)

    def heard(self, sender: Who, message: Word | Question | Reply, now: int) -> list[Message]:
        """Handles a message and returns the messages that follow from it."""
        return self._at_home(self._taken(sender, message, now), now)

    def leave(self, now: int) -> list[Message]:
        """Gives the lease back before the process ends. The units are kept, they are needed to the end."""
        if self.seat is None:
            return []
        self.seat.wanted = False
        out = [Message(voter, request) for voter, request in self.seat.tick(now)]
        self._seated(now)
        return self._at_home(out, now)

    def _taken(self, sender: Who, message: Word | Question | Reply, now: int) -> list[Message]:
        match message:
            case Prepare() | Propose() | Release():
                reply = self.booth.asked(message, now) if self.booth is not None and message.who == sender else None
                return [Message(sender.name, reply)] if reply is not None else []
            case Reply():
                if self.seat is None or message.lease != LEASE:
                    return []
                out = [Message(voter, request) for voter, request in self.seat.heard(sender.name, message, now)]
                self._seated(now)
                return out
            case Claim():
                return self._claimed(sender, message, now)
            case _:
                return self.share.heard(sender.name, message, now)

    def _seated(self, now: int) -> None:
        """Makes this process the allocator, or ends that, as the lease requires.

        A lease that is acquired again under the same ballot was held by no other process in between, so the allocator
        keeps its accounts.
        """
        held = self.seat is not None and self.seat.held(now)
        if self.seat is None or not held:
            self.divider = None
        elif self.divider is None or self.divider.epoch != self.seat.number:
            self.divider = Divider(self.budgets, self.lending, self.seat.number, now)
            self.divided += 1

    def _claimed(self, sender: Who, claim: Claim, now: int) -> list[Message]:
        self._seated(now)
        if self.divider is not None and self.seat is not None and self.seat.may_act(now, 0):
            grants = self.divider.claimed((sender.name, sender.birth), claim, now)
            return [Message(sender.name, grants)] if grants is not None else []
        holder = None
        if self.booth is not None and LEASE in self.booth.voters:
            holder = self.booth.voters[LEASE].holder(now)
        return [Message(sender.name, Elsewhere(claim.turn, holder.name if holder is not None else ""))]

    def _offers(self, allocator: Divider, now: int) -> list[Message]:
        self.offers_at = now + OFFERS
        if self.seat is None or not self.seat.may_act(now, 0):
            return []
        return [Message(process[0], grants) for process, grants in allocator.offers(now)]

    def _at_home(self, messages: list[Message], now: int) -> list[Message]:
        """Delivers the messages to this process at once, and returns the others."""
        out: list[Message] = []
        while messages:
            message = messages.pop(0)
            if message.to == self.me.name:
                messages += self._taken(self.me, message.word, now)
            else:
                out.append(message)
        return out

    def figures(self, now: int) -> dict[str, float]:
        """Returns the gauges of the budgets, by metric name."""
        claimant, found = self.share, {"budget.divides": float(self.divider is not None)}
        for name, allocation in claimant.holdings.items():
            found |= {f"budget.{name}.part": allocation.own(now), f"budget.{name}.usable": allocation.usable(now),
                      f"budget.{name}.using": allocation.using}
        found |= {f"budget.{event}": count for event, count in claimant.counts.items()}
        return found | (self.divider.figures(now) if self.divider is not None else {})
