"""One process's part of one budget: what it may use now, what it must count as held, and what it lends and borrows.

What runs by the part is another's (the decision module), which is told bounds and goes by them some moments later:
until it says so (`adopted`), what it was told before counts as held.
"""
from __future__ import annotations

from ..leases.terms import Terms
from .terms import Budget, floor_after

Steps = tuple[tuple[int, int], ...]  # until when it may use how much; the last for ever
EVER = 1 << 62


class Holding:
    def __init__(self, budget: Budget, terms: Terms, born: int) -> None:
        self.budget, self.terms = budget, terms
        self.part = self.ends = 0
        # an earlier process of our name may still use or have lent its floor
        self.floor_from = born + floor_after(budget, terms)
        self.barred = False  # another process has our name
        self.using = self.adopted = 0  # as they were at one moment
        self.lent: list[tuple[int, int]] = []  # until when it counts as ours to answer for, units
        self.borrowed: list[tuple[int, int]] = []  # until when we may use it, units

    def floor(self, now: int) -> int:
        return self.budget.floor if now >= self.floor_from and not self.barred else 0

    def own(self, now: int) -> int:
        return max(self.part if now < self.ends and not self.barred else 0, self.floor(now))

    def lends(self, now: int) -> int:
        self.lent = [row for row in self.lent if now < row[0]]
        return sum(units for _, units in self.lent)

    def borrows(self, now: int) -> int:
        self.borrowed = [row for row in self.borrowed if now < row[0]]
        return sum(units for _, units in self.borrowed)

    def usable(self, now: int) -> int:
        """How many uses there may be at once."""
        return max(0, self.own(now) - self.lends(now) + (0 if self.barred else self.borrows(now)))

    def held(self, now: int) -> int:
        """The most that may be in use on our account from now on, if no answer comes."""
        return max(self.own(now), max(self.using, self.adopted) + self.lends(now))

    def steps(self, now: int) -> Steps:
        """What may be used until when, if nothing is heard from here on; for whoever goes by it without asking."""
        ends = sorted({at for at in (self.ends if self.part else 0, *(at for at, _ in self.borrowed)) if at > now})
        found: list[tuple[int, int]] = []
        value, at = self.usable(now), now
        for until in ends:
            found.append((until, min(value, self._later(at))))
            at = until
        return (*found, (EVER, min(value, self._later(at))))

    def _later(self, at: int) -> int:
        """Usable at a later time; a floor that is yet to come and loans that are yet to end are not counted on."""
        own = max(self.part if at < self.ends and not self.barred else 0, self.floor(at))
        borrowed = 0 if self.barred else sum(units for until, units in self.borrowed if at < until)
        return max(0, own - sum(units for _, units in self.lent) + borrowed)

    def granted(self, part: int, asked_at: int) -> None:
        """An answer to the question that was asked then."""
        self.part, self.ends = part, asked_at + self.terms.holds

    def lend(self, units: int, now: int) -> tuple[int, int]:
        """Sets up to `units` aside; what was lent, and for how long by our clock. The loan may be told only once
        `adopted` shows that nobody goes by more than is left."""
        idle = self.usable(now) - self.using - self.borrows(now)
        units = min(units, idle - idle // 2)
        if units <= 0 or self.barred:
            return 0, 0
        left = self.ends - now if now < self.ends else self.terms.length
        self.lent.append((now + left + self.terms.surely(self.budget.use), units))
        return units, left

    def may_tell(self, now: int) -> bool:
        return max(self.using, self.adopted) <= self.usable(now)

    def took(self, units: int, left: int, asked_at: int) -> None:
        self.borrowed.append((asked_at + self.terms.lasts(left), units))


def at(steps: Steps, now: int) -> int:
    """What may be used now, by what was told.

    >>> at(((100, 8), (EVER, 1)), 99), at(((100, 8), (EVER, 1)), 100)
    (8, 1)
    """
    return next(units for until, units in steps if now < until)
