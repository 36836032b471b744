"""Simulation of many processes that call one ledger and exchange no messages: total of the calls in progress."""
from __future__ import annotations

from math import sqrt

from .ledger import LedgerModel, LedgerParameters
from .processor_sharing import VirtualClock
from .scenes import START_US, make_settings
from .simulated_instance import SECOND, Demand, SimulatedInstance, idempotent_method

SAMPLE_INTERVAL_US = 50_000  # between two samples of the calls in progress
RPC_RATE, MEAN_CALL_US = 20.0, 150_000  # RPCs per second at each process
MEAN_WORK_US, LINGER_US = 8_000, 200_000  # time of an RPC on the cores; time for which an abandoned call continues


class SampledLedger(LedgerModel):
    """A ledger that is never full and never crashes, and samples its calls in progress, including abandoned ones."""

    def __init__(self, clock: VirtualClock, seed: int) -> None:
        super().__init__(clock, LedgerParameters(slots=1 << 20, mean=MEAN_CALL_US), seed)
        self.samples: list[int] = []
        self.sample()

    def sample(self) -> None:
        """Appends one sample and schedules the next."""
        self.samples.append(len(self.in_service))
        self.clock.call_at(self.clock.now + SAMPLE_INTERVAL_US, self.sample)

    def abandon(self, number: int) -> None:
        """Abandons a call, which stays in progress for `LINGER_US`."""
        super().abandon(number)
        self.clock.call_at(self.clock.now + LINGER_US, lambda: self.remove_abandoned(number))

    def remove_abandoned(self, number: int) -> None:
        """Removes an abandoned call, unless it has completed."""
        if self.in_service.remove(number, self.clock.now):
            self._on_change()


class UncoordinatedFleet:
    """Processes that start at the same time, each with more RPCs than it can serve and its own limit on calls.

    Args:
        share: limit on concurrent calls of each process
        slow_from: seconds after which the ledger takes 10 times as long; 0 for never
    """

    def __init__(self, processes: int, share: float, seed: int, slow_from: float = 0.0) -> None:
        self.total_limit = processes * share
        self.clock = VirtualClock(START_US)
        self.ledger = SampledLedger(self.clock, seed)
        method = idempotent_method(latency_target=SECOND, deadline=4 * SECOND)
        settings = make_settings([method], cores=4, memory=1e9, calls_out=share, linger=LINGER_US)
        self.instances = [
            SimulatedInstance(self.clock, settings, [
                Demand(method, "lookup", RPC_RATE, MEAN_WORK_US, makes_calls=True, max_retries=0)],
                self.ledger, seed * 1000 + number) for number in range(processes)]
        if slow_from:
            self.clock.call_at(START_US + int(slow_from * SECOND), lambda: self.ledger.set_slowdown(10))

    def run(self, seconds: float) -> UncoordinatedFleet:
        """Runs the simulation until `seconds` after its start."""
        self.clock.run(START_US + int(seconds * SECOND))
        return self

    @property
    def tolerated_total(self) -> float:
        """The sum of all limits, with an allowance for random variation."""
        return self.total_limit + 2 * sqrt(self.total_limit) + 2

    def max_windowed_mean(self, window: int = 5 * SECOND) -> float:
        """Returns the largest mean of the calls in progress over any window of this length (microseconds)."""
        steps, samples = window // SAMPLE_INTERVAL_US, self.ledger.samples
        return max(sum(samples[at:at + steps]) / steps for at in range(max(1, len(samples) - steps)))

    def call_count(self) -> int:
        """Returns the number of calls that the ledger received."""
        return self.ledger.stats.calls
