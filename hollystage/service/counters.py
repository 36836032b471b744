"""Named event counters, logged on request (SIGUSR1) and at exit."""
from __future__ import annotations

import threading
from collections import Counter


class Counters:
    """A thread-safe set of counters by name."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        with self.lock:
            self.counts[name] += amount

    def read(self) -> dict[str, int]:
        """Returns all counters, sorted by name."""
        with self.lock:
            return dict(sorted(self.counts.items()))
