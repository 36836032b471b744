"""Ids of the runs that were started recently, so that none of them is started again."""
from __future__ import annotations

MAX_IDS = 32_768  # of each of two sets; an id takes some 100 bytes


class RecentIds:
    """Remembers ids for at least `retention` microseconds, or until MAX_IDS more have been added.

    Two sets take turns: when the newer one is full or old, it replaces the older one, which is forgotten as a whole.

    >>> ids = RecentIds(retention=10, now=0)
    >>> ids.add(1, now=0)
    >>> ids.add(2, now=10)
    >>> 1 in ids, 2 in ids
    (True, True)
    >>> ids.add(3, now=20)
    >>> 1 in ids, 2 in ids
    (False, True)
    """

    def __init__(self, retention: int, now: int) -> None:
        self.retention, self.started_at = retention, now
        self.newer: set[int] = set()
        self.older: set[int] = set()

    def add(self, number: int, now: int) -> None:
        """Remembers an id."""
        if now - self.started_at >= self.retention or len(self.newer) >= MAX_IDS:
            self.older, self.newer, self.started_at = self.newer, set(), now
        self.newer.add(number)

    def discard(self, number: int) -> None:
        """Forgets an id."""
        self.newer.discard(number)
        self.older.discard(number)

    def __contains__(self, number: int) -> bool:
        return number in self.newer or number in self.older
