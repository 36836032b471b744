"""Detects that this process itself was suspended, so that its own delay is not attributed to others."""
from __future__ import annotations


class StallDetector:
    """Detects late timers: a delay of others that this process observed meanwhile may be its own.

    All times are in microseconds.

    >>> detector = StallDetector(tolerance=2_000)
    >>> detector.on_timer(0, 50_000), detector.on_timer(51_500, 50_000), detector.on_timer(200_000, 50_000)
    (0, 0, 98500)
    """

    def __init__(self, tolerance: int) -> None:
        self.tolerance, self.due = tolerance, 0

    def on_timer(self, now: int, next_in: int) -> int:
        """Returns how late the timer fired; 0 within the tolerance. `next_in`: time until the next timer."""
        late = self.lateness(now)
        self.due = now + next_in
        return late

    def lateness(self, now: int) -> int:
        """Returns for how long the timer has been due; 0 within the tolerance."""
        return now - self.due if self.due and now - self.due > self.tolerance else 0
