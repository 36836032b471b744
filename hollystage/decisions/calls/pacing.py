"""Fractions of a call: how a limit that is no whole number is kept in the mean, by one process and by many at once.

A limit of 2.3 allows two calls at any time, and a third for three tenths of the time. What the third has used beyond
that is carried over as a debt in call-microseconds: it grows while the third is under way, falls by the fraction, and
no further third begins before it is paid. Nothing is rounded up. No process has a first call free either: each starts
with a debt that its seed draws, so that processes which start together do not all call in the same moment.
"""
from __future__ import annotations


class Pacer:
    """Tells how many calls may be under way now.

    >>> pacer = Pacer(now=0, debt=0, over=1000)
    >>> pacer.allowed(0.25, now=0)
    1
    >>> pacer.open = 1  # it begins, and ends after 100
    >>> pacer.allowed(0.25, now=100), pacer.debt
    (0, 75.0)
    >>> pacer.open = 0
    >>> pacer.allowed(0.25, now=399), pacer.allowed(0.25, now=400)
    (0, 1)
    """

    def __init__(self, now: int, debt: float, over: int) -> None:
        self.debt, self.since = debt, now
        self.over = over  # the span whose mean is to keep to the limit
        self.open = 0  # calls under way since then
        self.limit = 0.0  # as it was last told

    def allowed(self, limit: float, now: int) -> int:
        """To be asked at each change of the limit or of what is under way; `open` is to be set after the latter."""
        whole, elapsed = int(self.limit), now - self.since
        extra = max(0, self.open - whole)
        self.debt = max(0.0, self.debt + (extra - (self.limit - whole)) * elapsed)
        self.since, self.limit = now, limit
        return int(limit) + (self.debt <= 0 and limit > int(limit))

    @property
    def longest(self) -> int:
        """How long one call may take: all of the span where one is allowed at any time, else the limit's part of it.
        A span holds no more than the length of one such call, for the rest after it fills what remains."""
        return int(self.over * min(1.0, self.limit))
