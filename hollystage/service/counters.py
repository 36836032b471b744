"""Counters of what came in, was sent and was answered; printed on request or at exit."""
from __future__ import annotations

import threading
from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        with self.lock:
            self.counts[name] += amount

    def read(self) -> dict[str, int]:
        with self.lock:
            return dict(sorted(self.counts.items()))
