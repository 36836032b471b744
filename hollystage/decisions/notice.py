"""When a notice to leave may have been given, decided by a process that may have slept before it could hear it.

The rule counts from the moment at which the notice was given, and a process that was stopped, starved or busy then
hears it later, with no word of when that was. So it keeps the last moment at which none had been given yet: a notice
that is heard counts from there, and an RPC that came more than the grace after it may be run only once a later such
moment is known. The reading is the earliest that fits what is known; what it costs stands in docs/notes/notice.md.
"""
from __future__ import annotations

LONGEST, SHORTEST = 100_000, 10_000  # microseconds between two looks for a notice


class Notice:
    """All times in microseconds of one clock.

    >>> notice = Notice(grace=300_000, begun=0)
    >>> notice.silent(1_000_000)  # then it slept for three seconds
    >>> [notice.in_doubt(came) for came in (1_200_000, 1_400_000)], notice.given(4_000_000)
    ([False, True], 1000000)
    """

    def __init__(self, grace: int, begun: int) -> None:
        # several looks fit the grace, so that no RPC waits for one while the process is well
        self.each = max(SHORTEST, min(LONGEST, grace // 4))
        self.grace, self.clear = max(grace, 3 * self.each), begun

    def silent(self, at: int) -> None:
        """A look at `at` or later found that none had been given."""
        self.clear = max(self.clear, at)

    def given(self, now: int) -> int:
        """When one that is heard now was given, at the earliest."""
        return min(self.clear, now)

    def in_doubt(self, came: int) -> bool:
        """Whether an RPC that reached the machine at `came` may be past the grace of a notice not heard yet."""
        return came > self.clear + self.grace
