"""Adaptive limits on the number of concurrent calls to one ledger, in total or for one pool.

Each limit adapts to the results of calls only. docs/notes/class-pools.md compares the policies:

- `WindowLimit`, the default: grows by one per round trip and is multiplied by a factor on a congestion signal.
- `AimdLimit`: additive increase and multiplicative decrease, with smaller decreases and no growth while unused.
- `GradientLimit`: follows the ratio of the minimum latency to the current latency.
- `QueueLimit`: follows the estimated number of calls queued downstream, like TCP Vegas.
- `DeliveryLimit`: the best delivery rate times the minimum latency, plus an allowance for probing.
- `FixedLimit`: never changes; the baseline in comparisons.
"""
from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from ...interface import Outcome

# the reply was lost; a single lost reply does not prove that the ledger is overloaded
LOST_REPLY_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET)
REFUSED_OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED)


@dataclass(slots=True, frozen=True)
class CallResult:
    """Result of one call; times in microseconds."""

    outcome: Outcome
    duration: int
    in_flight: int  # calls in flight, including this one
    typical_duration: float  # of a call to a healthy ledger
    slow_or_lost: bool  # the reply was slow or lost; a single one says nothing about the ledger
    congestion_signal: bool  # a refusal, a failure, or a slow or lost reply among many
    now: int


class Limit(Protocol):
    """A limit on concurrent calls; `value` need not be a whole number."""

    value: float

    def on_call_end(self, call: CallResult) -> None:
        """Adapts the limit to the result of one call."""

    def set_bounds(self, min_value: float, max_value: float) -> None:
        """Sets new bounds and clamps the value to them immediately."""

    def on_stall(self, now: int) -> None:
        """Reports that this process was suspended until `now`.

        Calls that started earlier ended late for that reason; all adaptive limits except `WindowLimit` ignore their
        results.
        """


class BoundedLimit:
    """Base of the limits: a value between two bounds."""

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        self.decreased_at = now
        self.min_value, self.max_value = max(0.001, min_value), max(0.001, min_value, max_value)
        self.value = max(self.min_value, min(start, self.max_value))
        self.ignore_until = 0  # subclasses other than WindowLimit ignore results of calls that started earlier

    def set_bounds(self, min_value: float, max_value: float) -> None:
        self.min_value, self.max_value = max(0.001, min_value), max(0.001, min_value, max_value)
        self._set_value(self.value)

    def on_stall(self, now: int) -> None:
        self.ignore_until = now

    def _set_value(self, value: float) -> None:
        self.value = max(self.min_value, min(value, self.max_value))


class FixedLimit(BoundedLimit):
    """A constant limit."""

    def on_call_end(self, call: CallResult) -> None:
        pass


class WindowLimit(BoundedLimit):
    """Grows by one per round trip of good replies and decreases by a factor on a congestion signal.

    It is multiplied by `DECREASE_FACTOR` at most once per typical call duration.

    A refusal, a failure, or a slow or lost reply among many is a congestion signal. The limit also grows while it is
    not fully used: on the users' platform an unused limit costs nothing, and a burst can use it at once.
    """

    DECREASE_FACTOR = 0.7

    def on_call_end(self, call: CallResult) -> None:
        if call.outcome is Outcome.OK and not call.slow_or_lost:
            self.value += min(self.value, 1 / self.value)  # a limit below 1 at most doubles
        if call.congestion_signal and call.now - self.decreased_at > call.typical_duration:
            self.value, self.decreased_at = self.value * self.DECREASE_FACTOR, call.now
        self._set_value(self.value)


class AimdLimit(BoundedLimit):
    """Additive increase while the limit is used, multiplicative decrease once per round trip (AIMD).

    After a decrease it grows only as fast as calls end, so a slow ledger makes it grow slowly.
    """

    DECREASE_FACTOR = 0.85
    MIN_UTILIZATION = 0.5  # share of the limit that must be in flight for an increase

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        # until the first decrease the limit doubles each round trip, so that a cold start is quick
        self.slow_start = True

    def on_call_end(self, call: CallResult) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.duration < self.ignore_until:
            return
        if call.congestion_signal:
            # a call that started before the last decrease reflects the load before it
            if call.now - call.duration > self.decreased_at:
                self._set_value(self.value * self.DECREASE_FACTOR)
                self.decreased_at, self.slow_start = call.now, False
        elif (call.outcome is Outcome.OK and not call.slow_or_lost
              and call.in_flight >= self.MIN_UTILIZATION * self.value):
            self._set_value(self.value + (1.0 if self.slow_start else 1 / max(1.0, self.value)))


class WindowedMinimum:
    """Approximate minimum of a quantity over the last `span`, from the minima of two half spans.

    >>> minimum = WindowedMinimum(100)
    >>> [minimum.add(value, now) for value, now in ((5, 0), (9, 40), (9, 60), (9, 120))]
    [5, 5, 5, 9]
    """

    def __init__(self, span: int) -> None:
        self.half_span, self.rotated_at = span // 2, 0
        self.current: float = 0.0
        self.previous: float = 0.0

    def add(self, value: float, now: int) -> float:
        """Adds a value and returns the current minimum."""
        if not self.current:
            self.current = self.previous = value
            self.rotated_at = now
        elif now - self.rotated_at >= self.half_span:
            self.previous = self.current if now - self.rotated_at < 2 * self.half_span else value
            self.current, self.rotated_at = value, now
        self.current = min(self.current, value)
        return min(self.current, self.previous)


class LatencyLimit(BoundedLimit):
    """Base of the limits that compare the minimum latency of the last 10 s with the current latency.

    A congestion signal decreases the limit to nine tenths.
    """

    BASELINE_SPAN = 10_000_000  # microseconds

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        self.min_latency = WindowedMinimum(self.BASELINE_SPAN)
        self.recent_latency = 0.0

    def on_call_end(self, call: CallResult) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.duration < self.ignore_until:
            return
        if call.outcome is Outcome.OK:
            min_latency = max(self.min_latency.add(call.duration, call.now), 1.0)
            self.recent_latency += (call.duration - self.recent_latency) * (0.1 if self.recent_latency else 1)
            # a limit that is not the bottleneck must not grow
            self._adjust(min_latency / max(self.recent_latency, 1.0), call.in_flight >= self.value / 2)
        elif call.congestion_signal:
            self._set_value(self.value * 0.9)

    def _adjust(self, gradient: float, is_used: bool) -> None:
        """Adapts the limit.

        `gradient`: minimum latency divided by current latency, at most about 1; `is_used`: at least half of the limit
        is in flight.
        """
        raise NotImplementedError


class GradientLimit(LatencyLimit):
    """Scales the limit by the ratio of minimum to current latency, and adds its square root for a short queue."""

    TOLERANCE = 1.5  # multiple of the minimum latency up to which the limit is not scaled down
    SMOOTHING = 0.2  # share of the difference to the goal that is closed per round trip

    def _adjust(self, gradient: float, is_used: bool) -> None:
        if is_used:
            goal = self.value * max(0.5, min(1.0, self.TOLERANCE * gradient)) + self.value ** 0.5
            self._set_value(self.value + (goal - self.value) * self.SMOOTHING / max(1.0, self.value))


class QueueLimit(LatencyLimit):
    """Keeps the estimated number of calls queued downstream between `MIN_QUEUED` and `MAX_QUEUED`, like TCP Vegas."""

    MIN_QUEUED, MAX_QUEUED = 2.0, 5.0

    def _adjust(self, gradient: float, is_used: bool) -> None:
        queued, step = self.value * (1 - gradient), 1 / max(1.0, self.value)
        if queued > self.MAX_QUEUED:
            self._set_value(self.value - step)
        elif queued < self.MIN_QUEUED and is_used:
            self._set_value(self.value + step)


class DeliveryLimit(BoundedLimit):
    """The best recent rate of good replies times the minimum recent latency, plus an allowance for probing.

    If all calls to a ledger take longer, its rate falls and its minimum latency rises: the two effects cancel, and
    the limit stays at the value that just fills the ledger. If the ledger loses slots, its rate falls while the
    minimum latency stays the same, so the limit falls. The allowance detects that the ledger has recovered: if the
    rate does not rise with the limit, the limit returns to its former value.
    """

    RATE_SPAN, BIN_WIDTH = 4_000_000, 250_000  # microseconds
    PROBE_GAIN, PROBE_ALLOWANCE = 1.3, 2.0  # the allowance: a factor, and a number of calls

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        self.min_latency = WindowedMinimum(self.RATE_SPAN)
        self.bins: deque[tuple[int, int]] = deque()  # number of each time bin and its count of good replies

    def on_call_end(self, call: CallResult) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.duration < self.ignore_until:
            return
        if call.outcome is not Outcome.OK:
            if call.congestion_signal and call.now - call.duration > self.decreased_at:
                self.decreased_at = call.now
                self._set_value(self.value * 0.8)
            return
        min_latency = self.min_latency.add(call.duration, call.now)
        current = call.now // self.BIN_WIDTH
        if self.bins and self.bins[-1][0] == current:
            self.bins[-1] = current, self.bins[-1][1] + 1
        else:
            self.bins.append((current, 1))
        while self.bins[0][0] < current - self.RATE_SPAN // self.BIN_WIDTH:
            self.bins.popleft()
        # the current bin is not complete yet
        best = max((count for number, count in self.bins if number != current), default=0)
        goal = best / self.BIN_WIDTH * min_latency * self.PROBE_GAIN + self.PROBE_ALLOWANCE
        if goal > self.value and call.in_flight < self.value / 2:
            return  # the limit is not the bottleneck
        self._set_value(self.value + (goal - self.value) * (0.05 if goal > self.value else 0.1))


POLICIES: dict[str, type[BoundedLimit]] = {
    "window": WindowLimit, "aimd": AimdLimit, "gradient": GradientLimit, "queue": QueueLimit,
    "delivery": DeliveryLimit, "fixed": FixedLimit}


def make_limit(policy: str, start: float, min_value: float, max_value: float, now: int = 0) -> Limit:
    """Creates a limit by the name of its policy.

    Raises:
        KeyError: no policy has this name.
    """
    limit: Limit = POLICIES[policy](start, min_value, max_value, now)  # type: ignore[assignment]
    return limit
