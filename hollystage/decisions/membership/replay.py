"""Replay protection: rejects envelopes that are sent twice or were meant for an earlier process.

Each process draws a random session number, and a sender must name the session of the receiver in its envelope. A
process learns the sessions of its peers from the envelopes that they send and from the challenge that answers a wrong
session number. Envelopes that were recorded before this process started, or long ago, are thus rejected, and no
clocks are compared. Within a session each counter value of a sender is accepted once.
"""
from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")
WINDOW_SIZE = 1024  # counters behind the highest that are still accepted, as datagrams may arrive out of order


class Verdict(Enum):
    """The result of the replay check; values other than "good" are part of a metric name."""

    GOOD = "good"
    UNBOUND = "unbound"  # names another session; the sender may be sent the current one
    REPLAYED = "replayed"


class ReplayWindow:
    """Sliding replay window over the counters of one sender."""

    __slots__ = ("highest", "bits")

    def __init__(self) -> None:
        self.highest, self.bits = -1, 0

    def accept(self, counter: int) -> bool:
        """Returns whether the counter is new and within the window, and marks it as seen.

        >>> window = ReplayWindow()
        >>> [window.accept(n) for n in (5, 7, 5, 6, 6, 7 + WINDOW_SIZE, 7, 8)]
        [True, True, False, True, False, True, False, True]
        """
        ahead = counter - self.highest
        if ahead > 0:
            self.bits = (self.bits << min(ahead, WINDOW_SIZE) | 1) & ((1 << WINDOW_SIZE) - 1)
            self.highest = counter
            return True
        if -ahead >= WINDOW_SIZE or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True


class ReplayGuard:
    """The session of this process, the known sessions of its peers, and a replay window for each sender.

    Both tables are bounded; the least recently used entry is evicted first.
    """

    def __init__(self, session: int, max_entries: int = 16_384) -> None:
        self.session, self.previous_session, self.max_entries = session, 0, max_entries
        self.windows: OrderedDict[tuple[int, int], ReplayWindow] = OrderedDict()  # by birth of the sender and session
        self.peer_sessions: OrderedDict[str, int] = OrderedDict()  # by address
        self.counter = 0

    def admit(self, birth: int, counter: int, receiver_session: int) -> Verdict:
        """Checks an envelope. `birth`: of the sending process. `receiver_session`: the session that it named."""
        if receiver_session != self.session and (
                not self.previous_session or receiver_session != self.previous_session):
            return Verdict.UNBOUND
        window = _touch(self.windows, (birth, receiver_session), self.max_entries)
        if window is None:
            window = self.windows[birth, receiver_session] = ReplayWindow()
        return Verdict.GOOD if window.accept(counter) else Verdict.REPLAYED

    def rotate_session(self, session: int) -> None:
        """Starts a new session. The previous one is accepted until the next rotation.

        Rotation guards against replays of envelopes whose replay window was evicted long ago.
        """
        self.previous_session, self.session = self.session, session
        for key in [key for key in self.windows if key[1] not in (self.previous_session, self.session)]:
            del self.windows[key]

    def learn_session(self, address: str, session: int) -> None:
        """Stores the current session of a peer."""
        if _touch(self.peer_sessions, address, self.max_entries) != session:
            self.peer_sessions[address] = session

    def session_of(self, address: str) -> int:
        """Returns the session of a peer; 0 if it is unknown, which the peer answers with a challenge."""
        return self.peer_sessions.get(address, 0)

    def next_counter(self) -> int:
        """Returns the counter of the next envelope that this process sends."""
        self.counter += 1
        return self.counter


def _touch(table: OrderedDict[K, V], key: K, max_entries: int) -> V | None:
    """Returns the value and marks it as the most recently used; if the key is missing, evicts from a full table."""
    value = table.get(key)
    if value is not None:
        table.move_to_end(key)
    elif len(table) >= max_entries:
        table.popitem(last=False)
    return value


class RateLimiter:
    """Token bucket for work that any remote party can cause: `rate` per second, with bursts of the same size.

    Times are in microseconds.

    >>> limiter = RateLimiter(2)
    >>> [limiter.try_acquire(now) for now in (0, 1, 2, 500_002, 500_003)]
    [True, True, False, True, False]
    """

    def __init__(self, rate: float, now: int = 0) -> None:
        self.rate, self.tokens, self.updated_at = rate, rate, now

    def try_acquire(self, now: int) -> bool:
        """Returns whether a token was available, and takes it."""
        self.tokens = min(self.rate, self.tokens + max(0, now - self.updated_at) * self.rate / 1e6)
        self.updated_at = max(self.updated_at, now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
