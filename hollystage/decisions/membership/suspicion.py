"""Suspicion timeouts and local health, as in Lifeguard.

The timeout of a suspicion starts long and becomes shorter with each further member that got no answer either: a
member that is slow itself accuses many others, but rarely the same ones as other members do. A process whose own
probes fail, or that learns it was suspected, multiplies its intervals and timeouts, because most wrong accusations
are caused by problems of the accuser (Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection", 2018).
"""
from __future__ import annotations

from math import log, log10


class Suspicion:
    """The timeout of one suspect, in microseconds; it falls to `min_time` at `confirmations_needed` confirmations.

    >>> suspicion = Suspicion(0, "a", 2_000, 8_000, 3)
    >>> suspicion.expires_at, suspicion.confirm("a"), suspicion.confirm("b"), suspicion.expires_at
    (8000, False, True, 5000)
    >>> suspicion.confirm("c"), suspicion.confirm("d"), suspicion.confirm("e"), suspicion.expires_at
    (True, True, False, 2000)
    """

    __slots__ = ("started_at", "min_time", "max_time", "confirmations_needed", "accusers")

    def __init__(self, started_at: int, accuser: str, min_time: int, max_time: int, confirmations: int) -> None:
        self.started_at, self.min_time, self.max_time = started_at, min_time, max_time
        self.confirmations_needed = confirmations
        self.accusers = [accuser]  # the first accuser, then those that confirmed

    @property
    def expires_at(self) -> int:
        """The time at which the suspect is declared lost, with the confirmations so far."""
        if self.confirmations_needed <= 0:
            return self.started_at + self.min_time
        fraction = log(len(self.accusers)) / log(self.confirmations_needed + 1)
        return self.started_at + max(self.min_time, int(self.max_time - (self.max_time - self.min_time) * fraction))

    def confirm(self, accuser: str) -> bool:
        """Adds an accuser; returns whether it is a new one that shortens the timeout."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations_needed:
            return False
        self.accusers.append(accuser)
        return True


def min_suspicion_time(factor: float, members: int, probe_period: int) -> int:
    """Returns the minimum timeout of a suspicion, in microseconds.

    It grows with the logarithm of the size of the fleet, as the accusation and its refutation need that many rounds
    of gossip.

    >>> [min_suspicion_time(4, n, 500_000) for n in (2, 10, 100, 1000)]
    [2000000, 2000000, 4000000, 6000000]
    """
    return int(factor * max(1.0, log10(max(1, members))) * probe_period)


class LocalHealth:
    """The local health score of Lifeguard: 0 is healthy; intervals and timeouts are multiplied by score + 1."""

    def __init__(self, max_score: int) -> None:
        self.max_score, self.score = max_score, 0

    def adjust(self, change: int) -> None:
        """Changes the score, within its bounds."""
        self.score = max(0, min(self.max_score, self.score + change))

    def scale(self, duration: int) -> int:
        """Returns the duration, multiplied by score + 1."""
        return duration * (self.score + 1)
