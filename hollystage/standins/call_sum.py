"""Many instances at one ledger, none of which hears of another: the calls that they have there together."""
from __future__ import annotations

from math import sqrt

from .ledger import LedgerModel, Terms
from .scenes import START, settings_of
from .sharing import Clock
from .virtual import SECOND, Box, Demand, lookup

STEP = 50_000  # microseconds between two looks at the sum
RATE, CALL = 20.0, 150_000  # RPCs a second at each instance; what a call takes, in microseconds
WORK, LINGER = 8_000, 200_000  # of an RPC on the cores; how long a call that was given up is still held


class WatchedLedger(LedgerModel):
    """Never full and never dead; counts what it holds, abandoned calls among them."""

    def __init__(self, clock: Clock, seed: int) -> None:
        super().__init__(clock, Terms(slots=1 << 20, mean=CALL), seed)
        self.held: list[int] = []
        self.look()

    def look(self) -> None:
        self.held.append(len(self.work))
        self.clock.at(self.clock.now + STEP, self.look)

    def give_up(self, number: int) -> None:
        super().give_up(number)
        self.clock.at(self.clock.now + LINGER, lambda: self.leave(number))

    def leave(self, number: int) -> None:
        if self.work.remove(number, self.clock.now):
            self._changed()


class CallSum:
    """`processes` that start in the same moment, each with `share` of the calls and more RPCs than it can serve."""

    def __init__(self, processes: int, share: float, seed: int, slow_from: float = 0.0) -> None:
        self.whole = processes * share
        self.clock = Clock(START)
        self.ledger = WatchedLedger(self.clock, seed)
        method = lookup(latency_target=SECOND, deadline=4 * SECOND)
        settings = settings_of([method], cores=4, memory=1e9, calls_out=share, linger=LINGER)
        self.boxes = [Box(self.clock, settings, [Demand(method, "lookup", RATE, WORK, calls=True, retries=0)],
                          self.ledger, seed * 1000 + number) for number in range(processes)]
        if slow_from:
            self.clock.at(START + int(slow_from * SECOND), lambda: self.ledger.slow(10))

    def run(self, seconds: float) -> CallSum:
        self.clock.run(START + int(seconds * SECOND))
        return self

    @property
    def allowed(self) -> float:
        """The whole, and what may be put down to chance."""
        return self.whole + 2 * sqrt(self.whole) + 2

    def worst_mean(self, span: int = 5 * SECOND) -> float:
        """The most that the ledger held in the mean of any `span`."""
        steps, held = span // STEP, self.ledger.held
        return max(sum(held[at:at + steps]) / steps for at in range(max(1, len(held) - steps)))

    def calls(self) -> int:
        return self.ledger.judge.calls
