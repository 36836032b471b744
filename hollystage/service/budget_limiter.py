"""Applies this instance's allocation of the fleet's calls to the call limit, and reports the usage.

Called under the driver's lock. The tables of the budget endpoint need no lock, since each is replaced as a whole.
An expired allocation is replaced before the next decision, not at the next tick, so that a process that was
suspended never acts on an allocation that expired meanwhile.
"""
from __future__ import annotations

from ..control import Control
from ..decisions.budgets.allocation import units_at
from ..decisions.budgets.claimant import Usage
from ..fleet.budget_endpoint import BudgetEndpoint
from ..policy.buckets import CALLING, WAITING

MIN_LIMIT_SHARE = 0.25  # lower bound of the call limit as a share of the allocation
BUDGET_BOUND_SHARE = 0.9  # share of the allocation; RPCs that wait under a lower call limit are not counted as demand
NEVER = 1 << 62  # a time, microseconds; an allocation of nothing allows no call, however long no tick comes
CLOSED_LIMIT = 0.001  # calls; both bounds of the call limit while there is no allocation


class BudgetLimiter:
    """Bounds the call limit of a decision module by the allocation of one budget."""

    def __init__(self, endpoint: BudgetEndpoint, budget: str) -> None:
        self.endpoint, self.budget = endpoint, budget
        self.applied_limit, self.waiting = 0, 0
        self.ramp_share, self.weight, self.closed = 1.0, 1.0, False
        self.max_calls = 0.0  # upper bound applied last

    def tick(self, control: Control, share: float, now: int) -> int:
        """Measures the demand and applies the allocation.

        `share`: share of the allocation that a cold instance may use. Returns the time at which the limit expires.
        """
        self.ramp_share = share
        waiting = [rpc.method.criticality for queue in control.call_queues for _, _, rpc in queue
                   if rpc.state == WAITING]
        if waiting:
            self.weight = max(1e-3, sum(waiting) / len(waiting))
        # RPCs that wait because the learned limit is lower would not be helped by a larger allocation
        self.waiting = (len(waiting) if control.call_limit.value >= BUDGET_BOUND_SHARE * self.applied_limit
                        or not self.applied_limit else 0)
        return self.update_limit(control, now)

    def update_limit(self, control: Control, now: int) -> int:
        """Applies the current allocation and returns the time at which it expires.

        The applied limit is published before it takes effect, and again if the allocation was replaced meanwhile, so
        that the claimant never gives units away on the basis of an outdated applied limit.
        """
        while True:
            steps = self.endpoint.steps[self.budget]
            self.applied_limit = units = units_at(steps, now)
            in_use = control.state_counts[CALLING] + len(control.lingering_calls)
            self.endpoint.uses = self.endpoint.uses | {
                self.budget: Usage(units, in_use, self.waiting, self.weight)}
            if self.endpoint.steps[self.budget] is steps:
                break
        if units < 1:
            control.call_limit.set_bounds(CLOSED_LIMIT, CLOSED_LIMIT)
            control.next_call_at = NEVER
            self.closed = True
        else:
            if self.closed:
                control.next_call_at, self.closed = now, False
            max_calls = max(1.0, float(int(units * self.ramp_share)))
            # the limit is learned as a share of the allocation: a larger allocation is usable at once
            learned = min(1.0, control.call_limit.value / self.max_calls) if self.max_calls else 1.0
            control.call_limit.set_bounds(max(1.0, MIN_LIMIT_SHARE * max_calls), max_calls)
            control.call_limit.value = max(control.call_limit.value, learned * max_calls)
            self.max_calls = max_calls
        return min(end for end, _ in steps if now < end)
