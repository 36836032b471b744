"""How many further tries there may be: a share of first tries, counted over a decaying span, with a floor.

A try that is not marked as a further one earns the share; a further one costs one. Under a steady load the
further tries are at most the share of the first, however many fail; the floor lets a quiet pool try at all.
"""
from __future__ import annotations

from math import exp


class Budget:
    """`share` of first tries, and `floor` a second; what is earned decays over `span` microseconds.

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
            left = exp((self.at - now) / self.span)
            # the floor's own steady state: what comes in over a span is what is kept of it
            self.earned = self.earned * left + self.floor * self.span / 1e6 * (1 - left)
            self.at = now

    def first(self, now: int) -> None:
        self._pass(now)
        self.earned += self.share

    def take(self, now: int) -> bool:
        """Whether one further try may be made now; it is paid for if so."""
        self._pass(now)
        if self.earned < 1:
            self.refused += 1
            return False
        self.earned -= 1
        return True
