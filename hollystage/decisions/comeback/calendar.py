"""Promised retry times: a slot is reserved for each caller that is told when to retry.

An RPC that is rejected for lack of capacity is promised the first time at which capacity is likely and not yet
promised to another caller. Only a part of the throughput is promised; the rest serves first attempts. An RPC that
arrives at its promised time precedes others of its kind. All times are in microseconds.
"""
from __future__ import annotations

from collections import OrderedDict

SLOT = 20_000
GIVEN, LEAST, MOST_GIVEN = 0.3, 0.05, 0.4  # share of the throughput that may be promised in advance
UP, DOWN = 0.002, 0.05  # change of that share at a kept and at a broken promise; balances at one broken in 25
EARLY, LATE = 10_000, 100_000  # how far from its promised time a caller may arrive
MOST = 8_192


class Calendar:
    """Reserves time slots for retries and recognizes the callers that arrive at their promised time.

    No promise is further ahead than `max_delay`. `rate` is the throughput of the instance in RPCs per second.
    """

    def __init__(self, longest: int) -> None:
        self.longest = longest
        self.rate, self.given = 0.0, GIVEN
        self.slots: dict[int, float] = {}  # promised RPCs by slot number
        self.promises: OrderedDict[tuple[int, int], int] = OrderedDict()  # promised time by caller and method
        self.told = self.kept = self.broken = self.late = self.without = 0

    def learn(self, rate: float, now: int) -> None:
        """Sets the throughput, and forgets slots and promises of the past."""
        self.rate = rate
        current = now // SLOT
        for number in [number for number in self.slots if number < current]:
            del self.slots[number]
        while self.promises and next(iter(self.promises.values())) < now - self.longest - LATE:
            self.promises.popitem(last=False)

    def promise(self, caller: int, method: int, now: int, latest: int) -> int:
        """Promises a retry time. Returns the delay until then; 0 if no capacity is free before `latest`.

        >>> calendar = Calendar(1_000_000)
        >>> calendar.learn(100.0, 0)
        >>> [calendar.promise(n, 0, 0, 100_000) for n in range(6)]
        [40000, 80000, 0, 0, 0, 0]
        """
        capacity = self.rate * self.given * SLOT / 1e6
        first, last = now // SLOT + 1, min(now + self.longest, latest) // SLOT
        available = 0.0
        for number in range(first, last + 1):
            # the capacity of a slot may be below one RPC: what earlier slots left unused is added up
            promised = self.slots.get(number, 0.0)
            available = min(1.0 + capacity, max(0.0, available + capacity - promised))
            if available >= 1.0:
                self.slots[number] = promised + 1.0
                due = number * SLOT
                key = (caller, method)
                self.promises.pop(key, None)
                self.promises[key] = due
                if len(self.promises) > MOST:
                    self.promises.popitem(last=False)
                self.told += 1
                return due - now
        self.without += 1
        return 0

    def came(self, caller: int, method: int, now: int) -> bool:
        """Returns whether the caller was promised a time about now; the promise is used up then."""
        due = self.promises.get((caller, method))
        if due is None or now < due - EARLY:
            return False
        del self.promises[caller, method]
        if now > due + LATE:
            self.late += 1
            return False
        self.kept += 1
        self.given = min(MOST_GIVEN, self.given + UP)
        return True

    def broke(self) -> None:
        """Reports that an RPC was rejected although it arrived at its promised time: too much was promised."""
        self.broken += 1
        self.given = max(LEAST, self.given - DOWN)
