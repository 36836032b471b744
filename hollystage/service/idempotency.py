"""The table of idempotency keys: which run a repeated RPC belongs to, and the result of that run.

The table is in memory only and is guarded by the driver's lock. A repeat may join any entry, even after the
method's window: entries must be kept at least for the window, and returning the same result is always correct.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from ..decisions.heaps import drop_outdated
from ..interface import Outcome
from .exchange import Exchange, IdempotencyKey, RunResult


@dataclass(slots=True, eq=False)
class Entry:
    """A run, when its entry expires (microseconds), its result, and the repeats that wait for it."""

    exchange: Exchange
    expires_at: int
    expiry_number: int = 0  # of its latest row among the expiries; its earlier rows are out of date
    result: RunResult | None = None
    waiters: list[Exchange] = field(default_factory=list)


class IdempotencyTable:
    """Maps idempotency keys to runs; times are microseconds."""

    def __init__(self, extra_retention: int) -> None:
        # how long an entry is kept after its window, for repeats that lie unread: the longest deadline of a method
        self.extra_retention = extra_retention
        self.entries: dict[IdempotencyKey, Entry] = {}
        self.expiries: list[tuple[int, int, IdempotencyKey]] = []
        self.sequence = 0

    def find(self, key: IdempotencyKey) -> Exchange | None:
        """Returns the earlier RPC with this key."""
        entry = self.entries.get(key)
        return entry.exchange if entry else None

    def add(self, exchange: Exchange, window: int, now: int) -> None:
        """Adds an RPC, to be kept for its window and the extra retention time."""
        if exchange.idempotency_key is None:
            return
        expires_at = now + window + self.extra_retention
        self.entries[exchange.idempotency_key] = entry = Entry(exchange, expires_at)
        self._push_expiry(entry, exchange.idempotency_key)

    def remove(self, exchange: Exchange) -> None:
        """Removes the entry of this RPC, if its key still refers to it."""
        entry = self._entry_of(exchange)
        if entry is not None and exchange.idempotency_key is not None:
            del self.entries[exchange.idempotency_key]

    def complete(self, exchange: Exchange, result: RunResult) -> list[Exchange]:
        """Stores the result of a run for later repeats; returns the repeats that wait for it."""
        entry = self._entry_of(exchange)
        if entry is None:
            return []
        entry.result, waiters, entry.waiters = result, entry.waiters, []
        if result.outcome is Outcome.MOOT:
            self.remove(exchange)  # it never ran, so a repeat may run
        return waiters

    def join(self, exchange: Exchange, earlier: Exchange) -> RunResult | None:
        """Returns the result of the earlier RPC's run; if that has not ended, adds a waiter and returns None.

        Without an entry for the earlier RPC the result is an error.
        """
        entry = self._entry_of(earlier)
        if entry is None:
            return RunResult(Outcome.ERROR, b"")
        if entry.result is None:
            entry.waiters.append(exchange)
        return entry.result

    def leave(self, exchange: Exchange, earlier: Exchange) -> None:
        """Removes a repeat that was answered, or whose caller disconnected, before the earlier RPC's run ended."""
        entry = self._entry_of(earlier)
        if entry is not None and exchange in entry.waiters:
            entry.waiters.remove(exchange)

    def expire(self, now: int) -> None:
        """Removes the entries that have expired."""
        while self.expiries and self.expiries[0][0] < now:
            key = heappop(self.expiries)[2]
            entry = self.entries.get(key)
            if entry is None or entry.expires_at >= now:
                continue
            if entry.exchange.is_open:  # the entry of a run that hangs is kept until the run ends
                entry.expires_at = now + self.extra_retention
                self._push_expiry(entry, key)
            else:
                del self.entries[key]

    def _push_expiry(self, entry: Entry, key: IdempotencyKey) -> None:
        drop_outdated(self.expiries, len(self.entries), self._is_latest_expiry)
        self.sequence += 1
        entry.expiry_number = self.sequence
        heappush(self.expiries, (entry.expires_at, self.sequence, key))

    def _is_latest_expiry(self, expiry: tuple[int, int, IdempotencyKey]) -> bool:
        _, number, key = expiry
        entry = self.entries.get(key)
        return entry is not None and entry.expiry_number == number

    def _entry_of(self, exchange: Exchange) -> Entry | None:
        entry = self.entries.get(exchange.idempotency_key) if exchange.idempotency_key else None
        return entry if entry and entry.exchange is exchange else None
