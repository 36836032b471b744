"""The earliest time at which a drain notice may have been given, for a process that may have been suspended.

The drain grace starts when the notice (a signal) is given. A process that was stopped, starved of CPU time or busy at
that time receives the signal later, and a signal carries no time stamp. The process therefore keeps the last time at
which no notice had been given yet. It assumes that a notice was given at that time, the earliest one possible. An RPC
that arrived more than the grace after that time is in doubt until a later such time is known.
docs/notes/notice.md describes the cost of this rule.
"""
from __future__ import annotations

HEARTBEAT_INTERVAL = 50_000  # microseconds


class DrainNotice:
    """Determines from heartbeats when a drain notice was given; all times in microseconds of one clock.

    >>> notice = DrainNotice(grace=300_000, started_at=0)
    >>> notice.confirm_no_notice(850_000)
    >>> for now in range(900_000, 1_050_001, 50_000):
    ...     notice.heartbeat(now)
    >>> notice.heartbeat(4_000_000)  # the process was suspended for three seconds
    >>> [notice.in_doubt(received_at) for received_at in (1_200_000, 1_400_000)], notice.given_at(4_000_000)
    ([False, True], 1000000)
    """

    def __init__(self, grace: int, started_at: int) -> None:
        self.max_heartbeat_gap = max(2 * HEARTBEAT_INTERVAL, grace // 4)  # a longer gap indicates a suspension
        self.grace = max(grace, 3 * HEARTBEAT_INTERVAL)  # so that no RPC is in doubt while heartbeats are on time
        # `last_clear`: last time at which no notice had been given
        self.last_clear = self.last_heartbeat = started_at
        self.signals_awaited = False  # whether the thread that waits for signals has checked for them once

    def heartbeat(self, now: int) -> None:
        """Reports that a thread that otherwise only sleeps has just run.

        If the gap since the previous heartbeat is short, the thread that waits for signals could run in between; as
        it reported none, no notice had been given before the previous heartbeat. During a start that thread does not
        wait yet, and a heartbeat shows nothing.
        """
        if self.signals_awaited and now - self.last_heartbeat <= self.max_heartbeat_gap:
            self.last_clear = max(self.last_clear, self.last_heartbeat)
        self.last_heartbeat = now

    def confirm_no_notice(self, at: int) -> None:
        """Reports that the thread that waits for signals found no notice by a check at or after `at`."""
        self.signals_awaited = True
        self.last_clear, self.last_heartbeat = max(self.last_clear, at), max(self.last_heartbeat, at)

    def given_at(self, now: int) -> int:
        """Returns when a notice that is received now was given.

        This is `now` if the last two heartbeats were on time, since the thread that waits for signals could run then;
        otherwise it is the earliest possible time.
        """
        return now if now - self.last_clear < 3 * HEARTBEAT_INTERVAL else self.last_clear

    def in_doubt(self, received_at: int) -> bool:
        """Returns whether an RPC may have arrived after the grace of a notice that was not received yet.

        `received_at`: arrival of the RPC at this machine.
        """
        return received_at > self.last_clear + self.grace
