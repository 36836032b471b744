"""Fractional concurrency limits: keeps the mean number of calls within a limit that need not be a whole number.

A limit of 2.3 allows two calls at any time, and a third call for three tenths of the time. What the third call uses
beyond that is a debt in call-microseconds: it grows while the third call is in flight, decreases at the rate of the
limit's fraction, and no other third call starts until it is back at zero. Nothing is rounded up, so that the total of
many processes stays within its limit too. The first call is not exempt: each process starts with a debt drawn from
its seed, so that processes that start together do not all call at the same moment.
"""
from __future__ import annotations


class Pacer:
    """Computes how many calls may be in flight now; times in microseconds.

    >>> pacer = Pacer(now=0, debt=0, averaging_span=1000)
    >>> pacer.allowed(0.25, now=0)
    1
    >>> pacer.in_flight = 1  # starts now and ends after 100 microseconds
    >>> pacer.allowed(0.25, now=100), pacer.debt
    (0, 75.0)
    >>> pacer.in_flight = 0
    >>> pacer.allowed(0.25, now=399), pacer.allowed(0.25, now=400)
    (0, 1)
    """

    def __init__(self, now: int, debt: float, averaging_span: int) -> None:
        self.debt, self.updated_at = debt, now
        self.averaging_span = averaging_span  # the mean over this span must not exceed the limit
        self.in_flight = 0  # calls in flight since the last update
        self.limit = 0.0  # at the last update

    def allowed(self, limit: float, now: int) -> int:
        """Returns the number of calls that may be in flight.

        Must be called at each change of the limit or of the calls in flight; the caller sets `in_flight` after a
        change of the latter.
        """
        whole, elapsed = int(self.limit), now - self.updated_at
        extra = max(0, self.in_flight - whole)
        fraction = self.limit - whole
        # no call lasts longer than the span: for the rest of a longer time this process was suspended
        counted = min(elapsed, self.averaging_span)
        self.debt = max(0.0, self.debt + (extra - fraction) * counted - fraction * (elapsed - counted))
        self.updated_at, self.limit = now, limit
        return int(limit) + (self.debt <= 0 and limit > int(limit))

    @property
    def max_call_duration(self) -> int:
        """Longest allowed duration of one call: the span, multiplied by the limit if that is below 1.

        A span then contains the time of at most one such call, since the pause after it fills the rest of the span.
        """
        return int(self.averaging_span * min(1.0, self.limit))
