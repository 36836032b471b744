"""Retry budget: retries are limited to a share of first attempts, plus a minimum rate.

Each first attempt adds a fraction of a credit and each retry costs one credit. Under steady load retries are
therefore at most this fraction of first attempts, however many attempts fail. The minimum rate allows retries in a
pool with little traffic.
"""
from __future__ import annotations

from math import exp


class Budget:
    """Credits for retries.

    A first attempt adds `ratio` credits and each second adds `min_rate` credits. Credits decay exponentially with the
    time constant `decay_time`. All times are in microseconds.

    >>> budget = Budget(0.1, 0.0, 10_000_000)
    >>> for _ in range(20):
    ...     budget.first(0)
    >>> [budget.take(0) for _ in range(3)]
    [True, True, False]
    """

    __slots__ = ("share", "floor", "span", "earned", "at", "refused")

    def __init__(self, share: float, floor: float, span: int = 10_000_000, now: int = 0) -> None:
        self.share, self.floor, self.span = share, floor, span
        self.earned, self.at = min(1.0, floor * span / 1e6), now
        self.refused = 0

    def _pass(self, now: int) -> None:
        if now > self.at:
            decay = exp((self.at - now) / self.span)
            # converges to the steady state of the minimum rate: the credits added during one decay time
            self.earned = self.earned * decay + self.floor * self.span / 1e6 * (1 - decay)
            self.at = now

    def first(self, now: int) -> None:
        """Adds the credit of a first attempt."""
        self._pass(now)
        self.earned += self.share

    def take(self, now: int) -> bool:
        """Returns whether a retry is allowed now, and if so takes one credit."""
        self._pass(now)
        if self.earned < 1:
            self.refused += 1
            return False
        self.earned -= 1
        return True
