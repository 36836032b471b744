"""The part of the fleet's calls that this instance may make, brought to the module as a bound, and what it uses back.

Asked under the driver's lock; what the treasury says is read whole and without a lock. A part that ends is
told before the next decision, not at the next tick: a process that slept goes by nothing that ended meanwhile.
"""
from __future__ import annotations

from ..control import Control
from ..decisions.budgets.holding import at
from ..decisions.budgets.share import Use
from ..fleet.treasury import Treasury
from ..policy.buckets import CALLING, WAITING

LEAST = 0.25  # of its part that the limit on calls does not go below
BOUND = 0.9  # of its part that the limit must allow for what waits to wait for the part
SHUT = 200_000  # microseconds without a call, told anew at each tick
NOTHING = 0.001


class Allotment:
    def __init__(self, treasury: Treasury, budget: str) -> None:
        self.treasury, self.budget = treasury, budget
        self.adopted, self.waiting = 0, 0
        self.share, self.weight, self.shut = 1.0, 1.0, False
        self.most = 0.0  # as last told

    def tick(self, control: Control, share: float, now: int) -> int:
        """`share`: of its part that a cold instance may use. Returns when what was told ends."""
        self.share = share
        waits = [rpc.method.criticality for line in control.waits for _, _, rpc in line if rpc.place == WAITING]
        if waits:
            self.weight = max(1e-3, sum(waits) / len(waits))
        # what waits for the limit that the module learned would wait as well with a greater part
        self.waiting = len(waits) if control.below.value >= BOUND * self.adopted or not self.adopted else 0
        return self.bind(control, now)

    def bind(self, control: Control, now: int) -> int:
        """The bounds, and the word that they are gone by: said first, and taken back where they were just changed,
        so that whoever gives our part away never reads an older word."""
        while True:
            steps = self.treasury.steps[self.budget]
            self.adopted = part = at(steps, now)
            using = control.places[CALLING] + len(control.lingering)
            self.treasury.uses = self.treasury.uses | {
                self.budget: Use(part, using, self.waiting, self.weight)}
            if self.treasury.steps[self.budget] is steps:
                break
        if part < 1:
            control.below.bound(NOTHING, NOTHING)
            control.next_call = max(control.next_call, now + SHUT)
            self.shut = True
        else:
            if self.shut:
                control.next_call, self.shut = now, False
            most = max(1.0, float(int(part * self.share)))
            # what the limit has learned is a share of the part: a part that grows is there to be used at once
            learned = min(1.0, control.below.value / self.most) if self.most else 1.0
            control.below.bound(max(1.0, LEAST * most), most)
            control.below.value = max(control.below.value, learned * most)
            self.most = most
        return min(until for until, _ in steps if now < until)
