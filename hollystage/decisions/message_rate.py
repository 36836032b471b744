"""Limits how fast one connection is read, so that a client at full speed leaves the processor to the others."""
from __future__ import annotations

MESSAGE_INTERVAL = 2_000  # microseconds; mean time between two messages of a connection
BURST = 100  # messages that a connection may send without a pause after it has been quiet


class MessageRate:
    """The rate of one connection, a token bucket kept as one time. Times are in microseconds.

    >>> rate = MessageRate(now=0)
    >>> sum(rate.delay_after_message(now=0) for _ in range(BURST))
    0
    >>> rate.delay_after_message(now=0), rate.delay_after_message(now=2_000)
    (2000, 2000)
    >>> rate.delay_after_message(now=1_000_000)
    0
    """

    __slots__ = ("next_at",)

    def __init__(self, now: int) -> None:
        self.next_at = now - BURST * MESSAGE_INTERVAL  # when the next message is due at the mean rate

    def delay_after_message(self, now: int) -> int:
        """Counts a message and returns how long to wait before the connection's next one is read."""
        self.next_at = max(self.next_at, now - BURST * MESSAGE_INTERVAL) + MESSAGE_INTERVAL
        return max(0, self.next_at - now)
