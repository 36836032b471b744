"""The table of idempotency keys: which run a repeated RPC belongs to, and the result of that run.

The table is in memory only and is guarded by the driver's lock. A repeat may join any entry, even after the
method's window: entries must be kept at least for the window, and returning the same result is always correct.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from ..interface import Outcome
from .exchange import Ended, Exchange, Token


@dataclass(slots=True, eq=False)
class Entry:
    """A run, when its entry expires (microseconds), its result, and the repeats that wait for it."""

    exchange: Exchange
    until: int
    ended: Ended | None = None
    waiting: list[Exchange] = field(default_factory=list)


class Tokens:
    """Maps idempotency keys to runs; times are microseconds."""

    def __init__(self, slack: int) -> None:
        self.slack = slack  # kept beyond the window for repeats that are not read yet: the longest deadline
        self.entries: dict[Token, Entry] = {}
        self.expiries: list[tuple[int, int, Token]] = []
        self.count = 0

    def earlier(self, key: Token) -> Exchange | None:
        """Returns the earlier RPC with this key."""
        entry = self.entries.get(key)
        return entry.exchange if entry else None

    def keep(self, exchange: Exchange, window: int, now: int) -> None:
        """Adds an RPC, to be kept for its window and the extra retention time."""
        if exchange.token is None:
            return
        until = now + window + self.slack
        self.entries[exchange.token] = Entry(exchange, until)
        self.count += 1
        heappush(self.expiries, (until, self.count, exchange.token))

    def forget(self, exchange: Exchange) -> None:
        """Removes the entry of this RPC, if its key still refers to it."""
        entry = self._of(exchange)
        if entry is not None and exchange.token is not None:
            del self.entries[exchange.token]

    def ended(self, exchange: Exchange, result: Ended) -> list[Exchange]:
        """Stores the result of a run for later repeats; returns the repeats that wait for it."""
        entry = self._of(exchange)
        if entry is None:
            return []
        entry.ended, waiting, entry.waiting = result, entry.waiting, []
        if result.outcome is Outcome.MOOT:
            self.forget(exchange)  # it never ran, so a repeat may run
        return waiting

    def join(self, exchange: Exchange, earlier: Exchange) -> Ended | None:
        """Returns the result of the earlier RPC's run; if that has not ended, adds a waiter and returns None.

        Without an entry for the earlier RPC the result is an error.
        """
        entry = self._of(earlier)
        if entry is None:
            return Ended(Outcome.ERROR, b"")
        if entry.ended is None:
            entry.waiting.append(exchange)
        return entry.ended

    def expire(self, now: int) -> None:
        """Removes the entries that have expired."""
        while self.expiries and self.expiries[0][0] < now:
            key = heappop(self.expiries)[2]
            entry = self.entries.get(key)
            if entry is None or entry.until >= now:
                continue
            if entry.exchange.open:  # a run on hung cores is kept until it ends
                entry.until = now + self.slack
                self.count += 1
                heappush(self.expiries, (entry.until, self.count, key))
            else:
                del self.entries[key]

    def _of(self, exchange: Exchange) -> Entry | None:
        entry = self.entries.get(exchange.token) if exchange.token else None
        return entry if entry and entry.exchange is exchange else None
