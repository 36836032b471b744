"""Adaptive limits on the number of concurrent calls to one ledger, or of one pool's calls to it.

Each limit adapts to the results of calls only. docs/notes/class-pools.md compares the policies:

- `WindowLimit`, the default: grows by one per round trip, decreases by a factor on a congestion signal.
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

UNPROVEN = (Outcome.TIMEOUT, Outcome.RESET)  # a single lost reply does not prove that the ledger is overloaded
REFUSED = (Outcome.FULL, Outcome.CONNECT_FAILED)


@dataclass(slots=True, frozen=True)
class Ended:
    """Result of one call; times in microseconds."""

    outcome: Outcome
    spent: int
    open: int  # calls in flight, including this one
    usual: float  # of a call to a healthy ledger
    odd: bool  # the reply was slow or lost; a single one says nothing about the ledger
    bad: bool  # a refusal, a failure, or a slow or lost reply among many
    now: int


class Limit(Protocol):
    """A limit on concurrent calls; `value` need not be a whole number."""

    value: float

    def ended(self, call: Ended) -> None:
        """Adapts the limit to the result of one call."""

    def bound(self, min_value: float, max_value: float) -> None:
        """Sets new bounds; the value is clamped to them immediately."""

    def stalled(self, now: int) -> None:
        """Reports that this process was suspended until `now`: calls that started earlier ended late for that reason,
        so their results are ignored."""


class Bounded:
    """Base of the limits: a value between two bounds. Results of calls that started before a stall are ignored."""

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        self.cut_at = now
        self.least, self.most = max(0.001, min_value), max(0.001, min_value, max_value)
        self.value = max(self.least, min(start, self.most))
        self.blind_until = 0

    def bound(self, min_value: float, max_value: float) -> None:
        self.least, self.most = max(0.001, min_value), max(0.001, min_value, max_value)
        self._set(self.value)

    def stalled(self, now: int) -> None:
        self.blind_until = now

    def _set(self, value: float) -> None:
        self.value = max(self.least, min(value, self.most))


class Fixed(Bounded):
    """A constant limit."""

    def ended(self, call: Ended) -> None:
        pass


class Window(Bounded):
    """Grows by one per round trip of good replies; multiplied by `DECREASE_FACTOR` on a congestion signal, at most
    once per typical call duration.

    A refusal, a failure, or a slow or lost reply among many is a congestion signal. The limit also grows while it is
    not fully used: on the users' platform an unused limit costs nothing, and a burst can use it immediately.
    """

    CUT = 0.7

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.OK and not call.odd:
            self.value += min(self.value, 1 / self.value)
        if call.bad and call.now - self.cut_at > call.usual:
            self.value, self.cut_at = self.value * self.CUT, call.now
        self._set(self.value)


class Aimd(Bounded):
    """Additive increase while the limit is used, multiplicative decrease once per round trip (AIMD).

    After a decrease it grows only as fast as calls end, so a slow ledger makes it grow slowly.
    """

    KEPT, USED = 0.85, 0.5  # the latter: share of the limit that must be in flight for an increase

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        self.first = True  # until the first decrease the limit doubles each round trip, for a quick cold start

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.bad:
            # a call that started before the last decrease reflects the load before it
            if call.now - call.spent > self.cut_at:
                self._set(self.value * self.KEPT)
                self.cut_at, self.first = call.now, False
        elif call.outcome is Outcome.OK and not call.odd and call.open >= self.USED * self.value:
            self._set(self.value + (1.0 if self.first else 1 / max(1.0, self.value)))


class Least:
    """Approximate minimum of a quantity over the last `span`, from the minima of two half spans.

    >>> least = Least(100)
    >>> [least.add(value, now) for value, now in ((5, 0), (9, 40), (9, 60), (9, 120))]
    [5, 5, 5, 9]
    """

    def __init__(self, span: int) -> None:
        self.half, self.turned = span // 2, 0
        self.now: float = 0.0
        self.before: float = 0.0

    def add(self, value: float, now: int) -> float:
        """Adds a value and returns the current minimum."""
        if not self.now:
            self.now = self.before = value
            self.turned = now
        elif now - self.turned >= self.half:
            self.before = self.now if now - self.turned < 2 * self.half else value
            self.now, self.turned = value, now
        self.now = min(self.now, value)
        return min(self.now, self.before)


class ByLatency(Bounded):
    """Base of the limits that compare the minimum latency of the last 10 s with the current latency.

    A congestion signal decreases the limit to nine tenths.
    """

    SPAN = 10_000_000

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        self.base = Least(self.SPAN)
        self.recent = 0.0

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.outcome is Outcome.OK:
            min_latency = max(self.base.add(call.spent, call.now), 1.0)
            self.recent += (call.spent - self.recent) * (0.1 if self.recent else 1)
            # a limit that is not the bottleneck must not grow
            self._learn(min_latency / max(self.recent, 1.0), call.open >= self.value / 2)
        elif call.bad:
            self._set(self.value * 0.9)

    def _learn(self, gradient: float, is_used: bool) -> None:
        """Adapts the limit. `gradient`: minimum latency divided by current latency, at most about 1; `is_used`: at
        least half of the limit is in flight."""
        raise NotImplementedError


class Gradient(ByLatency):
    """Scales the limit by the ratio of minimum to current latency, and adds its square root for a short queue."""

    TOLERANCE, MILD = 1.5, 0.2

    def _learn(self, gradient: float, is_used: bool) -> None:
        if is_used:
            goal = self.value * max(0.5, min(1.0, self.TOLERANCE * gradient)) + self.value ** 0.5
            self._set(self.value + (goal - self.value) * self.MILD / max(1.0, self.value))


class Queue(ByLatency):
    """Keeps the estimated number of calls queued downstream between `MIN_QUEUED` and `MAX_QUEUED`, like TCP Vegas."""

    FEW, MANY = 2.0, 5.0

    def _learn(self, gradient: float, is_used: bool) -> None:
        queued, step = self.value * (1 - gradient), 1 / max(1.0, self.value)
        if queued > self.MANY:
            self._set(self.value - step)
        elif queued < self.FEW and is_used:
            self._set(self.value + step)


class Delivery(Bounded):
    """The best recent rate of good replies times the minimum recent latency, plus an allowance for probing.

    If every call of a ledger takes longer, its rate falls and its calls overlap more: the two effects cancel, and the
    limit stays at the point that just fills the ledger. If the ledger lost slots, its rate falls while the minimum
    latency stays, so the limit falls. Probing detects that the ledger has recovered; without a higher rate the limit
    returns to its former value.
    """

    SPAN, BIN = 4_000_000, 250_000
    GAIN, SPARE = 1.3, 2.0

    def __init__(self, start: float, min_value: float, max_value: float, now: int = 0) -> None:
        super().__init__(start, min_value, max_value, now)
        self.base = Least(self.SPAN)
        self.bins: deque[tuple[int, int]] = deque()  # number of a time bin, and its good replies

    def ended(self, call: Ended) -> None:
        if call.outcome is Outcome.CANCELLED or call.now - call.spent < self.blind_until:
            return
        if call.outcome is not Outcome.OK:
            if call.bad and call.now - call.spent > self.cut_at:
                self.cut_at = call.now
                self._set(self.value * 0.8)
            return
        min_latency = self.base.add(call.spent, call.now)
        current = call.now // self.BIN
        if self.bins and self.bins[-1][0] == current:
            self.bins[-1] = current, self.bins[-1][1] + 1
        else:
            self.bins.append((current, 1))
        while self.bins[0][0] < current - self.SPAN // self.BIN:
            self.bins.popleft()
        # the current bin is not complete yet
        best = max((count for number, count in self.bins if number != current), default=0)
        goal = best / self.BIN * min_latency * self.GAIN + self.SPARE
        if goal > self.value and call.open < self.value / 2:
            return  # the limit is not the bottleneck
        self._set(self.value + (goal - self.value) * (0.05 if goal > self.value else 0.1))


POLICIES: dict[str, type[Bounded]] = {"window": Window, "aimd": Aimd, "gradient": Gradient, "queue": Queue,
                                      "delivery": Delivery, "fixed": Fixed}


def limit_of(policy: str, start: float, min_value: float, max_value: float, now: int = 0) -> Limit:
    """Creates a limit by the name of its policy.

    Raises:
        KeyError: no policy has this name.
    """
    limit: Limit = POLICIES[policy](start, min_value, max_value, now)  # type: ignore[assignment]
    return limit
