"""Connects the budget decisions with the agent: addresses for process names, and limits that are read without a lock.

The driver reads `steps` and replaces `uses`, each as a whole and without a lock. Everything else is called by the
agent under `Agent.lock`.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.budgets.holding import Steps
from ..decisions.budgets.office import Office
from ..decisions.budgets.share import Use
from ..decisions.budgets.words import Message
from ..decisions.leases.words import Who
from ..decisions.membership.members import Members
from ..decisions.membership.records import Record
from .codec import Guest

LOOK = 20_000  # between reports of what is in use


class Treasury:
    """Handles the lease and budget messages of this process.

    `steps` gives the units that may be used, by budget and over time; `uses` what the decision module uses of them.
    `clock` (microseconds) is read for each message: an answer under a lease that has just ended must not be sent.
    """

    def __init__(self, office: Office, clock: Callable[[], int]) -> None:
        self.office, self.clock = office, clock
        self.uses: dict[str, Use] = {}
        self.steps: dict[str, Steps] = {}
        self.next_at = 0
        self.addresses: dict[str, str] = {}
        self._publish(clock())

    def heard(self, sender: Record, word: Guest) -> list[tuple[str, Guest]]:
        """Handles a message; returns messages to be sent, with their addresses."""
        now = self.clock()
        self.addresses[sender.name] = sender.address
        self._look()
        outgoing = self.office.heard(Who(sender.name, sender.birth), word, now)
        self._publish(now)
        return self._addressed(outgoing)

    def tick(self, members: Members) -> list[tuple[str, Guest]]:
        """Does the work that is due; returns messages to be sent, with their addresses."""
        now = self.clock()
        if now < self.next_at:
            return []
        self._look()
        self.office.share.barred(members.ousted)
        self.addresses = {name: record.address for name, record in members.records.items()}
        outgoing = self.office.tick(members.living, now)
        self._publish(now)
        self.next_at = min(now + LOOK, max(now + 1_000, self.office.next_at))
        return self._addressed(outgoing)

    def leave(self, members: Members) -> list[tuple[str, Guest]]:
        """Releases the allocator's lease; units stay in use until the process ends. Returns messages to be sent."""
        self.addresses = {name: record.address for name, record in members.records.items()}
        return self._addressed(self.office.leave(self.clock()))

    def _look(self) -> None:
        for name, usage in self.uses.items():
            self.office.share.used(name, usage)

    def _publish(self, now: int) -> None:
        self.steps = {name: allocation.steps(now) for name, allocation in self.office.share.holdings.items()}

    def _addressed(self, messages: list[Message]) -> list[tuple[str, Guest]]:
        """Replaces names by addresses; drops messages to processes of unknown address, which are repeated later."""
        return [(self.addresses[recipient], payload) for recipient, payload in messages
                if recipient in self.addresses]

    def shown(self, what: str) -> dict[str, Any] | None:
        """The table `budgets` or, on a voter, `leases`, for an operator; None for any other name."""
        now, participant = self.clock(), self.office
        if what == "budgets":
            return {"me": participant.me.name, "divider": participant.share.divider, "epoch": participant.share.epoch,
                    "divides": participant.divider is not None,
                    "budgets": [{"name": name, "part": allocation.own(now), "usable": allocation.usable(now),
                                 "held": allocation.held(now), "using": allocation.using, "lent": allocation.lends(now),
                                 "borrowed": allocation.borrows(now), "floor": allocation.floor(now),
                                 "left_ms": max(0, allocation.ends - now) // 1000}
                                for name, allocation in participant.share.holdings.items()],
                    "counts": participant.share.counts}
        if what == "leases" and participant.booth is not None:
            return {"me": participant.me.name, "leases": [
                {"name": name, "holder": holder.name if (holder := voter.holder(now)) is not None else None,
                 "number": voter.granted[0] if voter.granted is not None else None,
                 "left_ms": max(0, voter.until - now) // 1000} for name, voter in participant.booth.voters.items()]}
        return None

    def figures(self) -> dict[str, float]:
        """Gauges of all budgets."""
        return self.office.figures(self.clock())
