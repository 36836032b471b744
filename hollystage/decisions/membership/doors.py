"""Replay protection: rejects envelopes that are sent twice or were meant for an earlier process.

Each process draws a random session number, and a sender must name the session of the receiver in its envelope. A
process learns the sessions of its peers from the envelopes that they send and from the challenge that answers a wrong
number. Envelopes that were recorded before this process started, or long ago, are thus rejected, and no clocks are
compared. Within a session each counter value of a sender is accepted once.
"""
from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")
WIDTH = 1024  # counters behind the highest one that are still accepted, for datagrams that arrive out of order


class Verdict(Enum):
    """The result of the replay check; values other than "good" are part of a metric name."""

    GOOD = "good"
    UNBOUND = "unbound"  # names another session; the sender may be sent the current one
    REPLAYED = "replayed"


class Window:
    """Sliding replay window over the counters of one sender."""

    __slots__ = ("top", "bits")

    def __init__(self) -> None:
        self.top, self.bits = -1, 0

    def take(self, counter: int) -> bool:
        """Returns whether the counter is new and within the window, and marks it as seen.

        >>> window = Window()
        >>> [window.take(n) for n in (5, 7, 5, 6, 6, 7 + WIDTH, 7, 8)]
        [True, True, False, True, False, True, False, True]
        """
        ahead = counter - self.top
        if ahead > 0:
            self.bits = (self.bits << min(ahead, WIDTH) | 1) & ((1 << WIDTH) - 1)
            self.top = counter
            return True
        if -ahead >= WIDTH or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True


class Doors:
    """The session of this process, the known sessions of its peers, and a replay window for each sender.

    Both tables are bounded; the least recently used entry is evicted first.
    """

    def __init__(self, session: int, most: int = 16_384) -> None:
        self.door, self.former, self.most = session, 0, most
        self.windows: OrderedDict[tuple[int, int], Window] = OrderedDict()  # by birth of the sender and session
        self.theirs: OrderedDict[str, int] = OrderedDict()  # by address
        self.count = 0

    def admit(self, birth: int, counter: int, receiver_session: int) -> Verdict:
        """Checks an envelope of the sender with this birth number."""
        if receiver_session != self.door and (not self.former or receiver_session != self.former):
            return Verdict.UNBOUND
        window = _kept(self.windows, (birth, receiver_session), self.most)
        if window is None:
            window = self.windows[birth, receiver_session] = Window()
        return Verdict.GOOD if window.take(counter) else Verdict.REPLAYED

    def turn(self, session: int) -> None:
        """Starts a new session. The previous one is accepted until the next rotation.

        Rotation guards against replays of envelopes whose replay window was evicted long ago.
        """
        self.former, self.door = self.door, session
        for key in [key for key in self.windows if key[1] not in (self.former, self.door)]:
            del self.windows[key]

    def learn(self, address: str, session: int) -> None:
        """Stores the current session of a peer."""
        if _kept(self.theirs, address, self.most) != session:
            self.theirs[address] = session

    def toward(self, address: str) -> int:
        """Returns the session of a peer; 0 if it is unknown, which the peer answers with a challenge."""
        return self.theirs.get(address, 0)

    def next(self) -> int:
        """Returns the counter of the next envelope that this process sends."""
        self.count += 1
        return self.count


def _kept(table: OrderedDict[K, V], key: K, most: int) -> V | None:
    """Returns the value and marks it as the most recently used; for a missing key, makes room in a full table."""
    value = table.get(key)
    if value is not None:
        table.move_to_end(key)
    elif len(table) >= most:
        table.popitem(last=False)
    return value


class Allowance:
    """Token bucket for work that any remote party can cause: `rate` a second, with bursts of the same size.

    Times are in microseconds.

    >>> limiter = Allowance(2)
    >>> [limiter.take(now) for now in (0, 1, 2, 500_002, 500_003)]
    [True, True, False, True, False]
    """

    def __init__(self, rate: float, now: int = 0) -> None:
        self.rate, self.left, self.at = rate, rate, now

    def take(self, now: int) -> bool:
        """Returns whether a token was available, and takes it."""
        self.left = min(self.rate, self.left + max(0, now - self.at) * self.rate / 1e6)
        self.at = max(self.at, now)
        if self.left < 1:
            return False
        self.left -= 1
        return True
