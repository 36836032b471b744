"""Times to come back that are kept: a place is set aside for whoever is told one.

What is pushed back for want of a place is told the first time at which one is likely free that nobody else was told.
Only a part of what the instance gets done is given away so; the rest is for those who come for the first time. One
that comes when it was told goes before others of its kind. All times are microseconds.
"""
from __future__ import annotations

from collections import OrderedDict

SLOT = 20_000  # a slot's width
GIVEN, LEAST, MOST_GIVEN = 0.3, 0.05, 0.4  # share of what the instance gets done that is given away beforehand
UP, DOWN = 0.002, 0.05  # its steps at a promise that is kept, and at one that is not: in the mean one in 25 breaks
EARLY, LATE = 10_000, 100_000  # so far off its time a caller may come and still count as having come when told
MOST = 8_192  # promises that are remembered


class Calendar:
    """`rate`: RPCs a second that the instance gets done, as it is told by `learn`."""

    def __init__(self, longest: int) -> None:
        self.longest = longest
        self.rate, self.given = 0.0, GIVEN
        self.slots: dict[int, float] = {}  # places given away, by the slot's number
        self.promises: OrderedDict[tuple[int, int], int] = OrderedDict()  # the time told, by caller and method
        self.told = self.kept = self.broken = self.late = self.without = 0

    def learn(self, rate: float, now: int) -> None:
        self.rate = rate
        past = now // SLOT
        for number in [number for number in self.slots if number < past]:
            del self.slots[number]
        while self.promises and next(iter(self.promises.values())) < now - self.longest - LATE:
            self.promises.popitem(last=False)

    def promise(self, caller: int, method: int, now: int, latest: int) -> int:
        """How long it is to keep away; 0 where no place is free before `latest`.

        >>> calendar = Calendar(1_000_000)
        >>> calendar.learn(100.0, 0)
        >>> [calendar.promise(n, 0, 0, 100_000) for n in range(6)]
        [40000, 80000, 0, 0, 0, 0]
        """
        room = self.rate * self.given * SLOT / 1e6
        first, last = now // SLOT + 1, min(now + self.longest, latest) // SLOT
        carried = 0.0
        for number in range(first, last + 1):
            # under one place a slot: what earlier slots left is added up
            taken = self.slots.get(number, 0.0)
            carried = min(1.0 + room, max(0.0, carried + room - taken))
            if carried >= 1.0:
                self.slots[number] = taken + 1.0
                at = number * SLOT
                key = (caller, method)
                self.promises.pop(key, None)
                self.promises[key] = at
                if len(self.promises) > MOST:
                    self.promises.popitem(last=False)
                self.told += 1
                return at - now
        self.without += 1
        return 0

    def came(self, caller: int, method: int, now: int) -> bool:
        """Whether it was told to come about now; its place is used up then."""
        at = self.promises.get((caller, method))
        if at is None or now < at - EARLY:
            return False
        del self.promises[caller, method]
        if now > at + LATE:
            self.late += 1
            return False
        self.kept += 1
        self.given = min(MOST_GIVEN, self.given + UP)
        return True

    def broke(self) -> None:
        """One that came when it was told was pushed back all the same: more was given away than there is."""
        self.broken += 1
        self.given = max(LEAST, self.given - DOWN)
