"""Whether our own process was late: what it saw of others meanwhile tells of itself."""
from __future__ import annotations


class Stalls:
    """Tells that our own process woke late: what it saw of others meanwhile is its own delay.

    >>> stalls = Stalls(2_000)
    >>> stalls.woke(0, 50_000), stalls.woke(51_500, 50_000), stalls.woke(200_000, 50_000)
    (0, 0, 98500)
    """

    def __init__(self, slack: int) -> None:
        self.slack, self.due = slack, 0

    def woke(self, now: int, next_in: int) -> int:
        """How late the timer that was due came, in microseconds; 0 within the slack. `next_in`: to the next."""
        late = now - self.due if self.due else 0
        self.due = now + next_in
        return late if late > self.slack else 0
