"""Simulation of many processes that call one ledger and exchange no messages: total of the calls in progress."""
from __future__ import annotations

from math import sqrt

from .ledger import LedgerModel, Terms
from .scenes import START, settings_of
from .sharing import Clock
from .virtual import SECOND, Box, Demand, lookup

STEP = 50_000  # between two samples of the calls in progress
RATE, CALL = 20.0, 150_000  # RPCs per second at each process
WORK, LINGER = 8_000, 200_000  # mean time on the cores of an RPC; time for which an abandoned call stays in progress


class WatchedLedger(LedgerModel):
    """A ledger that is never full and never crashes, and samples its calls in progress, including abandoned ones."""

    def __init__(self, clock: Clock, seed: int) -> None:
        super().__init__(clock, Terms(slots=1 << 20, mean=CALL), seed)
        self.held: list[int] = []
        self.look()

    def look(self) -> None:
        """Appends one sample and schedules the next."""
        self.held.append(len(self.work))
        self.clock.at(self.clock.now + STEP, self.look)

    def give_up(self, number: int) -> None:
        """Abandons a call, which stays in progress for `LINGER_US`."""
        super().give_up(number)
        self.clock.at(self.clock.now + LINGER, lambda: self.leave(number))

    def leave(self, number: int) -> None:
        """Removes an abandoned call, unless it has completed."""
        if self.work.remove(number, self.clock.now):
            self._changed()


class CallSum:
    """Processes that start at the same time, each with more RPCs than it can serve and its own limit on calls.

    Args:
        share: limit on concurrent calls of each process
        slow_from: seconds after which the ledger takes 10 times as long; 0 for never
    """

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
        """Runs the simulation until `seconds` after its start."""
        self.clock.run(START + int(seconds * SECOND))
        return self

    @property
    def allowed(self) -> float:
        """The sum of all limits, with an allowance for random variation."""
        return self.whole + 2 * sqrt(self.whole) + 2

    def worst_mean(self, span: int = 5 * SECOND) -> float:
        """Returns the largest mean of the calls in progress over any window of this length (microseconds)."""
        steps, samples = span // STEP, self.ledger.held
        return max(sum(samples[at:at + steps]) / steps for at in range(max(1, len(samples) - steps)))

    def calls(self) -> int:
        """Returns the number of calls that the ledger received."""
        return self.ledger.judge.calls
