"""Connects the budget decisions with the agent: addresses for process names, and limits that are read without a lock.

The driver reads `steps` and replaces `uses`, each as a whole and without a lock. Everything else is called by the
agent under `Agent.lock`.
"""
from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.budgets.allocation import Steps
from ..decisions.budgets.claimant import Usage
from ..decisions.budgets.messages import Outgoing
from ..decisions.budgets.participant import Participant
from ..decisions.leases.messages import ProcessId
from ..decisions.membership.members import Members
from ..decisions.membership.records import Record
from .codec import CoordinationMessage

POLL_INTERVAL_US = 20_000  # between reports of what is in use


class BudgetEndpoint:
    """Handles the lease and budget messages of this process.

    `steps`: the units that may be used, by budget, as a step function of time. `uses`: the units that the decision
    module uses, by budget. `clock` (microseconds) is read for each message: an answer under a lease that has just
    ended must not be sent.
    """

    def __init__(self, participant: Participant, clock: Callable[[], int]) -> None:
        self.participant, self.clock = participant, clock
        self.uses: dict[str, Usage] = {}
        self.steps: dict[str, Steps] = {}
        self.next_at = 0
        self.addresses: dict[str, str] = {}
        self._publish(clock())

    def receive(self, sender: Record, message: CoordinationMessage) -> list[tuple[str, CoordinationMessage]]:
        """Handles a message; returns messages to be sent, with their addresses."""
        now = self.clock()
        self.addresses[sender.name] = sender.address
        self._report_usage()
        outgoing = self.participant.receive(ProcessId(sender.name, sender.birth), message, now)
        self._publish(now)
        return self._resolve_addresses(outgoing)

    def tick(self, members: Members) -> list[tuple[str, CoordinationMessage]]:
        """Does the work that is due; returns messages to be sent, with their addresses."""
        now = self.clock()
        if now < self.next_at:
            return []
        self._report_usage()
        self.participant.claimant.set_suspended(members.ousted)
        self.addresses = {name: record.address for name, record in members.records.items()}
        outgoing = self.participant.tick(members.living, now)
        self._publish(now)
        self.next_at = min(now + POLL_INTERVAL_US, max(now + 1_000, self.participant.next_at))
        return self._resolve_addresses(outgoing)

    def leave(self, members: Members) -> list[tuple[str, CoordinationMessage]]:
        """Releases the allocator's lease; returns messages to be sent. Units stay in use until the process ends."""
        self.addresses = {name: record.address for name, record in members.records.items()}
        return self._resolve_addresses(self.participant.leave(self.clock()))

    def _report_usage(self) -> None:
        for name, usage in self.uses.items():
            self.participant.claimant.report_usage(name, usage)

    def _publish(self, now: int) -> None:
        allocations = self.participant.claimant.allocations
        self.steps = {name: allocation.steps(now) for name, allocation in allocations.items()}

    def _resolve_addresses(self, messages: list[Outgoing]) -> list[tuple[str, CoordinationMessage]]:
        """Replaces names by addresses.

        Messages to processes of unknown address are dropped, like lost datagrams; claims and lease requests are
        sent again later.
        """
        return [(self.addresses[recipient], payload) for recipient, payload in messages
                if recipient in self.addresses]

    def table(self, name: str) -> dict[str, Any] | None:
        """The table `budgets` or, on a voter, `leases`, for an operator; None for any other name."""
        now, participant = self.clock(), self.participant
        claimant, voter_table = participant.claimant, participant.voter_table
        if name == "budgets":
            return {"me": participant.me.name, "divider": claimant.allocator_name, "epoch": claimant.epoch,
                    "divides": participant.allocator is not None,
                    "budgets": [{"name": budget, "part": allocation.own(now), "usable": allocation.usable(now),
                                 "held": allocation.committed(now), "using": allocation.in_use,
                                 "lent": allocation.lent_units(now), "borrowed": allocation.borrowed_units(now),
                                 "floor": allocation.floor(now),
                                 "left_ms": max(0, allocation.granted_until - now) // 1000}
                                for budget, allocation in claimant.allocations.items()],
                    "counts": claimant.counts}
        if name == "leases" and voter_table is not None:
            return {"me": participant.me.name, "leases": [
                {"name": lease, "holder": holder.name if (holder := voter.holder(now)) is not None else None,
                 "number": voter.granted[0] if voter.granted is not None else None,
                 "left_ms": max(0, voter.granted_until - now) // 1000}
                for lease, voter in voter_table.voters.items()]}
        return None

    def metrics(self) -> dict[str, float]:
        """Gauges of all budgets."""
        return self.participant.metrics(self.clock())
