"""One process's units of one budget: what it may use now, what counts as committed, and what it lends and borrows.

The decision module uses the units. It applies a new limit with a delay; until it reports the new limit
(`applied_limit`), the earlier limit counts as committed.
"""
from __future__ import annotations

from ..leases.parameters import LeaseParameters
from .parameters import Budget, floor_delay

Steps = tuple[tuple[int, int], ...]  # (end, units): the units allowed until each end; the last step never ends
FOREVER = 1 << 62  # microseconds; a time that is never reached


class Allocation:
    """A process's units of one budget: its grant, its floor, and loans given and taken."""

    def __init__(self, budget: Budget, parameters: LeaseParameters, started_at: int) -> None:
        self.budget, self.parameters = budget, parameters
        self.granted_units = self.granted_until = 0
        # an earlier process of the same name may still use its floor or have lent it
        self.floor_available_at = started_at + floor_delay(budget, parameters)
        self.suspended = False  # true while another process has the same name; nothing may be used then
        self.in_use = self.applied_limit = 0  # both from the decision module's last report
        self.loans_given: list[tuple[int, int]] = []  # (end of the longest use that may follow the loan, units)
        self.loans_taken: list[tuple[int, int]] = []  # (end of the loan, units)

    def floor(self, now: int) -> int:
        """Returns the units that need no grant."""
        return self.budget.floor if now >= self.floor_available_at and not self.suspended else 0

    def own(self, now: int) -> int:
        """Returns the units of the grant or the floor, without loans."""
        return max(self.granted_units if now < self.granted_until and not self.suspended else 0, self.floor(now))

    def lent_units(self, now: int) -> int:
        """Returns the units lent to others, and drops expired loans."""
        self.loans_given = [loan for loan in self.loans_given if now < loan[0]]
        return sum(units for _, units in self.loans_given)

    def borrowed_units(self, now: int) -> int:
        """Returns the units borrowed from others, and drops expired loans."""
        self.loans_taken = [loan for loan in self.loans_taken if now < loan[0]]
        return sum(units for _, units in self.loans_taken)

    def usable(self, now: int) -> int:
        """Returns how many units may be in use at once."""
        return max(0, self.own(now) - self.lent_units(now) + (0 if self.suspended else self.borrowed_units(now)))

    def committed(self, now: int) -> int:
        """Returns the most units that may be in use on this process's account from now on if no answer arrives."""
        return max(self.own(now), max(self.in_use, self.applied_limit) + self.lent_units(now))

    def steps(self, now: int) -> Steps:
        """Returns the units allowed over time if no message arrives, for a component that applies them by itself."""
        ends = sorted({
            end for end in (self.granted_until if self.granted_units else 0, *(end for end, _ in self.loans_taken))
            if end > now})
        steps: list[tuple[int, int]] = []
        units, start = self.usable(now), now
        for end in ends:
            steps.append((end, min(units, self._usable_later(start))))
            start = end
        return (*steps, (FOREVER, min(units, self._usable_later(start))))

    def _usable_later(self, time: int) -> int:
        """Returns the units usable at a later time, without those that become free at the end of loans given.

        `steps` limits the result to the units usable now, so a floor that becomes available later does not count.
        """
        own = max(self.granted_units if time < self.granted_until and not self.suspended else 0, self.floor(time))
        borrowed = 0 if self.suspended else sum(units for end, units in self.loans_taken if time < end)
        return max(0, own - sum(units for _, units in self.loans_given) + borrowed)

    def apply_grant(self, units: int, requested_at: int) -> None:
        """Applies the answer to the claim that was sent at `requested_at`."""
        self.granted_units, self.granted_until = units, requested_at + self.parameters.holder_duration

    def lend(self, units: int, now: int) -> tuple[int, int]:
        """Sets up to `units` units aside for a loan, at most half of the idle ones (rounded up).

        Returns the units lent and their duration by this clock. The loan may be sent only after `may_send_loan`
        returns true: until then the decision module may still use the units.
        """
        idle = self.usable(now) - self.in_use - self.borrowed_units(now)
        units = min(units, idle - idle // 2)
        if units <= 0 or self.suspended:
            return 0, 0
        # without a grant the units are of the floor, which does not expire: they are lent for one grant duration
        remaining = self.granted_until - now if now < self.granted_until else self.parameters.duration
        self.loans_given.append((now + remaining + self.parameters.safe_wait(self.budget.max_use_duration), units))
        return units, remaining

    def may_send_loan(self, now: int) -> bool:
        """Returns whether the reported use and the applied limit no longer include units set aside for loans."""
        return max(self.in_use, self.applied_limit) <= self.usable(now)

    def add_borrowed(self, units: int, remaining: int, requested_at: int) -> None:
        """Adds a loan. `remaining` is its duration by the lender's clock."""
        self.loans_taken.append((requested_at + self.parameters.usable_duration(remaining), units))


def units_at(steps: Steps, now: int) -> int:
    """Returns the units that a list of steps allows now.

    >>> units_at(((100, 8), (FOREVER, 1)), 99), units_at(((100, 8), (FOREVER, 1)), 100)
    (8, 1)
    """
    return next(units for end, units in steps if now < end)
