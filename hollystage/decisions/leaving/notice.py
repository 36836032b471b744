"""The earliest time at which a drain notice may have been given, for a process that may have been suspended.

The drain grace starts when the notice (a signal) is given. A process that was stopped, starved or busy at that time
receives the signal later, and a signal carries no time stamp. The process therefore keeps the last time at which no
notice had been given yet: a notice that arrives counts from then, and an RPC that arrived more than the grace after
that time may be run only once a later such time is known. This is the earliest time consistent with what is known;
docs/notes/notice.md describes its cost.
"""
from __future__ import annotations

BEAT = 50_000  # microseconds


class Notice:
    """Determines the time of a drain notice from heartbeats; all times in microseconds of one clock.

    >>> notice = Notice(grace=300_000, begun=0)
    >>> for at in range(900_000, 1_050_001, 50_000):
    ...     notice.beat(at)
    >>> notice.beat(4_000_000)  # the process was suspended for three seconds
    >>> [notice.in_doubt(came) for came in (1_200_000, 1_400_000)], notice.given(4_000_000)
    ([False, True], 1000000)
    """

    def __init__(self, grace: int, begun: int) -> None:
        self.slept = max(2 * BEAT, grace // 4)  # a longer gap means a suspension
        self.grace = max(grace, 3 * BEAT)  # no RPC is in doubt while heartbeats are in time
        self.clear = self.last = begun

    def beat(self, now: int) -> None:
        """Reports that a thread that only sleeps has just run.

        If the gap since the previous heartbeat is short, the thread that waits for signals could run in between, so
        that no notice had been given before the previous heartbeat.
        """
        if now - self.last <= self.slept:
            self.silent(self.last)
        self.last = now

    def silent(self, at: int) -> None:
        """Reports that a check at or after `at` found no notice."""
        self.clear, self.last = max(self.clear, at), max(self.last, at)

    def given(self, now: int) -> int:
        """Returns when a notice that is received now was given.

        This is `now` if the last two heartbeats were in time, since the thread that waits for signals could run then;
        otherwise it is the earliest possible time.
        """
        return now if now - self.clear < 3 * BEAT else self.clear

    def in_doubt(self, came: int) -> bool:
        """Returns whether an RPC that reached the machine at `received_at` may be past the grace of a notice that has
        not been received yet."""
        return came > self.clear + self.grace
