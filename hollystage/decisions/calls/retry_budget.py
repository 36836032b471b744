"""Retry budget: retries are limited to a share of first attempts, plus a minimum rate.

Each first attempt adds a fraction of a credit and each retry costs one credit. Under steady load retries are
therefore at most this fraction of first attempts, however many attempts fail. The minimum rate allows some retries
in a pool with little traffic.
"""
from __future__ import annotations

from math import exp


class RetryBudget:
    """Credits for retries.

    A first attempt adds `ratio` credits and each second adds `min_rate` credits. Credits decay exponentially with the
    time constant `decay_time`. All times are in microseconds.

    >>> budget = RetryBudget(0.1, 0.0, 10_000_000)
    >>> for _ in range(20):
    ...     budget.record_first_attempt(0)
    >>> [budget.try_spend(0) for _ in range(3)]
    [True, True, False]
    """

    __slots__ = ("ratio", "min_rate", "decay_time", "balance", "updated_at", "refused")

    def __init__(self, ratio: float, min_rate: float, decay_time: int = 10_000_000, now: int = 0) -> None:
        self.ratio, self.min_rate, self.decay_time = ratio, min_rate, decay_time
        self.balance, self.updated_at = min(1.0, min_rate * decay_time / 1e6), now
        self.refused = 0

    def _decay(self, now: int) -> None:
        if now > self.updated_at:
            decay = exp((self.updated_at - now) / self.decay_time)
            # converges to the steady state of the minimum rate: the credits added during one decay time
            self.balance = self.balance * decay + self.min_rate * self.decay_time / 1e6 * (1 - decay)
            self.updated_at = now

    def record_first_attempt(self, now: int) -> None:
        """Adds the credit of a first attempt."""
        self._decay(now)
        self.balance += self.ratio

    def try_spend(self, now: int) -> bool:
        """Returns whether a retry is allowed now; if so, it costs one credit."""
        self._decay(now)
        if self.balance < 1:
            self.refused += 1
            return False
        self.balance -= 1
        return True
