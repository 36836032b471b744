"""The allocator: the process that divides the budgets while it holds the lease `budgets`."""
from __future__ import annotations

from collections.abc import Iterable

from ..leases.parameters import LeaseParameters
from .budget_allocator import BudgetAllocator, ProcessKey
from .messages import MAX_ROWS, Claim, Grant, Grants
from .parameters import Budget


class Allocator:
    """Divides every budget of the plan, each with its own accounts.

    `epoch` is the ballot of the allocator's lease. The caller must check that the lease is still held before it sends
    an answer.
    """

    def __init__(self, budgets: Iterable[Budget], parameters: LeaseParameters, epoch: int, now: int) -> None:
        self.epoch = epoch
        self.budget_allocators = {budget.name: BudgetAllocator(budget, parameters, now) for budget in budgets}

    def handle_claim(self, process: ProcessKey, claim: Claim, now: int) -> Grants | None:
        """Returns the grants that answer a claim, or None if no row of it can be answered."""
        grants: list[Grant] = []
        for row in claim.rows:
            allocator = self.budget_allocators.get(row.name)
            units = allocator.handle_claim(process, row, claim.request_id, now) if allocator is not None else None
            if units is not None:
                grants.append(Grant(row.name, units))
        return Grants(claim.request_id, self.epoch, grants) if grants else None

    def unsolicited_grants(self, now: int) -> list[tuple[ProcessKey, Grants]]:
        """Returns the grants to send without a new claim, for all budgets."""
        grants: dict[tuple[ProcessKey, int], list[Grant]] = {}
        for name, allocator in self.budget_allocators.items():
            for process, request_id, units in allocator.unsolicited_grants(now):
                grants.setdefault((process, request_id), []).append(Grant(name, units))
        return [(process, Grants(request_id, self.epoch, rows[:MAX_ROWS]))
                for (process, request_id), rows in grants.items()]

    def metrics(self, now: int) -> dict[str, float]:
        """Returns the gauges of each budget, by metric name."""
        return {f"budget.{name}.{metric}": value for name, allocator in self.budget_allocators.items()
                for metric, value in (("free", allocator.free(now)), ("unknown", allocator.unaccounted(now)),
                                      ("accounts", len(allocator.accounts)))}
