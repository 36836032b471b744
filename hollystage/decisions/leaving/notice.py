"""When a notice to leave may have been given, decided by a process that may have slept before it could hear it.

The rule counts from the moment at which the notice was given, and a process that was stopped, starved or busy then
hears it later, with no word of when that was. So it keeps the last moment at which none had been given yet: a notice
that is heard counts from there, and an RPC that came more than the grace after it may be run only once a later such
moment is known. The reading is the earliest that fits what is known; what it costs stands in docs/notes/notice.md.
"""
from __future__ import annotations

BEAT = 50_000  # microseconds between two beats of a process that is well


class Notice:
    """All times in microseconds of one clock.

    >>> notice = Notice(grace=300_000, begun=0)
    >>> for at in range(900_000, 1_050_001, 50_000):
    ...     notice.beat(at)
    >>> notice.beat(4_000_000)  # it slept for three seconds
    >>> [notice.in_doubt(came) for came in (1_200_000, 1_400_000)], notice.given(4_000_000)
    ([False, True], 1000000)
    """

    def __init__(self, grace: int, begun: int) -> None:
        self.slept = max(2 * BEAT, grace // 4)  # beats so far apart tell of a sleep
        self.grace = max(grace, 3 * BEAT)  # so that no RPC is in doubt while the process is well
        self.clear = self.last = begun

    def beat(self, now: int) -> None:
        """A thread that only waits and wakes has just run: whoever hears signals could, between it and the last."""
        if now - self.last <= self.slept:
            self.silent(self.last)
        self.last = now

    def silent(self, at: int) -> None:
        """A look at `at` or later found that none had been given."""
        self.clear, self.last = max(self.clear, at), max(self.last, at)

    def given(self, now: int) -> int:
        """When one that is heard now was given: just now where the last two beats came in their time, for whoever
        hears was awake then; else the earliest that it can have been."""
        return now if now - self.clear < 3 * BEAT else self.clear

    def in_doubt(self, came: int) -> bool:
        """Whether an RPC that reached the machine at `came` may be past the grace of a notice not heard yet."""
        return came > self.clear + self.grace
