"""The allocator: the process that divides the budgets while it holds the lease `budgets`."""
from __future__ import annotations

from collections.abc import Iterable

from ..leases.terms import Terms
from .purse import Purse, Who
from .terms import Budget
from .words import MOST_ROWS, Claim, Parts, Piece


class Divider:
    """Divides every budget of the plan, each with its own accounts.

    `epoch` is the ballot of the allocator's lease. The caller must check that the lease is still held before it sends
    an answer.
    """

    def __init__(self, budgets: Iterable[Budget], terms: Terms, epoch: int, now: int) -> None:
        self.epoch = epoch
        self.purses = {budget.name: Purse(budget, terms, now) for budget in budgets}

    def claimed(self, process: Who, claim: Claim, now: int) -> Parts | None:
        """Returns the grants that answer a claim, or None if every row of it is outdated."""
        grants: list[Piece] = []
        for row in claim.rows:
            allocator = self.purses.get(row.name)
            units = allocator.claimed(process, row, claim.turn, now) if allocator is not None else None
            if units is not None:
                grants.append(Piece(row.name, units))
        return Parts(claim.turn, self.epoch, grants) if grants else None

    def offers(self, now: int) -> list[tuple[Who, Parts]]:
        """Returns the grants to send without a new claim, for all budgets."""
        grants: dict[tuple[Who, int], list[Piece]] = {}
        for name, allocator in self.purses.items():
            for process, request_id, units in allocator.offers(now):
                grants.setdefault((process, request_id), []).append(Piece(name, units))
        return [(process, Parts(request_id, self.epoch, rows[:MOST_ROWS]))
                for (process, request_id), rows in grants.items()]

    def figures(self, now: int) -> dict[str, float]:
        """Returns the gauges of each budget, by metric name."""
        return {f"budget.{name}.{metric}": value for name, allocator in self.purses.items() for metric, value in (
            ("free", allocator.free(now)), ("unknown", allocator.unknown(now)),
            ("accounts", len(allocator.accounts)))}
