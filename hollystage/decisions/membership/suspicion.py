"""How long a suspect has to be heard of, and how much this process trusts itself: after Lifeguard.

The time starts long and falls with each further member that saw no answer either: one that is slow itself
accuses many, but hardly ever together with others. And a process whose own probes fail, or that is told it was
suspected itself, waits longer for everything: most wrong accusations come from the accuser's own trouble
(Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
"""
from __future__ import annotations

from math import log, log10


class Suspicion:
    """One suspect's time, in microseconds; `least` is reached at `enough` confirmations.

    >>> doubt = Suspicion(0, "a", 2_000, 8_000, 3)
    >>> doubt.until, doubt.confirm("a"), doubt.confirm("b"), doubt.until
    (8000, False, True, 5000)
    >>> doubt.confirm("c"), doubt.confirm("d"), doubt.confirm("e"), doubt.until
    (True, True, False, 2000)
    """

    __slots__ = ("begun", "least", "most", "enough", "by")

    def __init__(self, begun: int, by: str, least: int, most: int, enough: int) -> None:
        self.begun, self.least, self.most, self.enough = begun, least, most, enough
        self.by = [by]  # the first accuser, then those that confirmed

    @property
    def until(self) -> int:
        if self.enough <= 0:
            return self.begun + self.least
        share = log(len(self.by)) / log(self.enough + 1)
        return self.begun + max(self.least, int(self.most - (self.most - self.least) * share))

    def confirm(self, by: str) -> bool:
        """Whether this accuser is a further one that counts."""
        if by in self.by or len(self.by) > self.enough:
            return False
        self.by.append(by)
        return True


def span(base: float, members: int, period: int) -> int:
    """The least time of a suspect: grows with the logarithm of the fleet, as news of it and its own answer take
    that many rounds.

    >>> [span(4, n, 500_000) for n in (2, 10, 100, 1000)]
    [2000000, 2000000, 4000000, 6000000]
    """
    return int(base * max(1.0, log10(max(1, members))) * period)


class Health:
    """How little this process trusts itself: 0 for all is well; waits are multiplied by one more than this."""

    def __init__(self, worst: int) -> None:
        self.worst, self.score = worst, 0

    def note(self, change: int) -> None:
        self.score = max(0, min(self.worst, self.score + change))

    def stretch(self, span: int) -> int:
        return span * (self.score + 1)
