"""One process's units of one budget: what it may use now, what counts as committed, and what it lends and borrows.

The units are used by another component (the decision module), which is told its limit and applies it some moments
later. Until it reports the new limit (`applied_limit`), the limit it was told before counts as committed.
"""
from __future__ import annotations

from ..leases.terms import Terms
from .terms import Budget, floor_after

Steps = tuple[tuple[int, int], ...]  # (end, units): the units allowed until each end; the last step never ends
EVER = 1 << 62


class Holding:
    """A process's units of one budget: its grant, its floor, and loans given and taken."""

    def __init__(self, budget: Budget, terms: Terms, started_at: int) -> None:
        self.budget, self.terms = budget, terms
        self.part = self.ends = 0
        # an earlier process of the same name may still use its floor or have lent it
        self.floor_from = started_at + floor_after(budget, terms)
        self.barred = False  # another process has the same name
        self.using = self.adopted = 0  # both as they were at the same moment
        self.lent: list[tuple[int, int]] = []  # (end of the time that they count as used by this process, units)
        self.borrowed: list[tuple[int, int]] = []  # (end of the time that they may be used, units)

    def floor(self, now: int) -> int:
        """Returns the units that need no grant."""
        return self.budget.floor if now >= self.floor_from and not self.barred else 0

    def own(self, now: int) -> int:
        """Returns the units of the grant or the floor, without loans."""
        return max(self.part if now < self.ends and not self.barred else 0, self.floor(now))

    def lends(self, now: int) -> int:
        """Returns the units lent to others, and drops expired loans."""
        self.lent = [loan for loan in self.lent if now < loan[0]]
        return sum(units for _, units in self.lent)

    def borrows(self, now: int) -> int:
        """Returns the units borrowed from others, and drops expired loans."""
        self.borrowed = [loan for loan in self.borrowed if now < loan[0]]
        return sum(units for _, units in self.borrowed)

    def usable(self, now: int) -> int:
        """Returns how many units may be in use at once."""
        return max(0, self.own(now) - self.lends(now) + (0 if self.barred else self.borrows(now)))

    def held(self, now: int) -> int:
        """Returns the most units that may be in use on this process's account from now on if no answer arrives."""
        return max(self.own(now), max(self.using, self.adopted) + self.lends(now))

    def steps(self, now: int) -> Steps:
        """Returns the units allowed over time if no message arrives, for a component that applies them by itself."""
        ends = sorted({end for end in (self.ends if self.part else 0, *(end for end, _ in self.borrowed))
                       if end > now})
        found: list[tuple[int, int]] = []
        units, start = self.usable(now), now
        for end in ends:
            found.append((end, min(units, self._later(start))))
            start = end
        return (*found, (EVER, min(units, self._later(start))))

    def _later(self, time: int) -> int:
        """Returns the units usable at a later time, without a floor yet to become available or loans yet to end."""
        own = max(self.part if time < self.ends and not self.barred else 0, self.floor(time))
        borrowed = 0 if self.barred else sum(units for end, units in self.borrowed if time < end)
        return max(0, own - sum(units for _, units in self.lent) + borrowed)

    def granted(self, units: int, requested_at: int) -> None:
        """Applies the answer to the claim that was sent at `requested_at`."""
        self.part, self.ends = units, requested_at + self.terms.holds

    def lend(self, units: int, now: int) -> tuple[int, int]:
        """Sets up to `units` units aside for a loan. Returns the units lent and their duration by this clock.

        The loan may be sent only after `applied_limit` shows that no use exceeds what is left.
        """
        idle = self.usable(now) - self.using - self.borrows(now)
        units = min(units, idle - idle // 2)
        if units <= 0 or self.barred:
            return 0, 0
        remaining = self.ends - now if now < self.ends else self.terms.length
        self.lent.append((now + remaining + self.terms.surely(self.budget.use), units))
        return units, remaining

    def may_tell(self, now: int) -> bool:
        """Returns whether the reported use and limit no longer include units set aside for loans."""
        return max(self.using, self.adopted) <= self.usable(now)

    def took(self, units: int, remaining: int, requested_at: int) -> None:
        """Adds a loan. `remaining` is its duration by the lender's clock."""
        self.borrowed.append((requested_at + self.terms.lasts(remaining), units))


def at(steps: Steps, now: int) -> int:
    """Returns the units that a list of steps allows now.

    >>> at(((100, 8), (EVER, 1)), 99), at(((100, 8), (EVER, 1)), 100)
    (8, 1)
    """
    return next(units for end, units in steps if now < end)
