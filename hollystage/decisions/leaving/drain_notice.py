"""The earliest time at which a drain notice may have been given, for a process that may have been suspended.

The drain grace starts when the notice (a signal) is given. A process that was stopped, starved or busy at that time
receives the signal later, and a signal carries no time stamp. The process therefore keeps the last time at which no
notice had been given yet: a notice that arrives counts from then, and an RPC that arrived more than the grace after
that time may be run only once a later such time is known. This is the earliest time consistent with what is known;
docs/notes/notice.md describes its cost.
"""
from __future__ import annotations

HEARTBEAT_INTERVAL = 50_000  # microseconds


class DrainNotice:
    """Determines the time of a drain notice from heartbeats; all times in microseconds of one clock.

    >>> notice = DrainNotice(grace=300_000, begun=0)
    >>> for at in range(900_000, 1_050_001, 50_000):
    ...     notice.heartbeat(at)
    >>> notice.heartbeat(4_000_000)  # the process was suspended for three seconds
    >>> [notice.in_doubt(came) for came in (1_200_000, 1_400_000)], notice.given_at(4_000_000)
    ([False, True], 1000000)
    """

    def __init__(self, grace: int, started_at: int) -> None:
        self.max_heartbeat_gap = max(2 * HEARTBEAT_INTERVAL, grace // 4)  # a longer gap means a suspension
        self.grace = max(grace, 3 * HEARTBEAT_INTERVAL)  # no RPC is in doubt while heartbeats are in time
        self.last_clear = self.last_heartbeat = started_at

    def heartbeat(self, now: int) -> None:
        """Reports that a thread that only sleeps has just run.

        If the gap since the previous heartbeat is short, the thread that waits for signals could run in between, so
        that no notice had been given before the previous heartbeat.
        """
        if now - self.last_heartbeat <= self.max_heartbeat_gap:
            self.confirm_no_notice(self.last_heartbeat)
        self.last_heartbeat = now

    def confirm_no_notice(self, at: int) -> None:
        """Reports that a check at or after `at` found no notice."""
        self.last_clear, self.last_heartbeat = max(self.last_clear, at), max(self.last_heartbeat, at)

    def given_at(self, now: int) -> int:
        """Returns when a notice that is received now was given.

        This is `now` if the last two heartbeats were in time, since the thread that waits for signals could run then;
        otherwise it is the earliest possible time.
        """
        return now if now - self.last_clear < 3 * HEARTBEAT_INTERVAL else self.last_clear

    def in_doubt(self, received_at: int) -> bool:
        """Returns whether an RPC that reached the machine at `received_at` may be past the grace of a notice that has
        not been received yet."""
        return received_at > self.last_clear + self.grace
