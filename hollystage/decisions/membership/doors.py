"""Which datagrams are of this moment: not played again, not meant for an earlier process.

Each process has a door, a random number that others must name in what they send it; it is told in everything the
process sends itself, and to whoever names a wrong one. So what was recorded before this process's start, or long
ago, opens nothing, and no clocks are compared. Within a door's life each sender's counter may come once.
"""
from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")
WIDTH = 1024  # counters back from the greatest that may still come, for datagrams that overtake each other


class Verdict(Enum):
    GOOD = "good"
    UNBOUND = "unbound"  # names another door: its sender may be told this one
    REPLAYED = "replayed"


class Window:
    """The counters that came from one process."""

    __slots__ = ("top", "bits")

    def __init__(self) -> None:
        self.top, self.bits = -1, 0

    def take(self, count: int) -> bool:
        """Whether it comes for the first time.

        >>> window = Window()
        >>> [window.take(n) for n in (5, 7, 5, 6, 6, 7 + WIDTH, 7, 8)]
        [True, True, False, True, False, True, False, True]
        """
        ahead = count - self.top
        if ahead > 0:
            self.bits = (self.bits << min(ahead, WIDTH) | 1) & ((1 << WIDTH) - 1)
            self.top = count
            return True
        if -ahead >= WIDTH or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True


class Doors:
    """Ours, and those of the others as far as they told; both tables are bounded, the longest unused go first."""

    def __init__(self, door: int, most: int = 16_384) -> None:
        self.door, self.former, self.most = door, 0, most
        self.windows: OrderedDict[tuple[int, int], Window] = OrderedDict()  # by the sender's birth and the door
        self.theirs: OrderedDict[str, int] = OrderedDict()
        self.count = 0

    def admit(self, birth: int, count: int, to: int) -> Verdict:
        if to != self.door and (not self.former or to != self.former):
            return Verdict.UNBOUND
        window = _kept(self.windows, (birth, to), self.most)
        if window is None:
            window = self.windows[birth, to] = Window()
        return Verdict.GOOD if window.take(count) else Verdict.REPLAYED

    def turn(self, door: int) -> None:
        """A new door; what names the one before is still let in, until the next turn.

        Guards against what was recorded under a window that is long forgotten.
        """
        self.former, self.door = self.door, door
        for key in [key for key in self.windows if key[1] not in (self.former, self.door)]:
            del self.windows[key]

    def learn(self, address: str, door: int) -> None:
        if _kept(self.theirs, address, self.most) != door:
            self.theirs[address] = door

    def toward(self, address: str) -> int:
        """The door to name there; 0 where it is not known, which is answered by it."""
        return self.theirs.get(address, 0)

    def next(self) -> int:
        self.count += 1
        return self.count


def _kept(table: OrderedDict[K, V], key: K, most: int) -> V | None:
    """What is there, now the last used; makes room for what is not."""
    value = table.get(key)
    if value is not None:
        table.move_to_end(key)
    elif len(table) >= most:
        table.popitem(last=False)
    return value


class Allowance:
    """So many a second, and as many at once, of what anybody can provoke; times in microseconds.

    >>> allowance = Allowance(2)
    >>> [allowance.take(now) for now in (0, 1, 2, 500_002, 500_003)]
    [True, True, False, True, False]
    """

    def __init__(self, a_second: float, now: int = 0) -> None:
        self.rate, self.left, self.at = a_second, a_second, now

    def take(self, now: int) -> bool:
        self.left = min(self.rate, self.left + max(0, now - self.at) * self.rate / 1e6)
        self.at = max(self.at, now)
        if self.left < 1:
            return False
        self.left -= 1
        return True
