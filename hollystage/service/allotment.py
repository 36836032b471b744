"""Applies this instance's allocation of the fleet's calls to the call limit, and reports the usage.

Called under the driver's lock. The tables of the budget endpoint are read whole and without a lock. An expired
allocation is replaced before the next decision, not at the next tick, so that a process that was suspended never acts
on an allocation that expired meanwhile.
"""
from __future__ import annotations

from ..control import Control
from ..decisions.budgets.holding import at
from ..decisions.budgets.share import Use
from ..fleet.treasury import Treasury
from ..policy.buckets import CALLING, WAITING

LEAST = 0.25  # lower bound of the call limit as a share of the allocation
BOUND = 0.9  # share of the allocation from which on waiting RPCs wait for the budget, not for the limit
SHUT = 200_000  # microseconds for which calls are postponed without an allocation, renewed at each tick
NOTHING = 0.001  # bound of the call limit without an allocation


class Allotment:
    """Bounds the call limit of a decision module by the allocation of one budget."""

    def __init__(self, endpoint: Treasury, budget: str) -> None:
        self.treasury, self.budget = endpoint, budget
        self.adopted, self.waiting = 0, 0
        self.share, self.weight, self.shut = 1.0, 1.0, False
        self.most = 0.0  # upper bound applied last

    def tick(self, control: Control, share: float, now: int) -> int:
        """Measures the demand and applies the allocation.

        `share`: share of the allocation that a cold instance may use. Returns the time at which the limit expires.
        """
        self.share = share
        waiting = [rpc.method.criticality for queue in control.waits for _, _, rpc in queue if rpc.place == WAITING]
        if waiting:
            self.weight = max(1e-3, sum(waiting) / len(waiting))
        # RPCs that wait because the learned limit is lower would not be helped by a larger allocation
        self.waiting = len(waiting) if control.below.value >= BOUND * self.adopted or not self.adopted else 0
        return self.bind(control, now)

    def bind(self, control: Control, now: int) -> int:
        """Applies the current allocation and returns the time at which it expires.

        The applied limit is published before it takes effect, and again if the allocation was replaced meanwhile, so
        that the claimant never gives units away on the basis of an outdated applied limit.
        """
        while True:
            steps = self.treasury.steps[self.budget]
            self.adopted = units = at(steps, now)
            in_use = control.places[CALLING] + len(control.lingering)
            self.treasury.uses = self.treasury.uses | {
                self.budget: Use(units, in_use, self.waiting, self.weight)}
            if self.treasury.steps[self.budget] is steps:
                break
        if units < 1:
            control.below.bound(NOTHING, NOTHING)
            control.next_call = max(control.next_call, now + SHUT)
            self.shut = True
        else:
            if self.shut:
                control.next_call, self.shut = now, False
            max_calls = max(1.0, float(int(units * self.share)))
            # the limit is learned as a share of the allocation: a larger allocation is usable at once
            learned = min(1.0, control.below.value / self.most) if self.most else 1.0
            control.below.bound(max(1.0, LEAST * max_calls), max_calls)
            control.below.value = max(control.below.value, learned * max_calls)
            self.most = max_calls
        return min(end for end, _ in steps if now < end)
