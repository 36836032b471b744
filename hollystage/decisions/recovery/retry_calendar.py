"""Promised retry times: capacity is reserved for each caller that gets a time for its retry.

The caller of an RPC that is rejected for lack of capacity is promised the earliest time at which capacity is likely
and not yet promised to another caller. Only a part of the throughput is promised; the rest serves first attempts. An
RPC that arrives at its promised time precedes others of its latency class. All times are in microseconds.
"""
from __future__ import annotations

from collections import OrderedDict

SLOT_WIDTH = 20_000  # microseconds
# share of the throughput that may be promised
INITIAL_PROMISED_SHARE, MIN_PROMISED_SHARE, MAX_PROMISED_SHARE = 0.3, 0.05, 0.4
# changes of that share at a kept and at a broken promise; they balance at one broken promise in about 25
SHARE_INCREASE, SHARE_DECREASE = 0.002, 0.05
EARLY_TOLERANCE, LATE_TOLERANCE = 10_000, 100_000  # microseconds by which a caller may miss its promised time
MAX_PROMISES = 8_192  # stored promises


class RetryCalendar:
    """Promises retry times and recognizes the callers that arrive at theirs.

    No promise is further ahead than `max_delay`. `rate` is the throughput of the instance in RPCs per second.
    """

    def __init__(self, max_delay: int) -> None:
        self.max_delay = max_delay
        self.rate, self.promised_share = 0.0, INITIAL_PROMISED_SHARE
        self.slots: dict[int, float] = {}  # promised RPCs by slot number
        self.promises: OrderedDict[tuple[int, int], int] = OrderedDict()  # promised time by caller and method
        self.issued = self.kept = self.broken = self.late = self.unavailable = 0

    def update_rate(self, rate: float, now: int) -> None:
        """Sets the throughput, and deletes slots and promises of the past."""
        self.rate = rate
        current = now // SLOT_WIDTH
        for number in [number for number in self.slots if number < current]:
            del self.slots[number]
        while self.promises and next(iter(self.promises.values())) < now - self.max_delay - LATE_TOLERANCE:
            self.promises.popitem(last=False)

    def promise(self, caller: int, method: int, now: int, latest: int) -> int:
        """Promises a retry time. Returns the delay until then; 0 if no capacity is free before `latest`.

        >>> calendar = RetryCalendar(1_000_000)
        >>> calendar.update_rate(100.0, 0)
        >>> [calendar.promise(n, 0, 0, 100_000) for n in range(6)]
        [40000, 80000, 0, 0, 0, 0]
        """
        capacity = self.rate * self.promised_share * SLOT_WIDTH / 1e6
        first, last = now // SLOT_WIDTH + 1, min(now + self.max_delay, latest) // SLOT_WIDTH
        available = 0.0
        for number in range(first, last + 1):
            # the capacity of one slot may be less than one RPC, so unused capacity of earlier slots is added
            promised = self.slots.get(number, 0.0)
            available = min(1.0 + capacity, max(0.0, available + capacity - promised))
            if available >= 1.0:
                self.slots[number] = promised + 1.0
                due = number * SLOT_WIDTH
                key = (caller, method)
                self.promises.pop(key, None)
                self.promises[key] = due
                if len(self.promises) > MAX_PROMISES:
                    self.promises.popitem(last=False)
                self.issued += 1
                return due - now
        self.unavailable += 1
        return 0

    def redeem(self, caller: int, method: int, now: int) -> bool:
        """Returns whether the caller was promised about this time; a promise can be redeemed only once."""
        due = self.promises.get((caller, method))
        if due is None or now < due - EARLY_TOLERANCE:
            return False
        del self.promises[caller, method]
        if now > due + LATE_TOLERANCE:
            self.late += 1
            return False
        self.kept += 1
        self.promised_share = min(MAX_PROMISED_SHARE, self.promised_share + SHARE_INCREASE)
        return True

    def on_promise_broken(self) -> None:
        """Reports that an RPC was rejected although it arrived at its promised time, so too much was promised."""
        self.broken += 1
        self.promised_share = max(MIN_PROMISED_SHARE, self.promised_share - SHARE_DECREASE)
